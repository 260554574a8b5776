//! Logging as JSON lines on standard error, through `simplelog`.

use std::io::{Write, stderr};

use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};
use simplelog::{CombinedLogger, Config, SharedLogger};

use crate::clock;

/// Libraries of which only warnings and errors are logged, because their less severe records are of
/// no use to operators.
const WARN_ONLY_TARGETS: [&str; 5] = ["quinn", "rustls", "hyper", "slog", "dropshot"];

/// Logger that writes each record to standard error, as one JSON object on a line of its own.
#[derive(Debug)]
pub struct JsonLogger {
    level: LevelFilter,
}

/// Makes a [`JsonLogger`] with this level the logger of the process. A second call has no effect,
/// because the logger of a process can be set only once.
pub fn start(level: LevelFilter) {
    if let Err(error) = CombinedLogger::init(vec![Box::new(JsonLogger { level })]) {
        log::debug!("keeping the logger that is already set: {error}");
    }
}

/// Returns a logger for libraries that log through `slog`. The logger forwards the records of the
/// libraries to the `log` crate.
pub fn slog_bridge() -> slog::Logger {
    use slog::Drain;
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}

/// Visitor that collects the key-value pairs of a log record into a JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match value.to_u64() {
            Some(number) => json!(number),
            None => json!(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let library = WARN_ONLY_TARGETS
            .iter()
            .any(|t| metadata.target().starts_with(t));
        let level = if library {
            self.level.min(LevelFilter::Warn)
        } else {
            self.level
        };
        metadata.level() <= level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = Map::new();
        line.insert("at_unix_ms".to_owned(), json!(clock::unix_ms()));
        line.insert("level".to_owned(), json!(record.level().as_str()));
        line.insert("target".to_owned(), json!(record.target()));
        line.insert("message".to_owned(), json!(record.args().to_string()));
        if let Err(error) = record.key_values().visit(&mut FieldVisitor(&mut line)) {
            line.insert("fields_lost".to_owned(), json!(error.to_string()));
        }
        let text = serde_json::Value::Object(line).to_string();
        // The result of the write is ignored, because there is no other place to report a failure
        // of the log.
        writeln!(stderr().lock(), "{text}").ok();
    }

    fn flush(&self) {}
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    // The trait `simplelog::SharedLogger` requires the boxed receiver.
    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        Box::new(*self)
    }
}
