//! Linear regression of measured points by ordinary least squares.
use serde::Serialize;

/// A fitted line.
#[derive(Clone, Copy, Debug, Serialize, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// Root mean square of the residuals, in the unit of the measured quantity.
    pub residual: f64,
    /// Standard error of the slope; infinite for fewer than three points.
    pub slope_error: f64,
    pub points: usize,
    /// The largest measured size; values beyond it are extrapolated.
    pub measured_to: f64,
}

impl Line {
    /// Fits a line to points of a size and a measured value; `None` if there are fewer than two different
    /// sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let squares_x: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        if points.len() < 2 || squares_x <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum::<f64>() / squares_x;
        let intercept = mean_y - slope * mean_x;
        let squared_residuals: f64 = points.iter().map(|p| (p.1 - intercept - slope * p.0).powi(2)).sum();
        let degrees_of_freedom = count - 2.0;
        let slope_error = if degrees_of_freedom > 0.0 {
            (squared_residuals / degrees_of_freedom / squares_x).sqrt()
        } else {
            f64::INFINITY
        };
        let measured_to = points.iter().map(|p| p.0).fold(f64::MIN, f64::max);
        Some(Line {
            slope,
            intercept,
            residual: (squared_residuals / count).sqrt(),
            slope_error,
            points: points.len(),
            measured_to,
        })
    }

    /// Returns the line's value at a size.
    pub fn predict(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fits_line_and_its_standard_error() {
        let line = Line::fit(&[(1.0, 5.0), (10.0, 23.0), (100.0, 203.0)]).unwrap();
        assert!(
            (line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9 && line.residual < 1e-9
        );
        assert_eq!(line.measured_to, 100.0);
        let scattered = Line::fit(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]).unwrap();
        assert!((scattered.slope).abs() < 1e-9 && scattered.residual > 0.9 && scattered.slope_error > 0.5);
        assert!(Line::fit(&[(1.0, 1.0), (1.0, 2.0)]).is_none());
    }
}
