//! The report of an experiment: one self-contained page with the verdicts and plots over time.
//!
//! `series` reads figures off the facts, `plots` draws them, `page` is the page.
mod page;
mod plots;
mod series;

use crate::judge::FactIndex;
use crate::play::Verdict;
use crate::record::{ExperimentFolder, RecordError};
use crate::score;

#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    #[error(transparent)]
    Record(#[from] RecordError),
    #[error("there are no plays in it")]
    Empty,
    #[error("a plot can't be drawn: {0}")]
    Plot(String),
}

/// A play as the page shows it.
struct Shown {
    verdict: Verdict,
    bands: Vec<series::Band>,
    latency: String,
    outcomes: String,
    limits: String,
}

/// The page for all plays of a folder.
pub fn page(folder: &ExperimentFolder) -> Result<String, ReportError> {
    let plays = folder.verdicts()?.into_iter().map(|verdict| shown(folder, verdict));
    let plays = plays.collect::<Result<Vec<Shown>, ReportError>>()?;
    if plays.is_empty() {
        return Err(ReportError::Empty);
    }
    Ok(page::render(&plays))
}

fn shown(folder: &ExperimentFolder, verdict: Verdict) -> Result<Shown, ReportError> {
    let (drawn, facts) = (folder.plan(verdict.seed)?, folder.facts(verdict.seed)?);
    let case = FactIndex::new(&drawn.terms, &facts);
    let served = score::request_results(&case);
    let bands = series::bands(&facts, drawn.terms.request_span);
    let seconds = series::seconds(&drawn.terms);
    let plot = |drawn: Result<String, plots::PlotError>| drawn.map_err(|e| ReportError::Plot(e.to_string()));
    Ok(Shown {
        latency: plot(plots::latency(&series::latency(&served, seconds), &bands))?,
        outcomes: plot(plots::outcomes(&series::outcomes(&served, seconds), &bands))?,
        limits: plot(plots::limits(&series::limits(&case, &drawn.destinations, seconds), &bands))?,
        verdict,
        bands,
    })
}
