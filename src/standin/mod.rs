//! Stand-ins of the systems that ashroad meets: the platform and a backend server. They are
//! small, keep everything in memory and take faults on command.

pub mod backend;
mod backend_message;
pub mod grants;
pub mod invariants;
pub mod platform;

use std::net::SocketAddr;

use tokio::{sync::watch, task::JoinHandle};

/// A stand-in that runs inside this process.
#[derive(Debug)]
pub struct Running {
    /// Address it listens on.
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

    /// Stops accepting, finishes what is in flight and returns.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }

    /// Runs until the process ends.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}
