//! Presence of the caller of a request, which decides whether the request is still sent to servers.

use tokio::sync::watch;

/// Guard in the handler of a caller's request. The handler is dropped when the caller disconnects.
#[derive(Debug)]
pub(super) struct CallerGuard(
    #[expect(dead_code, reason = "its drop is observed")] watch::Sender<()>,
);

/// Presence of a caller, for the task of the caller's request. The task can outlive the handler.
#[derive(Debug)]
pub(super) struct Caller(watch::Receiver<()>);

impl Caller {
    /// Returns a caller who is present until the guard is dropped.
    pub(super) fn present() -> (CallerGuard, Self) {
        let (sender, receiver) = watch::channel(());
        (CallerGuard(sender), Self(receiver))
    }

    /// Returns true if the caller has disconnected.
    pub(super) fn has_left(&self) -> bool {
        self.0.has_changed().is_err()
    }

    /// Waits until the caller disconnects.
    pub(super) async fn left(&self) {
        let mut receiver = self.0.clone();
        while receiver.changed().await.is_ok() {}
    }
}
