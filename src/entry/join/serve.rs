//! Answers to hosts that start or have missed changes.

use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch};

use super::paths::{CHANGES, CONFIGURATION, HOSTS, OWN, REGISTER, SNAPSHOT};
use crate::{
    clock,
    entry::{
        Entry,
        news::{
            followed::Followed,
            snapshot::{KnownHost, Snapshot},
        },
        server::tag_of,
    },
    transport::{self, ListenerLimits, ResponseBody},
};

/// Type of a sealed answer.
const ANSWER_TYPE: &str = "application/octet-stream";
/// Hosts that a host answers at a time. The others wait to be accepted.
const ASKERS_MAX: usize = 16;
/// Time for which an encoded snapshot is handed on to further hosts: those that start together ask together.
const ENCODED_KEPT_MS: u64 = 500;

impl Entry {
    fn known_hosts(&self) -> Vec<KnownHost> {
        let mut hosts = self.peers.known_hosts();
        hosts.push(KnownHost {
            address: self.settings.listen.peers,
            incarnation: Some(self.incarnation),
            zone_tag: tag_of(&self.settings.availability_zone),
            processor_share: self.settings.processor_share,
        });
        hosts
    }

    /// What this host knows; `None` before it has read everything.
    fn snapshot(&self) -> Option<Snapshot> {
        let is_known = self.view.servers_known() && self.view.are_hosts_known();
        if !is_known || self.stopping() {
            return None;
        }
        let mut snapshot = self.own_snapshot();
        snapshot.servers_known = self.freshness.known(Followed::Servers);
        snapshot.left = self.freshness.left();
        let registry = self.view.registry();
        snapshot.set_servers(registry.servers().map(|server| server.present_entry()));
        Some(snapshot)
    }

    /// Hosts and holdings that this host knows.
    fn own_snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        snapshot.own_known = self.freshness.known(Followed::Own);
        snapshot.hosts = self.known_hosts();
        for (service, held) in self.view.all_held() {
            for (part, row) in held.rows() {
                snapshot.add_holdings(&service, part, row);
            }
        }
        snapshot
    }

    /// The sealed snapshot, made anew from time to time.
    fn encoded_snapshot(&self) -> Option<Bytes> {
        let now_ms = clock::now_ms();
        let mut encoded = self
            .join
            .encoded
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some((bytes, made_ms)) = &*encoded
            && now_ms < made_ms + ENCODED_KEPT_MS
        {
            return Some(bytes.clone());
        }
        let bytes = self.sealed(&self.snapshot()?)?;
        *encoded = Some((bytes.clone(), now_ms));
        Some(bytes)
    }

    pub(super) fn sealed(&self, content: &impl Serialize) -> Option<Bytes> {
        match postcard::to_stdvec(content) {
            Ok(plain) => Some(Bytes::from(self.peers.seal.seal(&plain)?)),
            Err(error) => {
                log::warn!("what this host knows cannot be encoded: {error}");
                None
            }
        }
    }

    /// Answer to a path; `None` if this host cannot tell it.
    fn told(&self, path: &str) -> Option<Bytes> {
        match path {
            SNAPSHOT => self.encoded_snapshot(),
            OWN if self.view.are_hosts_known() => self.sealed(&self.own_snapshot()),
            CONFIGURATION => self.sealed(&self.known_configuration()?),
            HOSTS => self.sealed(&self.known_hosts()),
            _ => self.sealed(&self.relay.changes_after(changes_after(path)?)?),
        }
    }

    /// Why this host cannot answer.
    fn refusal(&self, path: &str) -> StatusCode {
        let is_forgotten = |after| !self.relay.reaches_back_to(after);
        if changes_after(path).is_some_and(is_forgotten) {
            StatusCode::GONE
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    /// Hands on what this host knows to hosts that start.
    pub(in crate::entry) async fn serve_snapshots(
        self: Arc<Self>,
        listener: TcpListener,
        stop: watch::Receiver<bool>,
    ) {
        let limits = ListenerLimits {
            connections: ASKERS_MAX,
            ..ListenerLimits::default()
        };
        let handler = move |request: Request<Incoming>| {
            let entry = self.clone();
            async move { entry.answer_asker(request).await }
        };
        transport::serve(listener, limits, stop, handler).await;
    }

    async fn answer_asker(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path().to_owned();
        let answer = if path == REGISTER {
            self.register_newcomer(request).await
        } else {
            self.told(&path)
        };
        let (status, body) = match answer {
            Some(body) => (StatusCode::OK, body),
            None => (self.refusal(&path), Bytes::new()),
        };
        let mut response = transport::whole(status, ANSWER_TYPE, body);
        // So that others are accepted.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        response
    }
}

/// Version after which a path asks for changes.
fn changes_after(path: &str) -> Option<u64> {
    path.strip_prefix(CHANGES)?.parse().ok()
}
