//! A straight line through measured points, by ordinary least squares.
use serde::Serialize;

#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// Root of the mean squared residual, in the unit of what was measured.
    pub residual: f64,
    /// Standard error of the slope; infinite for fewer than three points.
    pub slope_error: f64,
    pub points: usize,
    /// The largest size that was measured: whatever lies beyond it is extrapolated.
    pub measured_to: f64,
}

impl Line {
    /// `None` where the points have fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let spread: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / spread;
        let intercept = mean_y - slope * mean_x;
        let squares: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let free = count - 2.0;
        let slope_error = if free > 0.0 { (squares / free / spread).sqrt() } else { f64::INFINITY };
        let measured_to = points.iter().map(|p| p.0).fold(f64::MIN, f64::max);
        Some(Line {
            slope,
            intercept,
            residual: (squares / count).sqrt(),
            slope_error,
            points: points.len(),
            measured_to,
        })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_found_with_its_error() {
        let line = Line::through(&[(1.0, 5.0), (10.0, 23.0), (100.0, 203.0)]).unwrap();
        assert!(
            (line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9 && line.residual < 1e-9
        );
        assert_eq!(line.measured_to, 100.0);
        let off = Line::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]).unwrap();
        assert!((off.slope).abs() < 1e-9 && off.residual > 0.9 && off.slope_error > 0.5);
        assert!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]).is_none());
    }
}
