//! Registration of hosts that start, by the host that hands on what it knows. A store takes some hundred writes a second;
//! a thousand hosts that start together would be turned away several times each, and every call is priced.

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
        news::own_rows::{HOST_PREFIX, HOSTS_PART, HostRow, TABLE},
        watch::pause,
    },
    platform::store::{Expect, Put, Transaction, TransactionOutcome},
};

/// Interval at which newcomers that came together are registered.
const REGISTER_EVERY_MS: u64 = 200;
/// Most rows of one transaction. The store takes 100 conditions and writes.
const ROWS_MAX: usize = 45;
/// Times that a host asks to be registered before it tries by itself.
const TRIES: usize = 4;
/// Longest question, in bytes.
const QUESTION_BYTES_MAX: usize = 1_024;

/// A host that starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Newcomer {
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Its row.
    pub row: HostRow,
}

impl Newcomer {
    /// Key of its row.
    fn key(&self) -> String {
        host_key(self.address)
    }
}

/// Key of a host's row.
pub(in crate::entry) fn host_key(address: SocketAddr) -> String {
    format!("{HOST_PREFIX}{address}")
}

/// A newcomer, and who waits for its registration.
#[derive(Debug)]
struct Waiting {
    newcomer: Newcomer,
    done: oneshot::Sender<bool>,
}

/// Newcomers that wait to be registered.
#[derive(Debug, Default)]
pub(super) struct Newcomers(Mutex<Vec<Waiting>>);

impl Newcomers {
    fn waiting(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Those that are registered next.
    fn take(&self) -> Vec<Waiting> {
        let mut waiting = self.waiting();
        waiting.retain(|one| !one.done.is_closed());
        let count = waiting.len().min(ROWS_MAX);
        waiting.drain(..count).collect()
    }

    /// Takes back those whose turn did not come.
    fn put_back(&self, again: Vec<Waiting>) {
        self.waiting().splice(0..0, again);
    }
}

impl Entry {
    /// True if another host has registered this one, which was never registered before. Waits until this host knows
    /// whom to ask.
    pub(in crate::entry) async fn is_registered_by_other(&self, row: &HostRow) -> bool {
        self.join.ended().await;
        if self.view.had_former_process() {
            return false;
        }
        let Some(guide) = self.guide().filter(|_| self.peers.are_many()) else {
            return false;
        };
        let newcomer = Newcomer {
            address: self.settings.listen.peers,
            row: row.clone(),
        };
        for _ in 0..TRIES {
            match self.send_to::<bool>(guide, REGISTER, &newcomer).await {
                Ok(registered) => return registered,
                Err(error) => log::debug!("{guide} does not register this host yet: {error}"),
            }
            pause().await;
        }
        false
    }

    /// Has a newcomer registered with the others that come now; the sealed answer tells whether it was.
    pub(super) async fn register_newcomer(&self, request: Request<Incoming>) -> Option<Bytes> {
        let body = Limited::new(request.into_body(), QUESTION_BYTES_MAX);
        let body = body.collect().await.ok()?.to_bytes();
        let question = self.peers.seal.open(&body)?;
        let newcomer = postcard::from_bytes(question).ok()?;
        let (done, registered) = oneshot::channel();
        self.join
            .newcomers
            .waiting()
            .push(Waiting { newcomer, done });
        let registered = registered.await.unwrap_or(false);
        self.sealed(&registered)
    }

    /// Registers newcomers.
    pub(in crate::entry) async fn keep_registering_newcomers(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(REGISTER_EVERY_MS)).await;
            let waiting = self.join.newcomers.take();
            if waiting.is_empty() {
                continue;
            }
            let newcomers: Vec<&Newcomer> = waiting.iter().map(|w| &w.newcomer).collect();
            let Some(registered) = self.register_all(&newcomers).await else {
                self.join.newcomers.put_back(waiting);
                continue;
            };
            for Waiting { done, newcomer } in waiting {
                if done.send(registered).is_err() {
                    log::debug!("{} waits no more to be registered", newcomer.address);
                }
            }
        }
    }

    /// Writes rows that do not exist yet. One that exists may be that of a later process on the host, and must not be
    /// undone: then all register by themselves. `None` if the store has not taken them yet.
    async fn register_all(&self, newcomers: &[&Newcomer]) -> Option<bool> {
        let encoded = newcomers.iter().map(|newcomer| {
            let value = serde_json::to_vec(&newcomer.row);
            value.map(|value| (newcomer.key(), value))
        });
        let Ok(rows) = encoded.collect::<Result<Vec<_>, _>>() else {
            return Some(false);
        };
        let transaction = Transaction {
            part: HOSTS_PART,
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
                log::debug!("{} of the newcomers are registered already", rows.len());
                Some(false)
            }
            Err(error) => {
                log::debug!("newcomers are not registered yet: {error}");
                None
            }
        }
    }
}
