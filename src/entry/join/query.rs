//! Queries from this host to other hosts over HTTP, and the application of the responses to this
//! host's view. The content of requests and responses is sealed with the hosts' secret.

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header, request};
use http_body_util::Full;
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time;

use super::paths::HOSTS;
use crate::{
    clock,
    entry::{
        Entry,
        limits::POLL_EVERY_MS,
        model::ServerEntry,
        peers::HostProperties,
        tag::tag_of,
        updates::{
            followed::FollowedTable,
            snapshot::{Snapshot, SnapshotHost},
        },
    },
    platform::{self, Link},
};

/// Timeout of a query until the head (status and headers) of the response arrives.
const QUERY_TIMEOUT_MS: u64 = 1_500;
/// Pauses before the first three queries for the list of known hosts. The pauses are short because
/// hosts that start together do not know each other yet.
const QUERY_HOSTS_AFTER_MS: [u64; 3] = [2_500, 3_500, 6_000];
/// Interval of the queries for the list of known hosts after the first three queries.
const QUERY_HOSTS_EVERY_MS: u64 = 30_000;

/// Reason why a query to another host failed.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("{source}"))]
    Call { source: platform::Error },
    #[snafu(display("the request cannot be built: {source}"))]
    BuildRequest { source: http::Error },
    #[snafu(display("the host responded with status {status}"))]
    Status { status: StatusCode },
    #[snafu(display("the content cannot be sealed or opened with the known secret"))]
    Seal,
    #[snafu(display("the response cannot be decoded: {source}"))]
    Decode { source: postcard::Error },
}

impl Entry {
    /// Sends a GET request for `path` to the host at `peer`, and opens and decodes the response.
    pub(super) async fn query<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let request = Request::get(path);
        self.call(peer, request, Bytes::new()).await
    }

    /// Seals `content`, posts it to `path` of the host at `peer`, and opens and decodes the
    /// response.
    pub(super) async fn send_to<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        content: &impl Serialize,
    ) -> Result<T, Error> {
        let body = self.sealed(content).context(SealSnafu)?;
        self.call(peer, Request::post(path), body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        request: request::Builder,
        body: Bytes,
    ) -> Result<T, Error> {
        let request = request
            .header(header::HOST, peer.to_string())
            .body(Full::new(body))
            .context(BuildRequestSnafu)?;
        let link = Link::new(peer).for_rows();
        let response = link.call(request, QUERY_TIMEOUT_MS).await;
        let response = response.context(CallSnafu)?;
        if response.status != StatusCode::OK {
            return StatusSnafu {
                status: response.status,
            }
            .fail();
        }
        let content = self.peers.seal.open(&response.body).context(SealSnafu)?;
        postcard::from_bytes(content).context(DecodeSnafu)
    }

    /// Fetches a snapshot from another host when the store no longer has the changes that this host
    /// has missed. After an outage of the store, hundreds of hosts would otherwise read the whole
    /// tables. Returns false if this host must read the table from the store, for example because
    /// no other host is known to have later changes.
    pub(in crate::entry) async fn resync_from_peer(&self, followed: FollowedTable) -> bool {
        if followed == FollowedTable::Configuration || !self.has_many_servers() {
            return false;
        }
        if !self.is_store_confirmed_soon().await {
            return false;
        }
        let applied = self.freshness.versions.applied(followed);
        if !self.freshness.is_behind(followed, applied) {
            // This host got the missed changes by a broadcast in the meantime, or it has missed no
            // changes.
            return true;
        }
        let Some(peer) = self.peer() else {
            return false;
        };
        self.fetch_snapshot(followed, peer)
            .await
            .unwrap_or_else(|error| {
                log::debug!("fetching a snapshot from {peer} failed: {error}");
                false
            })
    }

    pub(super) fn peer(&self) -> Option<SocketAddr> {
        self.peers.sync_peer(self.as_relay_candidate())
    }

    /// Waits until the leader, or a relay in place of the leader, reports a response that the store
    /// gave after the start of the wait. After an outage of the store, the first such report
    /// arrives with a delay. Returns false if no such report arrives within `start_wait_ms`, or if
    /// this host is the leader, which receives no such reports.
    async fn is_store_confirmed_soon(&self) -> bool {
        let since_ms = clock::now_ms();
        let until_ms = since_ms + self.limits.start_wait_ms;
        while self.leadership.term() == 0 && clock::now_ms() < until_ms {
            if self.freshness.is_store_confirmed_since(since_ms) {
                return true;
            }
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
        false
    }

    /// Periodically fetches the list of known hosts from another host, so that this host learns of
    /// hosts that have registered since the last query.
    pub(in crate::entry) async fn keep_querying_hosts(self: Arc<Self>) {
        let first = QUERY_HOSTS_AFTER_MS.into_iter();
        for after_ms in first.chain(std::iter::repeat(QUERY_HOSTS_EVERY_MS)) {
            time::sleep(Duration::from_millis(after_ms)).await;
            let peer = self.peer();
            let Some(peer) = peer.filter(|_| self.freshness.is_store_confirmed()) else {
                continue;
            };
            match self.query::<Vec<SnapshotHost>>(peer, HOSTS).await {
                Ok(hosts) => hosts
                    .into_iter()
                    .for_each(|host| self.apply_known_host(host)),
                Err(error) => log::debug!("fetching the known hosts from {peer} failed: {error}"),
            }
        }
    }

    pub(super) fn apply_snapshot(&self, snapshot: &Snapshot) {
        let has_servers = snapshot.servers_versions.up_to > 0;
        if has_servers
            && snapshot.servers_versions.up_to
                >= self.freshness.versions.applied(FollowedTable::Servers)
        {
            self.apply_known_servers(snapshot);
        }
        for host in &snapshot.hosts {
            self.apply_known_host(*host);
        }
        for (service, rows) in snapshot.assignment_rows() {
            self.view.put_assignment_rows(&service, rows);
        }
        self.note_known(FollowedTable::Own, snapshot);
        self.view.set_hosts_known();
    }

    fn apply_known_servers(&self, snapshot: &Snapshot) {
        let entries: Vec<ServerEntry> = snapshot.servers().collect();
        let present: HashSet<Arc<str>> = entries.iter().map(|entry| entry.name.clone()).collect();
        let returned_ms = self.view.store_returned_ms();
        self.view.update_registry(|registry| {
            registry.retain(&present, returned_ms);
            registry.put_all(entries.into_iter());
        });
        self.view.set_servers_known();
        self.freshness.versions.note_leave(snapshot.leave_version);
        self.freshness
            .versions
            .note_full_read(snapshot.servers_versions.up_to);
        self.note_known(FollowedTable::Servers, snapshot);
    }

    fn note_known(&self, followed: FollowedTable, snapshot: &Snapshot) {
        let known = snapshot.known(followed);
        self.freshness.versions.note_change(followed, known.changed);
        self.freshness.versions.note_applied(followed, known.up_to);
    }

    fn apply_known_host(&self, host: SnapshotHost) {
        if host.address == self.settings.listen.peers {
            if host
                .incarnation
                .is_some_and(|known| known != self.incarnation)
            {
                self.view.note_former_process();
            }
            return;
        }
        let facts = HostProperties {
            incarnation: host.incarnation,
            zone_tag: host.zone_tag,
            is_same_zone: host.zone_tag == tag_of(&self.settings.availability_zone),
            processor_share: host.processor_share,
        };
        if !self.peers.knows(host.address) || facts.incarnation.is_some() {
            self.peers.add(host.address, facts);
        }
    }
}
