//! A TCP proxy in front of a server that can partition single hosts from the server. It recognises
//! the host of a connection by the process that owns the other end, because all hosts of a test
//! connect from the same loopback address.

use std::{
    collections::HashMap,
    fs,
    io::ErrorKind,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task, time,
};

use super::next_address;

/// Interval at which connections look for a change of the partitions.
const CHECK_EVERY: Duration = Duration::from_millis(5);

/// Number of times that the process of a connection is looked up at most.
const LOOKUPS_MAX: u32 = 10;

/// Way in which a host is partitioned from servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// All packets are lost: open connections and new ones are silent.
    Silent,
    /// Packets from the servers to the host are lost, those to the servers arrive.
    NoResponses,
    /// Open connections and new ones are reset.
    Reset,
    /// New connections are reset, open ones live on.
    NewReset,
}

impl Cut {
    /// All ways, from which tests choose.
    pub const ALL: [Self; 4] = [Self::Silent, Self::NoResponses, Self::Reset, Self::NewReset];
}

/// Partitions of hosts from the servers of a test, by the process id of the host. Clones share the
/// partitions.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Process ids of all hosts, among which the owner of a connection is looked for.
    hosts: Vec<u32>,
    /// Partitions by the process id of the host.
    cuts: HashMap<u32, Cut>,
}

impl Cuts {
    /// Adds the process id of a host.
    pub fn add_host(&self, host: u32) {
        self.state().hosts.push(host);
    }

    /// Partitions the host with this process id from all servers behind a proxy.
    pub fn begin(&self, host: u32, cut: Cut) {
        self.state().cuts.insert(host, cut);
    }

    /// Ends the partition of a host.
    pub fn end(&self, host: u32) {
        self.state().cuts.remove(&host);
    }

    fn of(&self, host: Option<u32>) -> Option<Cut> {
        self.state().cuts.get(&host?).copied()
    }

    fn hosts(&self) -> Vec<u32> {
        self.state().hosts.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a proxy in front of `target` and returns its address.
pub async fn start_server_proxy(target: SocketAddr, cuts: Cuts) -> SocketAddr {
    let listener = TcpListener::bind(next_address(0)).await.expect("listener");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((stream, from)) = listener.accept().await {
            tokio::spawn(connect(stream, from, target, cuts.clone()));
        }
    });
    address
}

async fn connect(host_stream: TcpStream, from: SocketAddr, target: SocketAddr, cuts: Cuts) {
    let hosts = cuts.hosts();
    // The lookup is cancelled at the end of the test.
    let Ok(host) = task::spawn_blocking(move || owner_of(from, &hosts)).await else {
        return;
    };
    if host.is_none() || matches!(cuts.of(host), Some(Cut::Reset | Cut::NewReset)) {
        // Dropping the stream with linger 0 resets the connection.
        host_stream.set_zero_linger().expect("linger");
        return;
    }
    // The server does not see a connection attempt whose packets are lost.
    while cuts.of(host) == Some(Cut::Silent) {
        time::sleep(CHECK_EVERY).await;
    }
    let Ok(server_stream) = TcpStream::connect(target).await else {
        host_stream.set_zero_linger().expect("linger");
        return;
    };
    for stream in [&host_stream, &server_stream] {
        stream.set_nodelay(true).expect("option");
        stream.set_zero_linger().expect("linger");
    }
    let (host_read, host_write) = host_stream.into_split();
    let (server_read, server_write) = server_stream.into_split();
    let until_reset = async {
        while cuts.of(host) != Some(Cut::Reset) {
            time::sleep(CHECK_EVERY).await;
        }
    };
    tokio::select! {
        () = forward(host_read, server_write, || cuts.of(host) == Some(Cut::Silent)) => {}
        () = forward(server_read, host_write, || {
            matches!(cuts.of(host), Some(Cut::Silent | Cut::NoResponses))
        }) => {}
        () = until_reset => {}
    }
}

/// Copies one direction of a connection, and holds the data back while `is_lost` returns true.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_lost: impl Fn() -> bool) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let mut length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        while is_lost() {
            time::sleep(CHECK_EVERY).await;
            // Bytes that a partition holds up are lost if their sender closes the connection.
            match from.try_read(&mut buffer[length..]) {
                Ok(0) if length < buffer.len() => return,
                Ok(more) => length += more,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}

/// Returns the id of the process among `hosts` that holds the socket with this local address. Looks
/// several times, because the kernel's table may lack a socket while other sockets change.
fn owner_of(address: SocketAddr, hosts: &[u32]) -> Option<u32> {
    (0..LOOKUPS_MAX).find_map(|_| {
        let wanted = format!("socket:[{}]", inode_of(address)?);
        let mut hosts = hosts.iter().copied();
        hosts.find(|host| holds(Path::new(&format!("/proc/{host}/fd")), &wanted))
    })
}

/// Returns the inode of the socket with this local address, from the kernel's table of sockets.
fn inode_of(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_le_bytes(address.ip().octets());
    let wanted = format!(": {ip:08X}:{:04X} ", address.port());
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (_, rest) = table.split_once(&wanted)?;
    let line = rest.lines().next()?;
    // The fields after the local address begin with the remote address.
    line.split_whitespace().nth(7).map(str::to_owned)
}

fn holds(descriptors: &Path, socket: &str) -> bool {
    let Ok(entries) = fs::read_dir(descriptors) else {
        return false;
    };
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == socket)
}
