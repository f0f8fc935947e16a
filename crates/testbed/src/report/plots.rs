//! Draws the plots as SVG, in the colour-blind-safe palette of Okabe and Ito.
use super::series::{FaultBand, FaultTarget, LatencySeries, LimitSeries, OutcomeSeries, END_LABELS};
use crate::clock::SECOND;
use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;

/// Why a plot cannot be drawn.
pub type PlotError = Box<dyn std::error::Error>;

/// Width of a plot in pixels, before it is scaled to the page.
const WIDTH: u32 = 960;
const BLUE: RGBColor = RGBColor(0, 114, 178);
const SKY: RGBColor = RGBColor(86, 180, 233);
const GREEN: RGBColor = RGBColor(0, 158, 115);
const ORANGE: RGBColor = RGBColor(230, 159, 0);
const RED: RGBColor = RGBColor(213, 94, 0);
const PURPLE: RGBColor = RGBColor(204, 121, 167);
const GREY: RGBColor = RGBColor(110, 110, 110);
/// Colours of outcomes, in the order of `END_LABELS`.
const OUTCOME_COLOURS: [RGBColor; END_LABELS.len()] = [GREEN, SKY, ORANGE, PURPLE, GREY, RED];
const FONT: (&str, i32) = ("sans-serif", 13);

/// Returns the colour that marks faults of a kind of target.
pub fn colour(target: FaultTarget) -> RGBColor {
    match target {
        FaultTarget::Destination => RED,
        FaultTarget::Sender => BLUE,
        FaultTarget::Discovery => PURPLE,
        FaultTarget::Link => ORANGE,
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// A chart with seconds on the horizontal axis.
type TimeChart<'a, 'b, Y> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, Y>>;

/// Draws on an area of a height in pixels, and returns the SVG text.
fn svg(height: u32, draw: impl FnOnce(&Area) -> Result<(), PlotError>) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDTH, height)).into_drawing_area();
        draw(&area)?;
        area.present()?;
    }
    // A relative width makes the plot scale with the page.
    Ok(text.replacen(&format!("width=\"{WIDTH}\" height=\"{height}\""), "width=\"100%\"", 1))
}

/// Shades the time of each fault over the whole height of a chart.
fn shade<Y>(
    chart: &mut TimeChart<'_, '_, Y>,
    bands: &[FaultBand],
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
        // A fault without duration is drawn as a narrow line.
        let (from, to) = (second(band.from), second(band.to).max(second(band.from) + end / 400.0));
        let style = colour(band.target).mix(0.13).filled();
        chart
            .draw_series(std::iter::once(Rectangle::new([(from, low.clone()), (to, high.clone())], style)))?;
    }
    Ok(())
}

/// Legend of the latency plot.
pub const LATENCY_LEGEND: [(&str, RGBColor); 2] = [("p50", GREEN), ("p99", BLUE)];

/// Returns the legend of the outcomes plot.
pub fn outcomes_legend() -> impl Iterator<Item = (&'static str, RGBColor)> {
    END_LABELS.iter().map(|(_, name)| *name).zip(OUTCOME_COLOURS)
}

/// Formats an axis label without decimals.
fn whole_number(value: &f64) -> String {
    format!("{value:.0}")
}

/// Plots the median and the 99th percentile of the latency over time, on a logarithmic axis.
pub fn latency(series: &LatencySeries, bands: &[FaultBand]) -> Result<String, PlotError> {
    let end = series.p50.len() as f64;
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
            .x_label_formatter(&whole_number)
            .y_desc("delivery after, ms")
            .y_label_formatter(&whole_number)
            .draw()?;
        for (values, (_, colour)) in [&series.p50, &series.p99].into_iter().zip(LATENCY_LEGEND) {
            let points =
                values.iter().enumerate().filter_map(|(s, ms)| Some((s as f64 + 0.5, (*ms)?.max(low))));
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        }
        Ok(())
    })
}

/// Plots the outcomes of messages over time as stacked bars.
pub fn outcomes(series: &OutcomeSeries, bands: &[FaultBand]) -> Result<String, PlotError> {
    let end = series.seconds.len() as f64;
    let most = series.seconds.iter().map(|s| s.iter().sum::<usize>()).max().unwrap_or(0).max(1) as f64 * 1.05;
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
            .x_label_formatter(&whole_number)
            .y_desc("messages a second")
            .y_label_formatter(&whole_number)
            .draw()?;
        for (index, colour) in OUTCOME_COLOURS.into_iter().enumerate() {
            // The bars of earlier outcomes lie below.
            let bars = series.seconds.iter().enumerate().filter(|(_, s)| s[index] > 0).map(|(second, s)| {
                let below = s[..index].iter().sum::<usize>() as f64;
                let (from, to) = (second as f64 + 0.08, second as f64 + 0.92);
                Rectangle::new([(from, below), (to, below + s[index] as f64)], colour.filled())
            });
            chart.draw_series(bars)?;
        }
        Ok(())
    })
}

/// Plots calls and refusals against the rate limit over time, with a panel for each destination.
pub fn limits(series: &[LimitSeries], bands: &[FaultBand]) -> Result<String, PlotError> {
    let rows = series.len().div_ceil(2).max(1);
    svg(190 * rows as u32, |area| {
        for (destination, panel) in series.iter().zip(area.split_evenly((rows, 2))) {
            let end = destination.calls.len() as f64;
            let most = destination.calls.iter().copied().fold(destination.per_s, f64::max) * 1.15;
            let kind = if destination.flagship { "flagship" } else { "independent" };
            let mut chart = ChartBuilder::on(&panel)
                .margin(10)
                .caption(
                    format!("destination {} ({kind}), {:.1} a second", destination.dest, destination.per_s),
                    FONT,
                )
                .x_label_area_size(24)
                .y_label_area_size(40)
                .build_cartesian_2d(0.0..end, 0.0..most)?;
            shade(&mut chart, bands, end, 0.0, most)?;
            chart
                .configure_mesh()
                .light_line_style(TRANSPARENT)
                .label_style(FONT)
                .x_label_formatter(&whole_number)
                .y_label_formatter(&whole_number)
                .y_labels(4)
                .draw()?;
            let points = |values: &[f64]| -> Vec<(f64, f64)> {
                values.iter().enumerate().map(|(s, n)| (s as f64 + 0.5, *n)).collect()
            };
            chart.draw_series(LineSeries::new(points(&destination.calls), BLUE.stroke_width(2)))?;
            chart.draw_series(
                AreaSeries::new(points(&destination.over), 0.0, RED.mix(0.5)).border_style(RED),
            )?;
            let limit = [(0.0, destination.per_s), (end, destination.per_s)];
            chart.draw_series(DashedLineSeries::new(limit, 6, 4, BLACK.stroke_width(1)))?;
        }
        Ok(())
    })
}
