//! Batched registration of joining hosts. A joining host is a host that starts and is not
//! registered yet. A joining host requests its registration from another host. That other host
//! writes the host rows of several joining hosts in one transaction. The store accepts some hundred
//! writes a second: if a thousand hosts that start together registered themselves, the store would
//! reject the registration of each host several times, and every call is billed.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::{sync::oneshot, time};

use super::paths::REGISTER;
use crate::{
    entry::{
        Entry,
        pauses::pause,
        updates::own_rows::{HOST_PREFIX, HOSTS_PARTITION, HostRow, TABLE},
    },
    platform::store::{Expect, Put, Transaction, TransactionOutcome},
};

/// Interval at which a host registers, in one transaction, the joining hosts that have requested
/// their registration.
const REGISTER_EVERY_MS: u64 = 200;
/// Maximum number of host rows in one transaction. The store accepts 100 conditions and writes in
/// total per transaction; each row needs one condition and one write.
const ROWS_MAX: usize = 45;
/// Maximum number of registration requests that a joining host sends to another host. If all of
/// them fail, the joining host writes its host row itself.
const ATTEMPTS_MAX: usize = 4;
/// Maximum size in bytes of the body of a registration request.
const REQUEST_BYTES_MAX: usize = 1_024;

/// Joining host: a host that starts and is not registered yet. Sent to another host as the content
/// of a registration request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct JoiningHost {
    /// Address at which the joining host receives datagrams (UDP) and queries (TCP) from other
    /// hosts.
    pub address: SocketAddr,
    /// Host row of the joining host, as the joining host would write it itself.
    pub row: HostRow,
}

impl JoiningHost {
    fn key(&self) -> String {
        host_key(self.address)
    }
}

/// Returns the key of the host row of the host at `address`: the prefix of host rows and the
/// address.
pub(in crate::entry) fn host_key(address: SocketAddr) -> String {
    format!("{HOST_PREFIX}{address}")
}

/// Joining host that waits for its registration, with the channel over which the task that serves
/// its request learns whether the host was registered.
#[derive(Debug)]
struct Waiting {
    joining_host: JoiningHost,
    done: oneshot::Sender<bool>,
}

/// Queue of joining hosts that have requested their registration from this host.
#[derive(Debug, Default)]
pub(super) struct JoiningHosts(Mutex<Vec<Waiting>>);

impl JoiningHosts {
    fn waiting(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the joining hosts for the next transaction, at most [`ROWS_MAX`], from the head of the
    /// queue. Joining hosts whose request was cancelled are dropped.
    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting();
        waiting.retain(|one| !one.done.is_closed());
        let count = waiting.len().min(ROWS_MAX);
        waiting.drain(..count).collect()
    }

    /// Puts joining hosts back at the head of the queue after a failed transaction, so that the
    /// next transaction registers them first.
    fn put_back(&self, again: Vec<Waiting>) {
        self.waiting().splice(0..0, again);
    }
}

impl Entry {
    /// Waits for the end of this host's initial sync and then requests the registration of this
    /// host from another host. Returns true if the other host has registered this host. Returns
    /// false if this host must register itself, for example because an earlier process of this host
    /// was registered.
    pub(in crate::entry) async fn register_through_peer(&self, row: &HostRow) -> bool {
        self.join.sync_outcome().await;
        if self.view.had_former_process() {
            return false;
        }
        let Some(peer) = self.peer().filter(|_| self.peers.use_relays()) else {
            return false;
        };
        let joining_host = JoiningHost {
            address: self.settings.listen.peers,
            row: row.clone(),
        };
        for _ in 0..ATTEMPTS_MAX {
            match self.send_to::<bool>(peer, REGISTER, &joining_host).await {
                Ok(registered) => return registered,
                Err(error) => log::debug!("registration through {peer} failed: {error}"),
            }
            pause().await;
        }
        false
    }

    /// Queues the joining host of a registration request for the next transaction and waits for the
    /// outcome of the transaction. Returns the sealed response, which states whether the joining
    /// host was registered; `None` if the request is invalid.
    pub(super) async fn register_joining_host(&self, request: Request<Incoming>) -> Option<Bytes> {
        let body = Limited::new(request.into_body(), REQUEST_BYTES_MAX);
        let body = body.collect().await.ok()?.to_bytes();
        let opened = self.peers.seal.open(&body)?;
        let joining_host = postcard::from_bytes(opened).ok()?;
        let (done, registered) = oneshot::channel();
        self.join
            .joining_hosts
            .waiting()
            .push(Waiting { joining_host, done });
        let registered = registered.await.unwrap_or(false);
        self.sealed(&registered)
    }

    /// Registers the queued joining hosts at an interval of [`REGISTER_EVERY_MS`], several in one
    /// transaction, and reports the outcome to the tasks that wait for it.
    pub(in crate::entry) async fn keep_registering_joining_hosts(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(REGISTER_EVERY_MS)).await;
            let waiting = self.join.joining_hosts.take();
            if waiting.is_empty() {
                continue;
            }
            let joining_hosts: Vec<&JoiningHost> =
                waiting.iter().map(|w| &w.joining_host).collect();
            let Some(registered) = self.register_all(&joining_hosts).await else {
                self.join.joining_hosts.put_back(waiting);
                continue;
            };
            for Waiting { done, joining_host } in waiting {
                if done.send(registered).is_err() {
                    log::debug!(
                        "{} no longer waits for its registration",
                        joining_host.address
                    );
                }
            }
        }
    }

    /// Writes the host rows of joining hosts in one transaction if none of the rows exists. An
    /// existing row may belong to a later process on the same host and must not be overwritten. If
    /// a row exists, returns `Some(false)`, and all these joining hosts register themselves.
    /// Returns `None` if the transaction failed and should be repeated.
    async fn register_all(&self, joining_hosts: &[&JoiningHost]) -> Option<bool> {
        let encoded = joining_hosts.iter().map(|joining_host| {
            let value = serde_json::to_vec(&joining_host.row);
            value.map(|value| (joining_host.key(), value))
        });
        let Ok(rows) = encoded.collect::<Result<Vec<_>, _>>() else {
            return Some(false);
        };
        let transaction = Transaction {
            part: HOSTS_PARTITION,
            expect: rows
                .iter()
                .map(|(key, _)| Expect {
                    table: TABLE,
                    key,
                    version: 0,
                })
                .collect(),
            puts: rows
                .iter()
                .map(|(key, value)| Put {
                    table: TABLE,
                    key,
                    value,
                })
                .collect(),
            ..Transaction::default()
        };
        match self.store.transact(&transaction).await {
            Ok(TransactionOutcome::Done { .. }) => Some(true),
            Ok(TransactionOutcome::Conflict { rows }) => {
                log::debug!("{} of the joining hosts are registered already", rows.len());
                Some(false)
            }
            Err(error) => {
                log::debug!("registering joining hosts failed: {error}");
                None
            }
        }
    }
}
