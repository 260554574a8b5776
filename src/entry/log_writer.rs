//! Writes lines of JSON to standard output. Never blocks: lines go through a bounded queue
//! to a thread of their own, and what does not fit is counted and dropped.

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

/// Chunks that wait for the reader. One is written every [`FLUSH_MS`].
const QUEUE_CHUNKS: usize = 16;
/// Size of a chunk above which further lines are dropped; 640 KB a second at most.
const CHUNK_BYTES_MAX: usize = 128 * 1024;
/// Interval of writes: one system call for all lines of that time.
pub const FLUSH_MS: u64 = 200;

static WRITER: LazyLock<LogWriter> = LazyLock::new(LogWriter::start);

/// Turns what libraries and the rest of the program log into events.
struct Bridge;

impl Log for Bridge {
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

/// Sets the process's logger; a second call has no effect.
pub fn start(level: LevelFilter) {
    log::set_max_level(level);
    if log::set_logger(&Bridge).is_err() {
        log::debug!("a logger is set already");
    }
}

struct LogWriter {
    pending: Mutex<Vec<u8>>,
    /// Lines dropped since a line last told of it.
    dropped: AtomicU64,
    dropped_in_total: AtomicU64,
    chunks: SyncSender<Vec<u8>>,
}

/// Lines that come of writing itself.
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum WriterEvent {
    /// Something that a library or another part of the program logged.
    Message {
        /// Level.
        level: &'static str,
        /// Part of the program.
        target: String,
        /// Text.
        text: String,
    },
    /// Lines were dropped because too many came or the reader did not keep up.
    Dropped {
        /// Their number.
        lines: u64,
    },
}

#[derive(Serialize)]
struct Line<'a, E> {
    at_unix_ms: u64,
    #[serde(flatten)]
    event: &'a E,
}

/// Queues one line.
pub fn write(event: &impl Serialize) {
    WRITER.write(event);
}

/// Hands the queued lines to the writing thread.
pub fn flush() {
    WRITER.flush();
}

/// Lines dropped since the start.
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
        // Nowhere is left to tell of a failed write to the log itself.
        if output
            .write_all(&chunk)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
