//! The HTML report of an experiment: one self-contained page with the verdicts and plots over time.
//!
//! `series` computes time series from the facts, `plots` draws them as SVG, and `page` renders the page.
mod page;
mod plots;
mod series;

use crate::judge::FactIndex;
use crate::play::Verdict;
use crate::record::{ExperimentFolder, RecordError};
use crate::score;

/// Why no report can be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error("the folder has no verdicts")]
    Empty,
    #[error("cannot draw a plot: {0}")]
    Plot(String),
}

/// A play's verdict, faults and plots, as the page shows them.
struct PlotsOfPlay {
    verdict: Verdict,
    bands: Vec<series::FaultBand>,
    latency: String,
    outcomes: String,
    limits: String,
}

/// Returns the HTML page for all plays of a folder.
pub fn page(folder: &ExperimentFolder) -> Result<String, ReportError> {
    let plays = folder.verdicts()?.into_iter().map(|verdict| plots_of_play(folder, verdict));
    let plays = plays.collect::<Result<Vec<PlotsOfPlay>, ReportError>>()?;
    if plays.is_empty() {
        return Err(ReportError::Empty);
    }
    Ok(page::render(&plays))
}

/// Reads a play's facts and draws its plots.
fn plots_of_play(folder: &ExperimentFolder, verdict: Verdict) -> Result<PlotsOfPlay, ReportError> {
    let (drawn, facts) = (folder.plan(verdict.seed)?, folder.facts(verdict.seed)?);
    let index = FactIndex::new(&drawn.terms, &facts);
    let results = score::request_results(&index);
    let bands = series::bands(&facts, drawn.terms.request_span);
    let seconds = series::seconds(&drawn.terms);
    let plot = |drawn: Result<String, plots::PlotError>| drawn.map_err(|e| ReportError::Plot(e.to_string()));
    Ok(PlotsOfPlay {
        latency: plot(plots::latency(&series::latency(&results, seconds), &bands))?,
        outcomes: plot(plots::outcomes(&series::outcomes(&results, seconds), &bands))?,
        limits: plot(plots::limits(&series::limits(&index, &drawn.destinations, seconds), &bands))?,
        verdict,
        bands,
    })
}
