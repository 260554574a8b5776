//! Stand-ins (small test doubles) of the systems that ashroad works with: the platform and a
//! backend server. They keep all state in memory and inject faults on request.

pub mod backend;
mod backend_message;
pub mod grants;
pub mod invariants;
pub mod platform;

use std::net::SocketAddr;

use tokio::{sync::watch, task::JoinHandle};

/// Handle of a stand-in that runs inside this process.
#[derive(Debug)]
pub struct Running {
    /// Address on which the stand-in listens, with the actual port if port 0 was requested.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    pub(crate) fn new(
        address: SocketAddr,
        stop: watch::Sender<bool>,
        task: JoinHandle<()>,
    ) -> Self {
        Self {
            address,
            stop,
            task,
        }
    }

    /// Stops accepting connections, waits for requests in flight and returns.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Waits for the end of the stand-in. Since this method takes the handle, [`Running::stop`]
    /// cannot be called afterwards, and the stand-in runs until the process ends.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}
