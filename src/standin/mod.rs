//! Stand-ins (small test doubles) of the systems that ashroad works with: the platform and a
//! backend server. They keep all state in memory and inject faults on request.

pub mod backend;
mod backend_message;
pub mod grants;
pub mod invariants;
pub mod platform;

use std::net::SocketAddr;

use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};

use crate::transport::{self, ListenerLimits, ResponseBody};

/// Handle of a stand-in that runs inside this process.
#[derive(Debug)]
pub struct Running {
    /// Address on which the stand-in listens, with the actual port if port 0 was requested.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    /// Starts a stand-in that listens on `listen` and answers each request with `handler`. When it
    /// is stopped, requests in flight may take `drain_ms` to complete. Fails if the address cannot
    /// be bound.
    async fn start<H, F>(listen: SocketAddr, drain_ms: u64, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let limits = ListenerLimits {
            drain_ms,
            ..ListenerLimits::default()
        };
        let task = tokio::spawn(transport::serve(listener, limits, stopped, handler));
        Ok(Self {
            address,
            stop,
            task,
        })
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
