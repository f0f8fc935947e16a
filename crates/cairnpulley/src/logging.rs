//! Sets up the log on standard error.
use clap::ValueEnum;
use tracing_subscriber::filter::{EnvFilter, ParseError};
use tracing_subscriber::fmt;

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum Format {
    #[default]
    Text,
    Json,
}

/// Starts logging the events that a filter such as `info` or `testbed=debug` selects.
pub fn init(format: Format, filter: &str) -> Result<(), ParseError> {
    let subscriber =
        fmt().with_env_filter(EnvFilter::try_new(filter)?).with_writer(std::io::stderr).with_ansi(false);
    match format {
        Format::Text => subscriber.init(),
        Format::Json => subscriber.json().init(),
    }
    Ok(())
}
