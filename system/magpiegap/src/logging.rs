//! The operator's log: one event a line, on standard error.
use flexi_logger::{DeferredNow, LogSpecification, Logger, Record};
use std::io::Write;

/// Starts the log. Its level is `info`, or what `MAGPIEGAP_LOG` says.
pub(crate) fn start(node: &str) {
    let level = std::env::var("MAGPIEGAP_LOG").unwrap_or_else(|_| "info".to_owned());
    let specification = LogSpecification::parse(format!("error, magpiegap={level}"));
    let specification = specification.unwrap_or_else(|_| LogSpecification::info());
    // The program works without a log, too.
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
