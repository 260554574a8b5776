//! A TCP proxy between a host and the store that injects network faults.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

use super::next_address;

/// Way in which the proxy forwards data, i.e. the network fault that it injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// Forwards all data.
    Pass = 0,
    /// Forwards data with a delay of 150 ms.
    Delay = 1,
    /// Holds back all data in both directions until the mode changes.
    Silent = 2,
    /// Holds back the data from the store to the host until the mode changes, and forwards the data
    /// from the host to the store.
    OneWay = 3,
    /// Closes connections and refuses new ones.
    Reset = 4,
    /// Forwards data at about 100 KB/s.
    Throttled = 5,
}

impl Mode {
    /// All modes, from which tests choose at random.
    pub const ALL: [Self; 6] = [
        Self::Pass,
        Self::Delay,
        Self::Silent,
        Self::OneWay,
        Self::Reset,
        Self::Throttled,
    ];
}

/// Proxy that forwards connections to one address.
#[derive(Debug)]
pub struct Proxy {
    /// Address that the host connects to.
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind(next_address(0)).await.expect("listener");
        let address = listener.local_addr().expect("address");
        let mode = Arc::new(AtomicU8::new(Mode::Pass as u8));
        let shared = mode.clone();
        tokio::spawn(async move {
            while let Ok((host_stream, _)) = listener.accept().await {
                if is_in_mode(&shared, Mode::Reset) {
                    continue;
                }
                tokio::spawn(connect(host_stream, target, shared.clone()));
            }
        });
        Self { address, mode }
    }

    /// Sets the mode of all current and later connections.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Relaxed);
    }
}

/// Returns true if the proxy is in the given mode.
fn is_in_mode(shared: &AtomicU8, mode: Mode) -> bool {
    shared.load(Ordering::Relaxed) == mode as u8
}

async fn connect(host_stream: TcpStream, target: SocketAddr, mode: Arc<AtomicU8>) {
    let Ok(store_stream) = TcpStream::connect(target).await else {
        return;
    };
    let (host_read, host_write) = host_stream.into_split();
    let (store_read, store_write) = store_stream.into_split();
    let up = forward(host_read, store_write, mode.clone(), false);
    let down = forward(store_read, host_write, mode, true);
    // When one direction ends, the other one is closed as well.
    tokio::select! {
        () = up => {}
        () = down => {}
    }
}

/// Copies the data of one direction of a connection and applies the mode. `down` is true for the
/// direction from the store to the host.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mode: Arc<AtomicU8>, down: bool) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => length,
        };
        while is_in_mode(&mode, Mode::Silent) || down && is_in_mode(&mode, Mode::OneWay) {
            time::sleep(Duration::from_millis(20)).await;
        }
        if is_in_mode(&mode, Mode::Reset) {
            return;
        }
        if is_in_mode(&mode, Mode::Delay) {
            time::sleep(Duration::from_millis(150)).await;
        }
        if is_in_mode(&mode, Mode::Throttled) {
            time::sleep(Duration::from_millis(length as u64 / 100)).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
