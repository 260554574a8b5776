//! Network path from this host to one server: directly, or through a tunnel of another host while
//! this host does not reach the server.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::sync::watch;

use crate::clock;

/// Way in which this host opens new connections to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Directly.
    Direct,
    /// Through a tunnel of another host.
    Tunnel,
}

/// State of the path from this host to one server.
#[derive(Debug)]
pub struct ServerPath {
    /// Time since which the path is known to be lost; 0 while the path is usable.
    lost_ms: AtomicU64,
    /// Start of the latest attempts that did not reach the server directly, of those that showed the
    /// loss of the path and later ones.
    unreached_ms: AtomicU64,
    /// Time at which the last check of the path began.
    checked_ms: AtomicU64,
    /// Time at which the first request was sent directly that has had no response since; 0 if all
    /// direct requests were answered.
    waiting_since_ms: AtomicU64,
    /// Number of times that the open direct connections were found to be lost.
    losses: watch::Sender<u64>,
    /// True while a check of the path runs.
    is_checked: watch::Sender<bool>,
    /// Host that last opened a tunnel to the server.
    proxy: Mutex<Option<SocketAddr>>,
}

impl Default for ServerPath {
    fn default() -> Self {
        Self {
            lost_ms: AtomicU64::new(0),
            unreached_ms: AtomicU64::new(0),
            checked_ms: AtomicU64::new(0),
            waiting_since_ms: AtomicU64::new(0),
            losses: watch::Sender::new(0),
            is_checked: watch::Sender::new(false),
            proxy: Mutex::new(None),
        }
    }
}

impl ServerPath {
    /// Returns the way in which new connections to the server are opened.
    pub fn route(&self) -> Route {
        if self.lost_ms() == 0 {
            Route::Direct
        } else {
            Route::Tunnel
        }
    }

    /// Returns the time since which the path is known to be lost: the start of the attempts that
    /// showed it; 0 while the path is usable.
    pub fn lost_ms(&self) -> u64 {
        self.lost_ms.load(Ordering::Relaxed)
    }

    /// Records that this host does not reach the server while another host does. The attempts that
    /// showed this began at `since_ms`. Returns true if the path counted as usable before.
    pub fn set_lost(&self, since_ms: u64) -> bool {
        self.note_unreached(since_ms);
        let changed =
            self.lost_ms
                .compare_exchange(0, since_ms, Ordering::Relaxed, Ordering::Relaxed);
        changed.is_ok()
    }

    /// Records that attempts that began at `since_ms` did not reach the server directly, although
    /// another host reaches it.
    pub fn note_unreached(&self, since_ms: u64) {
        self.unreached_ms.fetch_max(since_ms, Ordering::Relaxed);
    }

    /// Returns true if the path is lost and the server was not reached directly by attempts that began
    /// after `since_ms`.
    pub fn is_unreached_since(&self, since_ms: u64) -> bool {
        self.route() == Route::Tunnel && self.unreached_ms.load(Ordering::Relaxed) > since_ms
    }

    /// Records that the server has responded directly. Returns true if the path counted as lost
    /// before.
    pub fn set_usable(&self) -> bool {
        self.waiting_since_ms.store(0, Ordering::Relaxed);
        self.lost_ms.swap(0, Ordering::Relaxed) != 0
    }

    /// Returns true, and records the start of a check, if the last check began at least
    /// `interval_ms` ago.
    pub fn begin_check(&self, interval_ms: u64) -> bool {
        let now_ms = clock::now_ms();
        let checked_ms = self.checked_ms.load(Ordering::Relaxed);
        let is_due = now_ms >= checked_ms + interval_ms;
        is_due
            && self
                .checked_ms
                .compare_exchange(checked_ms, now_ms, Ordering::Relaxed, Ordering::Relaxed)
                .is_ok()
    }

    /// Returns the time at which the last check of the path began; 0 before the first check.
    pub fn checked_ms(&self) -> u64 {
        self.checked_ms.load(Ordering::Relaxed)
    }

    /// Sets whether a check of the path runs.
    pub fn set_checked(&self, is_checked: bool) {
        self.is_checked.send_replace(is_checked);
    }

    /// Returns true while a check of the path runs.
    pub fn is_checked(&self) -> bool {
        *self.is_checked.borrow()
    }

    /// Waits until no check of the path runs.
    pub async fn check_ended(&self) {
        let mut is_checked = self.is_checked.subscribe();
        if is_checked.wait_for(|is_checked| !is_checked).await.is_err() {
            log::debug!("the state of a server's path is gone");
        }
    }

    /// Returns the host whose tunnels connections to the server take; `None` while they are direct.
    pub fn tunnel_host(&self) -> Option<SocketAddr> {
        self.proxy().filter(|_| self.route() == Route::Tunnel)
    }

    /// Returns the host that last opened a tunnel to the server.
    pub fn proxy(&self) -> Option<SocketAddr> {
        *self.lock_proxy()
    }

    /// Records the host that opened a tunnel to the server; `None` if the host no longer does.
    pub fn set_proxy(&self, host: Option<SocketAddr>) {
        *self.lock_proxy() = host;
    }

    fn lock_proxy(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.proxy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a request was sent directly.
    pub fn note_sent(&self) {
        let now_ms = clock::now_ms();
        // Keeps the time of a request that waits already.
        let _ =
            self.waiting_since_ms
                .compare_exchange(0, now_ms, Ordering::Relaxed, Ordering::Relaxed);
    }

    /// Records a direct response.
    pub fn note_response(&self) {
        self.waiting_since_ms.store(0, Ordering::Relaxed);
    }

    /// Returns the time since the first direct request without a response since, in milliseconds;
    /// `None` if no request waits.
    pub fn waited_ms(&self) -> Option<u64> {
        let since_ms = self.waiting_since_ms.load(Ordering::Relaxed);
        (since_ms > 0).then(|| clock::now_ms().saturating_sub(since_ms))
    }

    /// Wakes the requests that wait for responses on direct connections, because these connections
    /// are lost.
    pub fn abandon_connections(&self) {
        self.waiting_since_ms.store(0, Ordering::Relaxed);
        self.losses.send_modify(|losses| *losses += 1);
    }

    /// Returns a future that completes when the direct connections are found to be lost after this
    /// call.
    pub fn connections_lost(&self) -> impl Future<Output = ()> + use<> {
        let mut losses = self.losses.subscribe();
        async move {
            if losses.changed().await.is_err() {
                log::debug!("the state of a server's path is gone");
            }
        }
    }
}
