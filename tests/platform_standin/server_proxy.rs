//! A TCP proxy in front of a server that can partition single hosts from the server. It recognises
//! the host of a connection by the process that owns the other end, because all hosts of a test
//! connect from the same loopback address.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::{Notify, watch},
    task,
};

use super::{next_address, socket_diagnosis::inode_of};

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

/// End of one direction of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamEnd {
    /// The sender has closed the connection in order, and all of its bytes were forwarded.
    Closed,
    /// The connection was reset, or bytes were lost.
    Broken,
}

/// Partitions of hosts from the servers of a test, by the process id of the host. Clones share the
/// partitions.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Number of changes of the partitions.
    changes: watch::Sender<u64>,
}

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
        self.0.changes.send_modify(|changes| *changes += 1);
    }

    /// Ends the partition of a host.
    pub fn end(&self, host: u32) {
        self.state().cuts.remove(&host);
        self.0.changes.send_modify(|changes| *changes += 1);
    }

    fn of(&self, host: Option<u32>) -> Option<Cut> {
        self.state().cuts.get(&host?).copied()
    }

    /// Waits until the partition of a host satisfies a condition.
    async fn until(&self, host: Option<u32>, is_met: impl Fn(Option<Cut>) -> bool) {
        let mut changes = self.0.changes.subscribe();
        while !is_met(self.of(host)) {
            changes.changed().await.expect("the sender lives");
        }
    }

    fn hosts(&self) -> Vec<u32> {
        self.state().hosts.clone()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a proxy in front of `target` and returns its address. The address refuses connections once
/// the target has refused one, as the address of an ended process does.
pub async fn start_server_proxy(target: SocketAddr, cuts: Cuts) -> SocketAddr {
    let listener = TcpListener::bind(next_address(0)).await.expect("listener");
    let address = listener.local_addr().expect("address");
    let has_ended = Arc::new(Notify::new());
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = has_ended.notified() => return,
            };
            let Ok((stream, from)) = accepted else { return };
            let (cuts, has_ended) = (cuts.clone(), has_ended.clone());
            tokio::spawn(async move {
                if !connect(stream, from, target, cuts).await {
                    has_ended.notify_one();
                }
            });
        }
    });
    address
}

/// Forwards a connection. Returns false if the target refused the connection.
async fn connect(
    mut host_stream: TcpStream,
    from: SocketAddr,
    target: SocketAddr,
    cuts: Cuts,
) -> bool {
    let hosts = cuts.hosts();
    let Ok(proxy) = host_stream.local_addr() else {
        return true;
    };
    // The lookup is cancelled at the end of the test.
    let Ok(host) = task::spawn_blocking(move || owner_of(from, proxy, &hosts)).await else {
        return true;
    };
    if host.is_none() || matches!(cuts.of(host), Some(Cut::Reset | Cut::NewReset)) {
        // Dropping the stream with linger 0 resets the connection.
        host_stream.set_zero_linger().expect("linger");
        return true;
    }
    // The server does not see a connection attempt whose packets are lost.
    cuts.until(host, |cut| cut != Some(Cut::Silent)).await;
    let Ok(mut server_stream) = TcpStream::connect(target).await else {
        host_stream.set_zero_linger().expect("linger");
        return false;
    };
    for stream in [&host_stream, &server_stream] {
        stream.set_nodelay(true).expect("option");
        stream.set_zero_linger().expect("linger");
    }
    // An owned half would close its direction in order when it is dropped.
    let (host_read, host_write) = host_stream.split();
    let (server_read, server_write) = server_stream.split();
    let is_silent = |cut| cut == Some(Cut::Silent);
    let loses_responses = |cut| matches!(cut, Some(Cut::Silent | Cut::NoResponses));
    let end = tokio::select! {
        _ = forward(host_read, server_write, &cuts, host, is_silent) => StreamEnd::Broken,
        end = forward(server_read, host_write, &cuts, host, loses_responses) => end,
        () = cuts.until(host, |cut| cut == Some(Cut::Reset)) => StreamEnd::Broken,
    };
    if end == StreamEnd::Closed {
        let socket = SockRef::from(&host_stream);
        socket.set_linger(None).expect("linger");
    }
    true
}

/// Copies one direction of a connection, and holds the data back while the partition of the host
/// loses it. Bytes that are held back are lost if their sender closes the connection.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    cuts: &Cuts,
    host: Option<u32>,
    is_lost: impl Fn(Option<Cut>) -> bool,
) -> StreamEnd {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let mut length = match from.read(&mut buffer).await {
            Ok(0) => return StreamEnd::Closed,
            Err(_) => return StreamEnd::Broken,
            Ok(length) => length,
        };
        while is_lost(cuts.of(host)) {
            tokio::select! {
                () = cuts.until(host, |cut| !is_lost(cut)) => {}
                more = from.read(&mut buffer[length..]), if length < buffer.len() => match more {
                    Ok(0) | Err(_) => return StreamEnd::Broken,
                    Ok(more) => length += more,
                },
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return StreamEnd::Broken;
        }
    }
}

/// Returns the id of the process among `hosts` that holds the socket with this local and remote
/// address. The kernel may not know the socket at once.
fn owner_of(local: SocketAddr, remote: SocketAddr, hosts: &[u32]) -> Option<u32> {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
        return None;
    };
    (0..LOOKUPS_MAX).find_map(|_| {
        let wanted = format!("socket:[{}]", inode_of(local, remote)?);
        let mut hosts = hosts.iter().copied();
        hosts.find(|host| holds(Path::new(&format!("/proc/{host}/fd")), &wanted))
    })
}

fn holds(descriptors: &Path, socket: &str) -> bool {
    let Ok(entries) = fs::read_dir(descriptors) else {
        return false;
    };
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == socket)
}
