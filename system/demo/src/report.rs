//! Prints the results table and writes the HTML report.
use crate::{
    error::DemoError,
    results::{ProcessUsage, Results},
    timeline,
};
use magpiegap_fleet::RunEvent;
use std::{fmt::Write, path::Path};

/// Prints the results table and writes the HTML report.
///
/// # Errors
/// If the report cannot be written, or some job did not succeed.
pub(crate) fn publish(results: &Results, folder: &Path) -> Result<(), DemoError> {
    let table = table(results);
    print!("{table}");
    let page = folder.join("report.html");
    std::fs::write(&page, timeline::to_page(results, &table))
        .map_err(DemoError::system(page.display().to_string()))?;
    println!("report: {}", page.display());
    let unfinished = results
        .jobs
        .iter()
        .filter(|job| job.succeeded_after_ms.is_none())
        .count();
    match unfinished {
        0 => Ok(()),
        unfinished => Err(DemoError::UnfinishedJobs(unfinished)),
    }
}

fn table(results: &Results) -> String {
    let jobs = &results.jobs;
    let succeeded: Vec<u64> = jobs
        .iter()
        .filter_map(|job| job.succeeded_after_ms)
        .collect();
    let accepted = jobs.iter().map(|job| job.accepted_after_ms).collect();
    let starts = results
        .worker_events
        .iter()
        .filter(|event| matches!(event.run_event, RunEvent::Started { .. }))
        .count();
    let mut text = String::new();
    let _ = writeln!(
        text,
        "jobs: {} submitted, {} succeeded; {starts} runs started",
        jobs.len(),
        succeeded.len()
    );
    let _ = writeln!(text, "accepted after: {}", percentiles(accepted));
    let _ = writeln!(text, "succeeded after: {}", percentiles(succeeded));
    let _ = writeln!(
        text,
        "{:<16} {:>12} {:>10}",
        "process", "cores, mean", "peak MB"
    );
    for ProcessUsage { name, usage } in &results.usage {
        let cores = usage.cpu_ms as f64 / results.wall_ms.max(1) as f64;
        let _ = writeln!(
            text,
            "{name:<16} {cores:>12.4} {:>10.1}",
            usage.peak_kb as f64 / 1024.0
        );
    }
    text
}

/// Formats the median, the 95th and the 99th percentile.
fn percentiles(mut times_ms: Vec<u64>) -> String {
    times_ms.sort_unstable();
    let at = |fraction: f64| {
        times_ms
            .get((times_ms.len() as f64 * fraction) as usize)
            .copied()
            .unwrap_or(0)
    };
    format!(
        "p50 {} ms, p95 {} ms, p99 {} ms",
        at(0.5),
        at(0.95),
        at(0.99)
    )
}
