//! The plots, as SVG. Colours are told apart by those who see few of them (Okabe and Ito's).
use super::series::{Band, LatencyOf, LimitOf, OutcomesOf, Whom, ENDS};
use crate::clock::SECOND;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

pub type PlotError = Box<dyn std::error::Error>;

const WIDTH: u32 = 960;
const BLUE: RGBColor = RGBColor(0, 114, 178);
const SKY: RGBColor = RGBColor(86, 180, 233);
const GREEN: RGBColor = RGBColor(0, 158, 115);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const RED: RGBColor = RGBColor(213, 94, 0);
const PURPLE: RGBColor = RGBColor(204, 121, 167);
const GREY: RGBColor = RGBColor(110, 110, 110);
/// In the order of `ENDS`.
const COLOURS: [RGBColor; ENDS.len()] = [GREEN, SKY, ORANGE, PURPLE, GREY, RED];
const FONT: (&str, i32) = ("sans-serif", 13);

pub fn colour(whom: Whom) -> RGBColor {
    match whom {
        Whom::Destination => RED,
        Whom::Sender => BLUE,
        Whom::Discovery => PURPLE,
        Whom::Link => ORANGE,
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Seconds<'a, 'b, Y> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Y>>;

/// Draws on an area of so much height.
fn svg(height: u32, draw: impl FnOnce(&Area) -> Result<(), PlotError>) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        draw(&area)?;
        area.present()?;
    }
    // Scales with the page.
    Ok(text.replacen(&format!("width=\"{WIDTH}\" height=\"{height}\""), "width=\"100%\"", 1))
}

/// Shades the time of each fault over the whole height.
fn shade<Y>(
    chart: &mut Seconds<'_, '_, Y>,
    bands: &[Band],
    end: f64,
    low: Y::ValueType,
    high: Y::ValueType,
) -> Result<(), PlotError>
where
    Y: Ranged,
    Y::ValueType: Clone + 'static,
{
    let second = |at: i64| (at as f64 / SECOND as f64).clamp(0.0, end);
    for band in bands {
        // A moment is shown as a line.
        let (from, to) = (second(band.from), second(band.to).max(second(band.from) + end / 400.0));
        let style = colour(band.at_whom).mix(0.13).filled();
        chart
            .draw_series(std::iter::once(Rectangle::new([(from, low.clone()), (to, high.clone())], style)))?;
    }
    Ok(())
}

/// What the colours of the two plots over the whole width mean.
pub const LATENCY_KEY: [(&str, RGBColor); 2] = [("p50", GREEN), ("p99", BLUE)];

pub fn outcomes_key() -> impl Iterator<Item = (&'static str, RGBColor)> {
    ENDS.iter().map(|(_, name)| *name).zip(COLOURS)
}

fn whole(second: &f64) -> String {
    format!("{second:.0}")
}

pub fn latency(of: &LatencyOf, bands: &[Band]) -> Result<String, PlotError> {
    let end = of.p50.len() as f64;
    svg(280, |area| {
        let (low, high) = (10.0, 30_000.0);
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end, (low..high).log_scale())?;
        shade(&mut chart, bands, end, low, high)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .label_style(FONT)
            .x_desc("asked for at, s")
            .x_label_formatter(&whole)
            .y_desc("delivery after, ms")
            .y_label_formatter(&whole)
            .draw()?;
        for (values, (_, colour)) in [&of.p50, &of.p99].into_iter().zip(LATENCY_KEY) {
            let points =
                values.iter().enumerate().filter_map(|(s, ms)| Some((s as f64 + 0.5, (*ms)?.max(low))));
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        }
        Ok(())
    })
}

pub fn outcomes(of: &OutcomesOf, bands: &[Band]) -> Result<String, PlotError> {
    let end = of.seconds.len() as f64;
    let most = of.seconds.iter().map(|s| s.iter().sum::<usize>()).max().unwrap_or(0).max(1) as f64 * 1.05;
    svg(280, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(10)
            .x_label_area_size(32)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..end, 0.0..most)?;
        shade(&mut chart, bands, end, 0.0, most)?;
        chart
            .configure_mesh()
            .light_line_style(TRANSPARENT)
            .label_style(FONT)
            .x_desc("asked for at, s")
            .x_label_formatter(&whole)
            .y_desc("messages a second")
            .y_label_formatter(&whole)
            .draw()?;
        for (place, colour) in COLOURS.into_iter().enumerate() {
            // Those of all ways before it lie below.
            let bars = of.seconds.iter().enumerate().filter(|(_, s)| s[place] > 0).map(|(second, s)| {
                let below = s[..place].iter().sum::<usize>() as f64;
                let (from, to) = (second as f64 + 0.08, second as f64 + 0.92);
                Rectangle::new([(from, below), (to, below + s[place] as f64)], colour.filled())
            });
            chart.draw_series(bars)?;
        }
        Ok(())
    })
}

/// A panel for each destination.
pub fn limits(of: &[LimitOf], bands: &[Band]) -> Result<String, PlotError> {
    let rows = of.len().div_ceil(2).max(1);
    svg(190 * rows as u32, |area| {
        for (one, panel) in of.iter().zip(area.split_evenly((rows, 2))) {
            let end = one.calls.len() as f64;
            let most = one.calls.iter().copied().fold(one.per_s, f64::max) * 1.15;
            let kind = if one.flagship { "flagship" } else { "independent" };
            let mut chart = ChartBuilder::on(&panel)
                .margin(10)
                .caption(format!("destination {} ({kind}), {:.1} a second", one.dest, one.per_s), FONT)
                .x_label_area_size(24)
                .y_label_area_size(40)
                .build_cartesian_2d(0.0..end, 0.0..most)?;
            shade(&mut chart, bands, end, 0.0, most)?;
            chart
                .configure_mesh()
                .light_line_style(TRANSPARENT)
                .label_style(FONT)
                .x_label_formatter(&whole)
                .y_label_formatter(&whole)
                .y_labels(4)
                .draw()?;
            let points = |values: &[f64]| -> Vec<(f64, f64)> {
                values.iter().enumerate().map(|(s, n)| (s as f64 + 0.5, *n)).collect()
            };
            chart.draw_series(LineSeries::new(points(&one.calls), BLUE.stroke_width(2)))?;
            chart.draw_series(AreaSeries::new(points(&one.over), 0.0, RED.mix(0.5)).border_style(RED))?;
            let limit = [(0.0, one.per_s), (end, one.per_s)];
            chart.draw_series(DashedLineSeries::new(limit, 6, 4, BLACK.stroke_width(1)))?;
        }
        Ok(())
    })
}
