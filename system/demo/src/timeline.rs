//! The HTML report: a timeline of the runs on workers, annotated with cluster events, and the results table.
use crate::{
    results::{ClusterEvent, Results},
    worker_server::WorkerEvent,
};
use magpiegap_fleet::RunEvent;
use magpiegap_protocol::{CompletionKind, RunId, TaskId};
use std::{collections::BTreeMap, fmt::Write};

/// Width of a second, in pixels.
const SECOND_PX: u64 = 40;
/// Height of a worker's row, in pixels.
const ROW_PX: u64 = 18;
/// Gap between the spans of adjacent rows, in pixels.
const ROW_GAP_PX: u64 = 3;
/// Width of the column of worker names, in pixels.
const NAME_COLUMN_PX: u64 = 60;
/// Margin to the right of the last run, in pixels.
const MARGIN_PX: u64 = 200;
/// Height of the footer below the last row, in pixels.
const FOOTER_PX: u64 = 60;
/// Height of a line of text in the footer, in pixels.
const LINE_PX: u64 = 12;
/// Number of text lines in the footer.
const FOOTER_LINES: u64 = 3;

/// The style of a run's span, which selects its CSS class.
#[derive(Clone, Copy)]
enum SpanStyle {
    Done,
    Other,
    Lost,
}

impl SpanStyle {
    fn class(self) -> &'static str {
        match self {
            SpanStyle::Done => "done",
            SpanStyle::Other => "other",
            SpanStyle::Lost => "lost",
        }
    }
}

/// Identifies a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RunKey {
    incarnation: String,
    task: String,
    run: RunId,
}

impl RunKey {
    fn new(event: &WorkerEvent, task: &TaskId, run: RunId) -> RunKey {
        RunKey {
            incarnation: event.incarnation.clone(),
            task: task.to_string(),
            run,
        }
    }
}

/// The span of a run on the timeline; times are in milliseconds since the demo started.
struct RunSpan {
    incarnation: String,
    start_ms: u64,
    end_ms: u64,
    style: SpanStyle,
}

/// Renders the HTML page.
pub(crate) fn to_page(results: &Results, table: &str) -> String {
    let spans = spans(&results.worker_events);
    let rows = rows(&spans);
    let last = spans.iter().map(|span| span.end_ms).max().unwrap_or(0);
    let width = to_px(last) + MARGIN_PX;
    let height = ROW_PX * rows.len() as u64 + FOOTER_PX;
    let mut page = String::from(
        "<!doctype html><meta charset=utf-8><title>magpiegap demo</title><style>body{font:13px sans-serif}\
         .done{fill:#4a8}.other{fill:#c83}.lost{fill:#b33}rect{opacity:.55}</style><h1>Runs on workers</h1>",
    );
    let _ = write!(page, "<svg width={width} height={height}>");
    for (name, row) in &rows {
        let _ = write!(page, "<text x=0 y={}>{name}</text>", 13 + row * ROW_PX);
    }
    for span in &spans {
        write_span(&mut page, span, rows[span.incarnation.as_str()]);
    }
    for (number, event) in results.cluster_events.iter().enumerate() {
        let line = number as u64 % FOOTER_LINES;
        write_cluster_event(&mut page, event, height, line);
    }
    let _ = write!(page, "</svg><h1>Figures</h1><pre>{table}</pre>");
    page
}

/// Assigns a row to each worker, in the order of their first spans.
fn rows(spans: &[RunSpan]) -> BTreeMap<&str, u64> {
    let mut rows = BTreeMap::new();
    for span in spans {
        let next = rows.len() as u64;
        rows.entry(span.incarnation.as_str()).or_insert(next);
    }
    rows
}

/// Returns the spans of the runs: the completed runs first, then the runs without a completion, which are drawn up to
/// the last event.
fn spans(worker_events: &[WorkerEvent]) -> Vec<RunSpan> {
    let last = worker_events.iter().map(|event| event.at).max();
    let mut started: BTreeMap<RunKey, u64> = BTreeMap::new();
    let mut spans = Vec::new();
    for event in worker_events {
        match &event.run_event {
            RunEvent::Started { task, run, .. } => {
                started.insert(RunKey::new(event, task, *run), event.at);
            }
            RunEvent::Completed(completion) => {
                let key = RunKey::new(event, &completion.task, completion.run);
                if let Some(start_ms) = started.remove(&key) {
                    spans.push(RunSpan {
                        incarnation: key.incarnation,
                        start_ms,
                        end_ms: event.at,
                        style: match completion.kind {
                            CompletionKind::Done => SpanStyle::Done,
                            _ => SpanStyle::Other,
                        },
                    });
                }
            }
            RunEvent::Acknowledged(_) => {}
        }
    }
    spans.extend(started.into_iter().map(|(key, start_ms)| RunSpan {
        incarnation: key.incarnation,
        start_ms,
        end_ms: last.unwrap_or(0),
        style: SpanStyle::Lost,
    }));
    spans
}

fn to_px(ms: u64) -> u64 {
    ms * SECOND_PX / 1000
}

fn write_span(page: &mut String, span: &RunSpan, row: u64) {
    let x = NAME_COLUMN_PX + to_px(span.start_ms);
    let y = row * ROW_PX;
    let width = to_px(span.end_ms.saturating_sub(span.start_ms)).max(1);
    let _ = write!(
        page,
        "<rect class={} x={x} y={y} width={width} height={}></rect>",
        span.style.class(),
        ROW_PX - ROW_GAP_PX
    );
}

fn write_cluster_event(page: &mut String, event: &ClusterEvent, height: u64, line: u64) {
    let x = NAME_COLUMN_PX + to_px(event.at);
    let y = height - LINE_PX * line - 4;
    let _ = write!(
        page,
        "<line x1={x} x2={x} y1=0 y2={height} stroke=#b33></line>"
    );
    let _ = write!(page, "<text x={} y={y}>{}</text>", x + 3, event.description);
}
