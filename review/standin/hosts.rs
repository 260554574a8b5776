//! Entry hosts of a case: processes of the project's own program, started with the command of the
//! deploy file.

use std::{
    fs::{self, File},
    io::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use super::http;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address of this process that was not returned before.
pub fn next_ip() -> IpAddr {
    let pid = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let (second, third) = (64 + (pid % 128) as u8, (number / 250) as u8);
    IpAddr::V4(Ipv4Addr::new(127, second, third, 1 + (number % 250) as u8))
}

/// Returns an address of this process with a free port.
pub fn next_address() -> SocketAddr {
    let listener = TcpListener::bind((next_ip(), 0)).expect("a free port");
    listener.local_addr().expect("address")
}

/// Size of a machine, as the settings of its process state it.
#[derive(Clone, Copy)]
pub struct Size {
    pub processor_share: f32,
    pub memory_mb: u64,
}

/// Machines of the small deployments.
pub const SMALL: Size = Size {
    processor_share: 0.2,
    memory_mb: 260,
};
/// Large machines of the other deployments.
pub const LARGE: Size = Size {
    processor_share: 0.5,
    memory_mb: 512,
};

/// Process of an entry host; killed when dropped.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    /// Address that the host registers in the store.
    pub peers: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Host {
    /// Starts a host in `folder`. The settings are those of `deploy/host.yaml`, filled for the small
    /// deployment of the users' pages.
    pub fn start(folder: &Path, store: SocketAddr, size: Size) -> Host {
        let Size {
            processor_share,
            memory_mb,
        } = size;
        let ip = next_ip();
        let name = format!("front-{}", ip.to_string().replace('.', "-"));
        let log = folder.join(format!("{name}.log"));
        let settings = folder.join(format!("{name}.yaml"));
        let text = format!(
            "name: {name}\navailability_zone: bern-ost\nregions:\n  \"bern-ost\": \"mittelland\"\n\
             processor_share: {processor_share}\nmemory_mb: {memory_mb}\nlisten:\n  callers: \"{ip}:8641\"\n  readiness: \"{ip}:8640\"\n  \
             peers: \"{ip}:7620\"\n  metrics: \"{ip}:9464\"\nstore:\n  address: \"{store}\"\n  \
             server_heartbeat: \"870ms\"\nbounds:\n  stop_grace: \"6s\"\n  drain: \"2000ms\"\n  \
             configuration: \"2000ms\"\n  contact: \"3000ms\"\n  lease_max: \"10000ms\"\n  \
             retry_window: \"10s\"\n  retry_ratio: 0.2\n  retry_allowance: 62\n\
             policy:\n  ended_attempts: 4294967295\n  bounds_idle_reuse: false\n"
        );
        fs::write(&settings, text).expect("settings");
        let child = spawn(&settings, &log);
        Host {
            name,
            callers: SocketAddr::new(ip, 8641),
            readiness: SocketAddr::new(ip, 8640),
            peers: SocketAddr::new(ip, 7620),
            log,
            settings,
            child,
        }
    }

    /// Kills the process, as the loss of its machine's power does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts a process with the same settings and addresses after [`Host::kill`].
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns true while the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the host says that it is ready.
    pub fn is_ready_within(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let probe = b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        while Instant::now() < until {
            if http::exchange(self.readiness, probe, Duration::from_secs(1)).status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the resident memory of the process in megabytes of a million bytes.
    pub fn memory_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|text| text.trim().trim_end_matches("kB").trim().parse().ok());
        kb.map_or(0, |kb: u64| kb * 1024 / 1_000_000)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log);
    let output = output.expect("log");
    let errors = output.try_clone().expect("log");
    let child = Command::new("target/release/ashroad")
        .args(["entry", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("target/release/ashroad starts");
    // By this list, `run.sh` ends what is left if the case itself is killed.
    let list = settings.with_file_name("pids");
    let pids = File::options().create(true).append(true).open(list);
    let _ = writeln!(pids.expect("list of processes"), "{}", child.id());
    child
}

/// Record of what was sent, answered and run, in a file of the case's folder.
pub struct Record {
    file: File,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            file: File::create(path).expect("record"),
            began: Instant::now(),
        }
    }

    /// Writes a line with the time since the start of the case, and shows it.
    pub fn note(&mut self, line: &str) {
        let line = format!("{:9.3} s  {line}", self.began.elapsed().as_secs_f64());
        println!("{line}");
        let _ = writeln!(self.file, "{line}");
    }
}
