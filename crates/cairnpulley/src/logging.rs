//! The log on standard error, as text or JSON lines.
use clap::ValueEnum;
use tracing_subscriber::filter::{EnvFilter, ParseError};
use tracing_subscriber::fmt;

#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum Format {
    #[default]
    Text,
    Json,
}

pub fn start(format: Format, filter: &str) -> Result<(), ParseError> {
    let log =
        fmt().with_env_filter(EnvFilter::try_new(filter)?).with_writer(std::io::stderr).with_ansi(false);
    match format {
        Format::Text => log.init(),
        Format::Json => log.json().init(),
    }
    Ok(())
}
