//! The log: events with stable names, as text or as JSON objects, with a rate limit. A separate thread writes the
//! lines, so that a stalled reader blocks no request. Owns the rate limits and the line counters.
use crate::options::{Format, Level, LogOptions, LOG_TARGETS};
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
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};

/// Maximum number of lines queued for the writer thread; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 1024;

/// The log could not be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the log: {0}")]
pub(crate) struct LogError(#[source] TryInitError);

/// The running log. Queued lines are written when it is dropped.
pub(crate) struct Logging {
    filter: reload::Handle<Targets, Registry>,
    shared: Arc<Shared>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

#[derive(Default)]
struct Shared {
    /// Maximum number of lines per second from one call site.
    rate: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

/// Line counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub(crate) struct LogCounters {
    /// Lines queued for the writer thread.
    pub written: u64,
    /// Lines suppressed because their call site exceeded its rate limit.
    #[serde(rename = "left_out")]
    pub suppressed: u64,
    /// Lines dropped because the reader stalled.
    pub dropped: u64,
}

fn level_filter(level: Level) -> LevelFilter {
    match level {
        Level::Off => LevelFilter::OFF,
        Level::Error => LevelFilter::ERROR,
        Level::Warn => LevelFilter::WARN,
        Level::Info => LevelFilter::INFO,
        Level::Debug => LevelFilter::DEBUG,
    }
}

fn filter(options: &LogOptions) -> Targets {
    // Only the targets of this program are logged, not those of libraries.
    let own = LOG_TARGETS
        .iter()
        .map(|target| (target.to_string(), level_filter(options.level)));
    let single = options
        .targets
        .iter()
        .map(|(target, level)| (target.clone(), level_filter(*level)));
    Targets::new().with_targets(own).with_targets(single)
}

impl Logging {
    /// Starts the log.
    ///
    /// # Errors
    /// Fails if a log has already been started in this process.
    pub(crate) fn start(options: &LogOptions) -> Result<Logging, LogError> {
        let builder = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = builder.finish(std::io::stderr());
        let dropped = writer.error_counter();
        let shared = Arc::new(Shared::default());
        shared
            .rate
            .store(u64::from(options.rate), Ordering::Relaxed);
        let lines = Writer {
            writer,
            format: options.format,
            shared: shared.clone(),
            call_sites: Mutex::default(),
            dropped: dropped.clone(),
            reported_dropped: AtomicU64::new(0),
        };
        let (filter, handle) = reload::Layer::new(filter(options));
        let started = tracing_subscriber::registry()
            .with(lines.with_filter(filter))
            .try_init();
        started.map_err(LogError)?;
        Ok(Logging {
            filter: handle,
            shared,
            dropped,
            _writer: guard,
        })
    }

    /// Applies the options that can change at runtime.
    pub(crate) fn reconfigure(&self, options: &LogOptions) {
        self.shared
            .rate
            .store(u64::from(options.rate), Ordering::Relaxed);
        // Fails only after the log has ended.
        let _ = self.filter.reload(filter(options));
    }

    /// Returns the line counters.
    pub(crate) fn counters(&self) -> LogCounters {
        LogCounters {
            written: self.shared.written.load(Ordering::Relaxed),
            suppressed: self.shared.suppressed.load(Ordering::Relaxed),
            dropped: self.dropped.dropped_lines() as u64,
        }
    }
}

/// The rate limit of one call site.
struct RateLimit {
    since: Instant,
    lines: u64,
    suppressed: u64,
}

struct Writer {
    writer: NonBlocking,
    format: Format,
    shared: Arc<Shared>,
    call_sites: Mutex<HashMap<Identifier, RateLimit>>,
    dropped: ErrorCounter,
    /// Number of dropped lines already reported.
    reported_dropped: AtomicU64,
}

impl Writer {
    /// Returns how many lines of the call site were suppressed before this one, or `None` if this one is suppressed.
    fn admit(&self, metadata: &Metadata<'_>) -> Option<u64> {
        let rate = self.shared.rate.load(Ordering::Relaxed);
        let mut call_sites = self
            .call_sites
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = Instant::now();
        let limit = call_sites.entry(metadata.callsite()).or_insert(RateLimit {
            since: now,
            lines: 0,
            suppressed: 0,
        });
        if now.duration_since(limit.since).as_secs() >= 1 {
            limit.since = now;
            limit.lines = 0;
        }
        limit.lines += 1;
        if limit.lines > rate {
            limit.suppressed += 1;
            self.shared.suppressed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        Some(std::mem::take(&mut limit.suppressed))
    }

    fn write_line(&self, metadata: &Metadata<'_>, fields: Map<String, Value>) {
        let mut line = match self.format {
            Format::Text => text(&fields),
            Format::Json => json(metadata, fields),
        };
        line.push('\n');
        self.shared.written.fetch_add(1, Ordering::Relaxed);
        // The writer counts dropped lines itself.
        let _ = self.writer.clone().write_all(line.as_bytes());
    }
}

/// Formats an event as text: its message, or its name and fields if it has none.
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
        // Metrics are already serialized as a JSON object.
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

impl Writer {
    fn write_suppressed(&self, metadata: &Metadata<'_>, fields: &Map<String, Value>, count: u64) {
        let name = fields.get("event").cloned().unwrap_or_default();
        let name = name.as_str().unwrap_or_default();
        let mut record = Map::new();
        record.insert("event".into(), "lines_left_out".into());
        record.insert("of".into(), name.into());
        record.insert("count".into(), count.into());
        let message = format!("log: {count} lines like {name} were suppressed by the rate limit");
        record.insert("message".into(), message.into());
        self.write_line(metadata, record);
    }

    fn write_dropped(&self, metadata: &Metadata<'_>, count: u64) {
        let mut record = Map::new();
        record.insert("event".into(), "lines_dropped".into());
        record.insert("count".into(), count.into());
        let message = format!("log: {count} lines were dropped so far because the reader stalled");
        record.insert("message".into(), message.into());
        self.write_line(metadata, record);
    }
}

impl<S: Subscriber> Layer<S> for Writer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let metadata = event.metadata();
        let Some(suppressed) = self.admit(metadata) else {
            return;
        };
        let mut fields = Fields(Map::new());
        event.record(&mut fields);
        if suppressed > 0 {
            self.write_suppressed(metadata, &fields.0, suppressed);
        }
        let dropped = self.dropped.dropped_lines() as u64;
        if self.reported_dropped.swap(dropped, Ordering::Relaxed) < dropped {
            self.write_dropped(metadata, dropped);
        }
        self.write_line(metadata, fields.0);
    }
}
