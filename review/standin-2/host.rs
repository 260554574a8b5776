//! Entry hosts: the project's own program, started as separate processes.

use std::{
    fs,
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use crate::{http::Connection, store::Store};

/// Command of the deploy file, without the path of the settings.
const PROGRAM: &str = "target/release/ashroad";

/// Number of times that a host is started whose process ends at once.
const STARTS_MAX: usize = 4;
/// Time after which a process that could not listen has ended.
const START_CHECK: Duration = Duration::from_millis(80);

/// One entry host.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    /// Address by which the other hosts know this host.
    pub peers: SocketAddr,
    readiness: SocketAddr,
    folder: PathBuf,
    process: Child,
}

impl Host {
    /// Starts a host with the settings of a small deployment, with this bound for `drain` and `config`.
    /// The settings and the log of the process are written to `folder`.
    pub fn start(name: &str, zone: &str, store: SocketAddr, folder: &Path, bound_ms: u64) -> Self {
        for _ in 0..STARTS_MAX {
            let mut host = Self::try_start(name, zone, store, folder, bound_ms);
            thread::sleep(START_CHECK);
            if !host.has_ended() {
                return host;
            }
            // Another process has taken one of the ports meanwhile.
        }
        Self::try_start(name, zone, store, folder, bound_ms)
    }

    fn try_start(name: &str, zone: &str, store: SocketAddr, folder: &Path, bound_ms: u64) -> Self {
        let [callers, readiness, peers, metrics] = free_addresses();
        let settings = format!(
            r#"name: "{name}"
availability_zone: "{zone}"
regions:
  "zone-1": "region"
  "zone-2": "region"
  "zone-3": "region"
processor_share: 0.2
memory_mb: 260
listen:
  callers: "{callers}"
  readiness: "{readiness}"
  peers: "{peers}"
  metrics: "{metrics}"
store:
  address: "{store}"
  server_heartbeat: "870ms"
bounds:
  stop_grace: "6s"
  drain: "{bound_ms}ms"
  configuration: "{bound_ms}ms"
  contact: "3000ms"
  lease_max: "10000ms"
  retry_window: "10s"
  retry_ratio: 0.2
  retry_allowance: 62
policy:
  ended_attempts: 4294967295
  bounds_idle_reuse: false
"#
        );
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the settings can be written");
        Self {
            name: name.to_owned(),
            callers,
            peers,
            readiness,
            folder: folder.to_owned(),
            process: started(name, folder),
        }
    }

    /// Kills the process, as a crash does.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.process = started(&self.name, &self.folder);
    }

    /// Returns true if the host calls itself ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let Ok(stream) = TcpStream::connect_timeout(&self.readiness, timeout) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(timeout));
        let mut connection = Connection::new(stream);
        let request = b"GET /readyz HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n";
        let answered = connection.write(request).and_then(|()| connection.read());
        matches!(answered, Ok(Some(response)) if response.status() == 200)
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a process of the project's program with the settings of a host.
fn started(name: &str, folder: &Path) -> Child {
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder.join(format!("{name}.log")))
        .expect("a log file");
    let errors = log.try_clone().expect("a log file");
    Command::new(PROGRAM)
        .args(["entry", "--settings"])
        .arg(folder.join(format!("{name}.yaml")))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program of the deploy file is built")
}

fn free_addresses() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    listeners.map(|listener| listener.local_addr().expect("an address"))
}

/// Waits until all hosts are ready and one of them has taken the leadership.
pub fn are_up(hosts: &[Host], store: &Store) -> bool {
    for _ in 0..100 {
        let is_led = store.get("ashroad_duty", "leases").is_some();
        if is_led && hosts.iter().all(Host::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}
