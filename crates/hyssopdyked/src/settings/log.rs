//! Settings of the event log and the metrics.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use super::Section;

/// Format of the events on standard output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogFormat {
    /// Human-readable lines.
    Terminal,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "terminal" => Ok(Self::Terminal),
            "json" => Ok(Self::Json),
            _ => Err(()),
        }
    }
}

impl fmt::Display for LogFormat {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Terminal => "terminal",
            Self::Json => "json",
        })
    }
}

/// Level and format of the events, and addresses for the metrics.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    pub(crate) level: slog::Level,
    pub(crate) format: LogFormat,
    /// Address of the statsd server that receives the metrics.
    pub(crate) statsd: Option<SocketAddr>,
    /// Address that serves the metrics as text, at `/metrics`.
    pub(crate) metrics: Option<SocketAddr>,
}

impl Log {
    pub(super) fn read(section: &mut Section<'_>) -> Option<Self> {
        let level = match section.optional_text("level") {
            Some(_) => section.value("level", "one of error, warning, info, debug, trace"),
            None => Some(slog::Level::Info),
        };
        let format = match section.optional_text("form") {
            Some(_) => section.value("form", "one of terminal, json"),
            None => Some(LogFormat::Terminal),
        };
        let statsd = section.list("statsd", "a socket address")?.pop();
        let metrics = section.optional("metrics", "a socket address");
        Some(Self { level: level?, format: format?, statsd, metrics })
    }
}

impl fmt::Display for Log {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "[log]")?;
        writeln!(formatter, "level = {}", self.level.as_str().to_lowercase())?;
        writeln!(formatter, "form = {}", self.format)?;
        if let Some(statsd) = self.statsd {
            writeln!(formatter, "statsd = {statsd}")?;
        }
        if let Some(metrics) = self.metrics {
            writeln!(formatter, "metrics = {metrics}")?;
        }
        Ok(())
    }
}
