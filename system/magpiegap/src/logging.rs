//! Logging to standard error, one line per event.
use flexi_logger::{DeferredNow, LogSpecification, Logger, Record};
use std::io::Write;

/// Starts logging at the level set in `MAGPIEGAP_LOG`, by default `info`.
pub(crate) fn start(node: &str) {
    let level = std::env::var("MAGPIEGAP_LOG").unwrap_or_else(|_| "info".to_owned());
    let specification = LogSpecification::parse(format!("error, magpiegap={level}"));
    let specification = specification.unwrap_or_else(|_| LogSpecification::info());
    // A failure to set up logging does not prevent the process from running.
    let _ = Logger::with(specification)
        .log_to_stderr()
        .format(write_line)
        .start();
    log::info!("starting node={node}");
}

fn write_line(
    out: &mut dyn Write,
    _now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    write!(out, "{} {}", record.level(), record.args())
}
