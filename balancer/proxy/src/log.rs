//! The log: events of stable names, as text or as objects, held to a rate, on a thread of their own so that nobody
//! who does not read it holds up a request.
use crate::options::{Format, Level, Log};
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::fmt;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime};
use tracing::callsite::Identifier;
use tracing::field::{Field, Visit};
use tracing::{Event, Metadata, Subscriber};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};
use tracing_subscriber::registry::Registry;
use tracing_subscriber::reload;
use tracing_subscriber::util::SubscriberInitExt;

/// Lines that wait for a reader at most; what comes beyond is dropped and counted.
const WAITING: usize = 1024;

/// The log while the program runs; what waits is written when this is dropped.
pub(crate) struct Logging {
    filter: reload::Handle<Targets, Registry>,
    shared: Arc<Shared>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

#[derive(Default)]
struct Shared {
    /// Lines a second from one cause.
    rate: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

/// What became of the lines so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub(crate) struct Lines {
    /// Handed to the reader.
    pub written: u64,
    /// Left out because their cause was over its rate.
    pub left_out: u64,
    /// Dropped because nobody read.
    pub dropped: u64,
}

fn filter(of: &Log) -> Targets {
    let level = |level: Level| match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    };
    let parts = of.parts.iter().map(|(part, l)| (part.clone(), level(*l)));
    // Libraries below have nothing to say to an operator: only our own parts are logged.
    let own = crate::options::PARTS
        .iter()
        .map(|part| (part.to_string(), level(of.level)));
    Targets::new().with_targets(own).with_targets(parts)
}

impl Logging {
    /// Starts it.
    pub(crate) fn start(of: &Log) -> Result<Logging, String> {
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(WAITING);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped = writer.error_counter();
        let shared = Arc::new(Shared::default());
        shared.rate.store(u64::from(of.rate), Ordering::Relaxed);
        let lines = Writer {
            writer,
            format: of.format,
            shared: shared.clone(),
            causes: Mutex::default(),
            dropped: dropped.clone(),
            told: AtomicU64::new(0),
        };
        let (filter, handle) = reload::Layer::new(filter(of));
        let started = tracing_subscriber::registry()
            .with(lines.with_filter(filter))
            .try_init();
        started.map_err(|e| format!("the log: {e}"))?;
        Ok(Logging {
            filter: handle,
            shared,
            dropped,
            _writer: guard,
        })
    }

    /// Takes over what may change while the program runs.
    pub(crate) fn change(&self, to: &Log) {
        self.shared
            .rate
            .store(u64::from(to.rate), Ordering::Relaxed);
        // It fails only once the log has ended.
        let _ = self.filter.reload(filter(to));
    }

    /// What became of the lines so far.
    pub(crate) fn lines(&self) -> Lines {
        Lines {
            written: self.shared.written.load(Ordering::Relaxed),
            left_out: self.shared.left_out.load(Ordering::Relaxed),
            dropped: self.dropped.dropped_lines() as u64,
        }
    }
}

/// How much one cause has said lately.
struct Cause {
    since: Instant,
    lines: u64,
    left_out: u64,
}

struct Writer {
    writer: NonBlocking,
    format: Format,
    shared: Arc<Shared>,
    causes: Mutex<HashMap<Identifier, Cause>>,
    dropped: ErrorCounter,
    /// Dropped lines that were told of.
    told: AtomicU64,
}

impl Writer {
    /// Whether a cause may write one more line, and how many it was held to be silent for before.
    fn allows(&self, of: &Metadata<'_>) -> Option<u64> {
        let rate = self.shared.rate.load(Ordering::Relaxed);
        let mut causes = self
            .causes
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = Instant::now();
        let cause = causes.entry(of.callsite()).or_insert(Cause {
            since: now,
            lines: 0,
            left_out: 0,
        });
        if now.duration_since(cause.since).as_secs() >= 1 {
            (cause.since, cause.lines) = (now, 0);
        }
        cause.lines += 1;
        if cause.lines > rate {
            cause.left_out += 1;
            self.shared.left_out.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(std::mem::take(&mut cause.left_out))
    }

    fn line(&self, metadata: &Metadata<'_>, fields: Map<String, Value>) {
        let mut line = match self.format {
            Format::Text => text(&fields),
            Format::Json => json(metadata, fields),
        };
        line.push('\n');
        self.shared.written.fetch_add(1, Ordering::Relaxed);
        // A line that nobody takes is counted by the writer itself.
        let _ = self.writer.clone().write_all(line.as_bytes());
    }
}

/// What an event says, in a sentence if it has one, or else its name and fields.
fn text(fields: &Map<String, Value>) -> String {
    if let Some(Value::String(message)) = fields.get("message") {
        return message.replace('\n', " ");
    }
    let name = fields
        .get("event")
        .and_then(Value::as_str)
        .unwrap_or("event");
    let mut line = name.to_string();
    for (field, value) in fields.iter().filter(|(field, _)| *field != "event") {
        match value {
            Value::String(text) => line.push_str(&format!(" {field}={}", text.replace('\n', " "))),
            value => line.push_str(&format!(" {field}={value}")),
        }
    }
    line
}

fn json(metadata: &Metadata<'_>, fields: Map<String, Value>) -> String {
    let mut line = Map::new();
    line.insert(
        "time".into(),
        humantime::format_rfc3339_millis(SystemTime::now())
            .to_string()
            .into(),
    );
    line.insert(
        "level".into(),
        metadata.level().as_str().to_ascii_lowercase().into(),
    );
    line.insert("part".into(), metadata.target().into());
    line.extend(fields);
    Value::Object(line).to_string()
}

/// Collects the fields of an event.
struct Fields(Map<String, Value>);

impl Visit for Fields {
    fn record_f64(&mut self, field: &Field, value: f64) {
        self.0.insert(field.name().into(), value.into());
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.0.insert(field.name().into(), value.into());
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.insert(field.name().into(), value.into());
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.0.insert(field.name().into(), value.into());
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        // Figures come as an object already.
        let value = match field.name() {
            "figures" => serde_json::from_str(value).unwrap_or_else(|_| value.into()),
            _ => value.into(),
        };
        self.0.insert(field.name().into(), value);
    }
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.0
            .insert(field.name().into(), format!("{value:?}").into());
    }
}

impl<S: Subscriber> Layer<S> for Writer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let Some(left_out) = self.allows(event.metadata()) else {
            return;
        };
        let mut fields = Fields(Map::new());
        event.record(&mut fields);
        if left_out > 0 {
            let name = fields.0.get("event").cloned().unwrap_or_default();
            let name = name.as_str().unwrap_or_default();
            let mut note = Map::new();
            note.insert("event".into(), "lines_left_out".into());
            note.insert("of".into(), name.into());
            note.insert("count".into(), left_out.into());
            note.insert(
                "message".into(),
                format!("log: {left_out} lines like {name} were left out").into(),
            );
            self.line(event.metadata(), note);
        }
        let dropped = self.dropped.dropped_lines() as u64;
        if self.told.swap(dropped, Ordering::Relaxed) < dropped {
            let mut note = Map::new();
            note.insert("event".into(), "lines_dropped".into());
            note.insert("count".into(), dropped.into());
            note.insert(
                "message".into(),
                format!("log: {dropped} lines so far were dropped: nobody read them").into(),
            );
            self.line(event.metadata(), note);
        }
        self.line(event.metadata(), fields.0);
    }
}
