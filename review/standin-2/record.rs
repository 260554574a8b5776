//! Record of what was sent, answered and run, as clients, servers and the operator saw it.

use std::{collections::HashMap, fmt::Write as _, fs, path::Path, sync::Mutex, time::Instant};

/// Request as a client saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub request_id: String,
    pub host: String,
    pub sent_ms: u64,
    /// Time of the answer; 0 if there was none.
    pub answered_ms: u64,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// Run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub at_ms: u64,
    pub service: String,
    pub server: String,
}

/// Record of one script, in milliseconds since its start.
pub struct Record {
    began: Instant,
    sent: Mutex<Vec<Sent>>,
    runs: Mutex<Vec<Run>>,
    events: Mutex<Vec<(u64, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            sent: Mutex::default(),
            runs: Mutex::default(),
            events: Mutex::default(),
        }
    }

    /// Returns the time since the start of the script.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note_sent(&self, sent: Sent) {
        self.sent.lock().expect("no thread panics").push(sent);
    }

    pub fn note_run(&self, run: Run) {
        self.runs.lock().expect("no thread panics").push(run);
    }

    /// Notes an event, such as a change of the configuration.
    pub fn event(&self, what: &str) {
        let at_ms = self.now_ms();
        println!("{:8.3} s  {what}", at_ms as f64 / 1000.0);
        self.events
            .lock()
            .expect("no thread panics")
            .push((at_ms, what.to_owned()));
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().expect("no thread panics").clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("no thread panics").clone()
    }

    /// Writes the events, then one line for each request: when it was sent and to which host, the
    /// status and the time of its answer, and where and when it ran. Times are in seconds.
    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        let seconds = |at_ms: u64| at_ms as f64 / 1000.0;
        for (at_ms, what) in self.events.lock().expect("no thread panics").iter() {
            let _ = writeln!(text, "{:8.3}  {what}", seconds(*at_ms));
        }
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.runs() {
            runs.entry(run.request_id.clone()).or_default().push(run);
        }
        for sent in self.sent() {
            let _ = write!(
                text,
                "{:8.3}  {} {} {} {:.3}",
                seconds(sent.sent_ms),
                sent.request_id.trim_start_matches('0'),
                sent.host,
                sent.status,
                seconds(sent.answered_ms)
            );
            for run in runs.remove(&sent.request_id).unwrap_or_default() {
                let _ = write!(text, " {} {:.3}", run.server, seconds(run.at_ms));
            }
            text.push('\n');
        }
        if let Err(error) = fs::write(path, text) {
            eprintln!("the record cannot be written: {error}");
        }
    }
}
