//! What is told at the end: a table, and a page to open.
use crate::{clients::JobStory, error::DemoError, usage::Usage, worker_server::WorkerEvent};
use magpiegap_fleet::Deed;
use std::{collections::BTreeMap, fmt::Write, path::Path};

/// Something that was done to the cluster.
#[derive(Clone, Debug)]
pub(crate) struct Happening {
    /// When, in milliseconds since the demo began.
    pub at: u64,
    /// What.
    pub what: String,
}

/// All that is reported.
pub(crate) struct Report {
    /// The jobs.
    pub stories: Vec<JobStory>,
    /// What was done to the cluster.
    pub happenings: Vec<Happening>,
    /// What happened on workers.
    pub worker_events: Vec<WorkerEvent>,
    /// What each process has used while jobs were handed in and followed.
    pub usage: Vec<(String, Usage)>,
    /// How long that took.
    pub wall_ms: u64,
}

/// Prints the table and writes the page.
///
/// # Errors
/// When the page can't be written, or some job is not done.
pub(crate) fn finish(report: &Report, folder: &Path) -> Result<(), DemoError> {
    print!("{}", table(report));
    let page = folder.join("report.html");
    std::fs::write(&page, to_page(report))
        .map_err(DemoError::system(page.display().to_string()))?;
    println!("the page to open: {}", page.display());
    let open = report
        .stories
        .iter()
        .filter(|story| story.succeeded_after_ms.is_none())
        .count();
    match open {
        0 => Ok(()),
        open => Err(DemoError::Cluster(format!("{open} jobs are not done"))),
    }
}

fn table(report: &Report) -> String {
    let stories = &report.stories;
    let done: Vec<u64> = stories
        .iter()
        .filter_map(|story| story.succeeded_after_ms)
        .collect();
    let accepted = stories
        .iter()
        .map(|story| story.accepted_after_ms)
        .collect();
    let starts = report
        .worker_events
        .iter()
        .filter(|event| matches!(event.deed, Deed::Started { .. }))
        .count();
    let mut text = String::new();
    let _ = writeln!(
        text,
        "jobs: {} handed in, {} succeeded; {starts} runs started",
        stories.len(),
        done.len()
    );
    let _ = writeln!(text, "accepted after: {}", spread(accepted));
    let _ = writeln!(text, "succeeded after: {}", spread(done));
    let _ = writeln!(
        text,
        "{:<16} {:>12} {:>10}",
        "process", "cores, mean", "peak MB"
    );
    for (name, usage) in &report.usage {
        let cores = usage.processor_ms as f64 / report.wall_ms.max(1) as f64;
        let _ = writeln!(
            text,
            "{name:<16} {cores:>12.4} {:>10.1}",
            usage.peak_kb as f64 / 1024.0
        );
    }
    text
}

/// The middle and the upper end of some times.
fn spread(mut times_ms: Vec<u64>) -> String {
    times_ms.sort_unstable();
    let at = |part: f64| {
        times_ms
            .get((times_ms.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0)
    };
    format!(
        "half within {} ms, 95 of 100 within {} ms, 99 within {} ms",
        at(0.5),
        at(0.95),
        at(0.99)
    )
}

/// One run on a worker, for the timeline.
struct Bar {
    incarnation: String,
    from: u64,
    to: u64,
    how: &'static str,
}

fn bars(report: &Report) -> Vec<Bar> {
    let end = report
        .worker_events
        .iter()
        .map(|event| event.at)
        .max()
        .unwrap_or(0);
    let mut open: BTreeMap<(String, String, u32), u64> = BTreeMap::new();
    let mut bars = Vec::new();
    for event in &report.worker_events {
        match &event.deed {
            Deed::Started { task, run, .. } => {
                open.insert(
                    (event.incarnation.clone(), task.to_string(), *run),
                    event.at,
                );
            }
            Deed::Ended { task, run, how } => {
                let key = (event.incarnation.clone(), task.to_string(), *run);
                if let Some(from) = open.remove(&key) {
                    let how = if *how == magpiegap_protocol::CompletionKind::Done {
                        "done"
                    } else {
                        "other"
                    };
                    bars.push(Bar {
                        incarnation: key.0,
                        from,
                        to: event.at,
                        how,
                    });
                }
            }
            Deed::Noted(_) => {}
        }
    }
    bars.extend(open.into_iter().map(|(key, from)| Bar {
        incarnation: key.0,
        from,
        to: end,
        how: "lost",
    }));
    bars
}

/// Pixels for a second.
const SECOND_PX: u64 = 40;
/// Pixels for a worker.
const ROW_PX: u64 = 18;

fn to_page(report: &Report) -> String {
    let bars = bars(report);
    let mut rows: BTreeMap<&str, u64> = BTreeMap::new();
    for bar in &bars {
        let next = rows.len() as u64;
        rows.entry(&bar.incarnation).or_insert(next);
    }
    let px = |ms: u64| ms * SECOND_PX / 1000;
    let width = px(bars.iter().map(|bar| bar.to).max().unwrap_or(0)) + 200;
    let height = ROW_PX * rows.len() as u64 + 60;
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>magpiegap demo</title><style>body{font:13px sans-serif}\
         .done{fill:#4a8}.other{fill:#c83}.lost{fill:#b33}rect{opacity:.55}</style><h1>Runs on workers</h1>",
    );
    let _ = write!(page, "<svg width={width} height={height}>");
    for (name, row) in &rows {
        let _ = write!(page, "<text x=0 y={}>{name}</text>", 13 + row * ROW_PX);
    }
    for bar in &bars {
        let (x, y) = (60 + px(bar.from), rows[bar.incarnation.as_str()] * ROW_PX);
        let wide = px(bar.to.saturating_sub(bar.from)).max(1);
        let _ = write!(
            page,
            "<rect class={} x={x} y={y} width={wide} height={}></rect>",
            bar.how,
            ROW_PX - 3
        );
    }
    for (number, happening) in report.happenings.iter().enumerate() {
        let x = 60 + px(happening.at);
        let y = height - 12 * (number as u64 % 3) - 4;
        let _ = write!(
            page,
            "<line x1={x} x2={x} y1=0 y2={height} stroke=#b33></line>"
        );
        let _ = write!(page, "<text x={} y={y}>{}</text>", x + 3, happening.what);
    }
    let _ = write!(page, "</svg><h1>Figures</h1><pre>{}</pre>", table(report));
    page
}
