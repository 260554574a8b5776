//! HTTP server that sends snapshots and missed changes to other hosts, registers joining hosts, and
//! opens tunnels to servers.

use std::sync::{Arc, PoisonError};

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::{net::TcpListener, sync::watch};

use super::paths::{CHANGES, CONFIGURATION, HOSTS, OWN, REGISTER, SNAPSHOT};
use crate::{
    clock,
    entry::{
        Entry,
        tag::tag_of,
        updates::{
            followed::FollowedTable,
            snapshot::{Snapshot, SnapshotHost},
        },
    },
    transport::{self, ListenerLimits, ResponseBody},
};

/// Content type of responses to other hosts, whose body is a sealed binary message.
const SEALED_TYPE: &str = "application/octet-stream";
/// Maximum number of connections from other hosts that this host serves at a time, without those
/// that have become tunnels. Further connections wait to be accepted.
const CONNECTIONS_MAX: usize = 32;
/// Time for which this host reuses an encoded snapshot. Hosts that start together request the
/// snapshot at the same time, so one encoding serves many of them.
const ENCODED_KEPT_MS: u64 = 500;

impl Entry {
    fn known_hosts(&self) -> Vec<SnapshotHost> {
        let mut hosts = self.peers.known_hosts();
        hosts.push(SnapshotHost {
            address: self.settings.listen.peers,
            incarnation: Some(self.incarnation),
            zone_tag: tag_of(&self.settings.availability_zone),
            processor_share: self.settings.processor_share,
        });
        hosts
    }

    /// Returns a snapshot of the servers, assigned ranges and hosts that this host knows; `None`
    /// until this host knows servers and hosts, and while this host is stopping.
    fn snapshot(&self) -> Option<Snapshot> {
        let is_known = self.view.are_servers_known() && self.view.are_hosts_known();
        if !is_known || self.stopping() {
            return None;
        }
        let mut snapshot = self.own_snapshot();
        snapshot.servers_versions = self.freshness.versions.known(FollowedTable::Servers);
        snapshot.leave_version = self.freshness.versions.leave_version();
        let registry = self.view.registry();
        snapshot.set_servers(registry.servers().map(|server| server.current_entry()));
        Some(snapshot)
    }

    /// Returns a snapshot of the hosts and assigned ranges that this host knows, without servers.
    fn own_snapshot(&self) -> Snapshot {
        let mut snapshot = Snapshot::default();
        snapshot.own_versions = self.freshness.versions.known(FollowedTable::Own);
        snapshot.hosts = self.known_hosts();
        for (service, held) in self.view.all_held() {
            for (part, row) in held.rows() {
                snapshot.add_assignment_row(&service, part, row);
            }
        }
        snapshot
    }

    /// Returns the encoded and sealed snapshot, at most [`ENCODED_KEPT_MS`] old; `None` if this
    /// host can make no snapshot or does not know the hosts' secret.
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

    pub(in crate::entry) fn sealed(&self, content: &impl Serialize) -> Option<Bytes> {
        match postcard::to_stdvec(content) {
            Ok(plain) => Some(Bytes::from(self.peers.seal.seal(&plain)?)),
            Err(error) => {
                log::warn!("a response to another host cannot be encoded: {error}");
                None
            }
        }
    }

    /// Returns the sealed response to a query for `path`; `None` if this host cannot serve the
    /// query, because this host does not know the requested data or `path` is unknown.
    fn answer_to(&self, path: &str) -> Option<Bytes> {
        match path {
            SNAPSHOT => self.encoded_snapshot(),
            OWN if self.view.are_hosts_known() => self.sealed(&self.own_snapshot()),
            CONFIGURATION => self.sealed(&self.known_configuration()?),
            HOSTS => self.sealed(&self.known_hosts()),
            _ => self.sealed(&self.broadcast.changes_after(changes_after(path)?)?),
        }
    }

    /// Returns the HTTP status for a query that this host cannot serve: 410 (Gone) if this host no
    /// longer has the requested changes, 503 (Service Unavailable) otherwise. After a 410, the
    /// querying host fetches a snapshot.
    fn refusal_status(&self, path: &str) -> StatusCode {
        let is_discarded = |after| !self.broadcast.reaches_back_to(after);
        if changes_after(path).is_some_and(is_discarded) {
            StatusCode::GONE
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }

    /// Accepts connections from other hosts and responds to their queries.
    pub(in crate::entry) async fn serve_snapshots(
        self: Arc<Self>,
        listener: TcpListener,
        stop: watch::Receiver<bool>,
    ) {
        let limits = ListenerLimits {
            connections: CONNECTIONS_MAX,
            ..ListenerLimits::default()
        };
        let handler = move |request: Request<Incoming>| {
            let entry = self.clone();
            async move { entry.serve_query(request).await }
        };
        transport::serve(listener, limits, stop, handler).await;
    }

    async fn serve_query(self: &Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() == Method::CONNECT {
            return self.serve_tunnel(request).await;
        }
        let path = request.uri().path().to_owned();
        let answer = if path == REGISTER {
            self.register_joining_host(request).await
        } else {
            self.answer_to(&path)
        };
        let (status, body) = match answer {
            Some(body) => (StatusCode::OK, body),
            None => (self.refusal_status(&path), Bytes::new()),
        };
        let mut response = transport::buffered(status, SEALED_TYPE, body);
        // The connection is closed after each response, so that waiting connections can be
        // accepted.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
        response
    }
}

/// Returns the version after which the query for `path` requests changes of server entries; `None`
/// if the path is not a query for changes.
fn changes_after(path: &str) -> Option<u64> {
    path.strip_prefix(CHANGES)?.parse().ok()
}
