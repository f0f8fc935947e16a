//! Renders the HTML page.
use super::plots::{colour, outcomes_legend, LATENCY_LEGEND};
use super::PlotsOfPlay;
use crate::clock::{Ns, SECOND};
use crate::judge::Rule;
use crate::play::Verdict;
use maud::{html, Markup, PreEscaped, DOCTYPE};
use plotters::style::RGBColor;

/// Maximum number of violations that are listed one by one.
const MAX_LISTED_VIOLATIONS: usize = 40;

const STYLE: &str = "
body { font: 15px/1.45 system-ui, sans-serif; color: #222; max-width: 980px; margin: 2em auto; padding: 0 1em }
h1 { font-size: 1.5em } h2 { font-size: 1.2em; margin-top: 2.2em; border-bottom: 1px solid #ccc }
h3 { font-size: 1em; margin: 1.4em 0 .2em }
table { border-collapse: collapse; margin: .8em 0 } td, th { padding: .25em .55em; border-bottom: 1px solid #e4e4e4 }
th { text-align: left; font-weight: 600 } td.n, th.n { text-align: right; font-variant-numeric: tabular-nums }
.kept { color: #00714f; font-weight: 600 } .broken { color: #b34700; font-weight: 600 } .void { color: #555; font-weight: 600 }
.key { display: inline-block; width: .9em; height: .9em; vertical-align: -.1em; margin-right: .4em; opacity: .5 }
.key.full { opacity: 1 } .of { margin-right: 1.2em } th, td { white-space: nowrap }
p.note { color: #555; margin: .2em 0 } li { margin: .1em 0 }
";

/// Returns the page with an overview and a section for each play.
pub fn render(plays: &[PlotsOfPlay]) -> String {
    let title = plays.first().map_or("", |p| p.verdict.title.as_str());
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Experiment " (title) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Experiment " (title) }
                (overview(plays))
                @for play in plays { (section(play)) }
            }
        }
    };
    page.into_string()
}

/// A verdict in a few words.
fn verdict_label(verdict: &Verdict) -> Markup {
    match (&verdict.void, verdict.violations.len()) {
        (Some(_), _) => html! { span.void { "void" } },
        (None, 0) => html! { span.kept { "all rules kept" } },
        (None, n) => html! { span.broken { (n) " breaks of rules" } },
    }
}

/// A count as a percentage of all requests.
fn percent(verdict: &Verdict, count: usize) -> String {
    format!("{:.1}%", 100.0 * count as f64 / verdict.counts.asked.max(1) as f64)
}

/// The table with a row for each play.
fn overview(plays: &[PlotsOfPlay]) -> Markup {
    html! {
        table {
            tr {
                th { "seed" } th.n { "senders" } th.n { "asked for" } th.n { "in time" } th.n { "late" }
                th.n { "handed back" } th.n { "given up" } th.n { "lost" } th.n { "service G" }
                th.n { "p50, p99" } th {}
            }
            @for PlotsOfPlay { verdict: v, .. } in plays {
                tr {
                    td { a href={ "#seed-" (v.seed) } { (v.seed) } }
                    td.n { (v.senders) }
                    td.n { (v.counts.asked) }
                    td.n { (percent(v, v.counts.in_time)) }
                    td.n { (percent(v, v.counts.late)) }
                    td.n { (percent(v, v.counts.handed_back)) }
                    td.n { (percent(v, v.counts.given_up)) }
                    td.n { (v.counts.lost) }
                    td.n { (format!("{:.3}", v.service.g)) }
                    td.n { (format!("{:.0}, {:.0} ms", v.latency.p50_ms, v.latency.p99_ms)) }
                    td { (verdict_label(v)) }
                }
            }
        }
    }
}

/// The section of one play.
fn section(play: &PlotsOfPlay) -> Markup {
    let v = &play.verdict;
    html! {
        h2 id={ "seed-" (v.seed) } { "Seed " (v.seed) ": " (verdict_label(v)) }
        @if let Some(why) = &v.void { p { "This play says nothing of the senders: " (why) "." } }
        (violations(v))
        h3 { "Delivery over time" }
        p.note { "From when a message was asked for, by that second. Shaded: faults, listed below." }
        (legend(LATENCY_LEGEND.into_iter()))
        (PreEscaped(&play.latency))
        h3 { "What became of messages" }
        (legend(outcomes_legend()))
        (PreEscaped(&play.outcomes))
        h3 { "Limits" }
        p.note {
            "Calls a second at the busiest destinations (blue), those refused above the limit (red), the limit (dashed)."
        }
        (PreEscaped(&play.limits))
        @if !play.bands.is_empty() { (faults(play)) }
        p.note {
            (format!("Worth served {:.3}, worst 10 s {:.3}, worst class {:.3}, prices {:.3}. ",
                v.service.whole, v.service.worst_window, v.service.worst_class, v.service.prices))
            (v.counts.calls) " calls, " (v.counts.over_limit) " of them above a limit; "
            (v.counts.connections) " connections; " (v.counts.probes) " probes. "
            (format!("The testbed was late by {:.1} ms at its 99th percentile.", v.lateness_p99_ms))
        }
    }
}

/// The legend of a plot.
fn legend(entries: impl Iterator<Item = (&'static str, RGBColor)>) -> Markup {
    html! { p.note { @for (name, c) in entries { span.of { span.key.full style=(background(c)) {} (name) } } } }
}

/// The CSS of a legend's colour.
fn background(c: RGBColor) -> String {
    format!("background: rgb({}, {}, {})", c.0, c.1, c.2)
}

/// Violations by rule, and the first ones in full.
fn violations(v: &Verdict) -> Markup {
    let count = |rule: Rule| v.violations.iter().filter(|b| b.rule == rule).count();
    html! {
        @if !v.violations.is_empty() {
            table {
                @for rule in Rule::ALL.into_iter().filter(|r| count(*r) > 0) {
                    tr { td { (rule.name()) } td.n { (count(rule)) } }
                }
            }
            ul {
                @for violation in v.violations.iter().take(MAX_LISTED_VIOLATIONS) {
                    li { (at(violation.at)) " " (violation.rule.name()) ": " (violation.description) }
                }
            }
            @if v.violations.len() > MAX_LISTED_VIOLATIONS {
                p.note { "and " (v.violations.len() - MAX_LISTED_VIOLATIONS) " more" }
            }
        }
    }
}

/// The table of faults.
fn faults(play: &PlotsOfPlay) -> Markup {
    html! {
        h3 { "Faults" }
        table {
            tr { th { "what" } th.n { "from" } th.n { "to" } }
            @for band in &play.bands {
                tr {
                    td { span.key style=(background(colour(band.target))) {} (band.title) }
                    td.n { (at(band.from)) }
                    td.n { (at(band.to)) }
                }
            }
        }
    }
}

/// A time in seconds.
fn at(at: Ns) -> String {
    format!("{:.1} s", at as f64 / SECOND as f64)
}
