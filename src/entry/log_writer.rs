//! Writes log events as JSON lines to standard output. Callers never block: lines go through a
//! bounded queue to a writer thread, and lines that do not fit are dropped and counted.

use std::{
    io::{Write, stdout},
    sync::{
        LazyLock, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    thread,
};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde::Serialize;

use crate::clock;

/// Capacity of the writer thread's queue, in chunks. A chunk contains the lines that were logged in
/// one interval of [`FLUSH_MS`].
const QUEUE_CHUNKS: usize = 16;
/// Size of a chunk above which further lines are dropped. This size limits the log to 640 KB per
/// second.
const CHUNK_BYTES_MAX: usize = 128 * 1024;
/// Interval at which [`flush`] is called; all lines of an interval are written by one system call.
pub const FLUSH_MS: u64 = 200;

static WRITER: LazyLock<LogWriter> = LazyLock::new(LogWriter::start);

/// Turns records of the `log` crate, from libraries and from this program, into `message` events.
struct LogBridge;

impl Log for LogBridge {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let own = metadata.target().starts_with("ashroad");
        own || metadata.level() <= Level::Warn
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        write(&WriterEvent::Message {
            level: record.level().as_str(),
            target: record.target().to_owned(),
            text: record.args().to_string(),
        });
    }

    fn flush(&self) {}
}

/// Sets the process's logger, for records up to the given severity. A second call changes only the
/// level.
pub fn start(level: LevelFilter) {
    log::set_max_level(level);
    if log::set_logger(&LogBridge).is_err() {
        log::debug!("a logger is already set");
    }
}

struct LogWriter {
    /// Lines that have not been handed to the writer thread yet, each ended by a line feed.
    pending: Mutex<Vec<u8>>,
    /// Number of lines dropped since the last `dropped` event.
    dropped: AtomicU64,
    /// Number of lines dropped since the start of the process.
    dropped_in_total: AtomicU64,
    /// Sending end of the writer thread's queue of chunks.
    chunks: SyncSender<Vec<u8>>,
}

/// Events that the log writer itself creates, besides those that callers queue.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum WriterEvent {
    /// Record that a library or another part of the program logged through the `log` crate.
    Message {
        /// Severity, such as `WARN`.
        level: &'static str,
        /// Module that logged the record.
        target: String,
        /// Text of the record, with its arguments filled in.
        text: String,
    },
    /// Lines were dropped because too many were logged or standard output was not read fast enough.
    Dropped {
        /// Number of lines dropped since the last event of this kind.
        lines: u64,
    },
}

#[derive(Serialize)]
struct Line<'a, E> {
    at_unix_ms: u64,
    #[serde(flatten)]
    event: &'a E,
}

/// Queues one event as a JSON line. The line is dropped and counted if too many lines are already
/// waiting.
pub fn write(event: &impl Serialize) {
    WRITER.write(event);
}

/// Hands the queued lines to the writer thread as one chunk. Drops and counts the lines if the
/// queue of the writer thread is full.
pub fn flush() {
    WRITER.flush();
}

/// Returns the number of lines dropped since the start of the process.
pub fn dropped_in_total() -> u64 {
    WRITER.dropped_in_total.load(Ordering::Relaxed)
}

impl LogWriter {
    fn start() -> Self {
        let (chunks, queue) = sync_channel(QUEUE_CHUNKS);
        thread::spawn(move || write_chunks(&queue));
        Self {
            pending: Mutex::default(),
            dropped: AtomicU64::new(0),
            dropped_in_total: AtomicU64::new(0),
            chunks,
        }
    }

    fn write(&self, event: &impl Serialize) {
        let line = Line {
            at_unix_ms: clock::unix_ms(),
            event,
        };
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let length = pending.len();
        let full = length > CHUNK_BYTES_MAX;
        if full || serde_json::to_writer(&mut *pending, &line).is_err() {
            pending.truncate(length);
            self.count_dropped(1);
            return;
        }
        pending.push(b'\n');
    }

    fn count_dropped(&self, lines: u64) {
        self.dropped.fetch_add(lines, Ordering::Relaxed);
        self.dropped_in_total.fetch_add(lines, Ordering::Relaxed);
    }

    fn flush(&self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            self.write(&WriterEvent::Dropped { lines: dropped });
        }
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.is_empty() {
            return;
        }
        let chunk = std::mem::take(&mut *pending);
        drop(pending);
        let lines = chunk.iter().filter(|byte| **byte == b'\n').count() as u64;
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.chunks.try_send(chunk)
        {
            self.count_dropped(lines);
        }
    }
}

fn write_chunks(queue: &Receiver<Vec<u8>>) {
    while let Ok(chunk) = queue.recv() {
        let mut output = stdout().lock();
        // A failed write cannot be reported, since this is the log itself.
        if output
            .write_all(&chunk)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
