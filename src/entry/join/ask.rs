//! Questions to other hosts, and what their answers change.

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
        peers::HostFacts,
        server::tag_of,
        updates::{
            followed::FollowedTable,
            snapshot::{Snapshot, SnapshotHost},
        },
    },
    platform::{self, Link},
};

/// Time for an answer to begin.
const ASK_TIMEOUT_MS: u64 = 1_500;
/// Times after its start at which a host asks which others have come: those that start together do not know each
/// other yet.
const LEARN_HOSTS_AFTER_MS: [u64; 3] = [2_500, 3_500, 6_000];
/// Interval at which it asks later.
const LEARN_HOSTS_EVERY_MS: u64 = 30_000;

/// Why a host has handed nothing on.
#[derive(Debug, Snafu)]
pub(super) enum Error {
    #[snafu(display("{source}"))]
    Call { source: platform::Error },
    #[snafu(display("the question cannot be built: {source}"))]
    Question { source: http::Error },
    #[snafu(display("it answered {status}"))]
    Status { status: StatusCode },
    #[snafu(display("no seal is known for it"))]
    Seal,
    #[snafu(display("its answer cannot be read: {source}"))]
    Decode { source: postcard::Error },
}

impl Entry {
    /// Asks a host for what a path names.
    pub(super) async fn ask<T: DeserializeOwned>(
        &self,
        guide: SocketAddr,
        path: &str,
    ) -> Result<T, Error> {
        let request = Request::get(path);
        self.call(guide, request, Bytes::new()).await
    }

    /// Sends a host something sealed, and reads its answer.
    pub(super) async fn send_to<T: DeserializeOwned>(
        &self,
        guide: SocketAddr,
        path: &str,
        content: &impl Serialize,
    ) -> Result<T, Error> {
        let body = self.sealed(content).context(SealSnafu)?;
        self.call(guide, Request::post(path), body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        guide: SocketAddr,
        request: request::Builder,
        body: Bytes,
    ) -> Result<T, Error> {
        let request = request
            .header(header::HOST, guide.to_string())
            .body(Full::new(body))
            .context(QuestionSnafu)?;
        let answer = Link::new(guide).call(request, ASK_TIMEOUT_MS).await;
        let answer = answer.context(CallSnafu)?;
        if answer.status != StatusCode::OK {
            return StatusSnafu {
                status: answer.status,
            }
            .fail();
        }
        let content = self.peers.seal.open(&answer.body).context(SealSnafu)?;
        postcard::from_bytes(content).context(DecodeSnafu)
    }

    /// Learns from another host what the store has forgotten to tell: after an outage hundreds of hosts would read the
    /// tables as a whole. False if no host is known that surely has later changes than this one.
    pub(in crate::entry) async fn is_told_anew(&self, followed: FollowedTable) -> bool {
        if followed == FollowedTable::Configuration || !self.has_many_servers() {
            return false;
        }
        if !self.is_vouched_soon().await {
            return false;
        }
        let applied = self.freshness.applied(followed);
        if !self.freshness.is_behind(followed, applied) {
            // What it has missed was passed on meanwhile, or it has missed nothing.
            return true;
        }
        let Some(guide) = self.guide() else {
            return false;
        };
        self.learn_anew(followed, guide)
            .await
            .unwrap_or_else(|error| {
                log::debug!("{guide} hands nothing on: {error}");
                false
            })
    }

    pub(super) fn guide(&self) -> Option<SocketAddr> {
        self.peers.guide_for(self.as_relay())
    }

    /// True once the holder of the duty tells that it has followed the store since now, which takes it a moment after an
    /// outage. The holder itself hears nobody.
    async fn is_vouched_soon(&self) -> bool {
        let since_ms = clock::now_ms();
        let until_ms = since_ms + self.limits.start_wait_ms;
        while self.duty.term() == 0 && clock::now_ms() < until_ms {
            if self.freshness.is_store_confirmed_since(since_ms) {
                return true;
            }
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
        false
    }

    /// Learns from time to time which hosts have come.
    pub(in crate::entry) async fn keep_learning_hosts(self: Arc<Self>) {
        let first = LEARN_HOSTS_AFTER_MS.into_iter();
        for after_ms in first.chain(std::iter::repeat(LEARN_HOSTS_EVERY_MS)) {
            time::sleep(Duration::from_millis(after_ms)).await;
            let guide = self.guide();
            let Some(guide) = guide.filter(|_| self.freshness.is_store_confirmed()) else {
                continue;
            };
            match self.ask::<Vec<SnapshotHost>>(guide, HOSTS).await {
                Ok(hosts) => hosts
                    .into_iter()
                    .for_each(|host| self.take_known_host(host)),
                Err(error) => log::debug!("{guide} tells no hosts: {error}"),
            }
        }
    }

    pub(super) fn take_snapshot(&self, snapshot: &Snapshot) {
        let has_servers = snapshot.servers_known.up_to > 0;
        if has_servers
            && snapshot.servers_known.up_to >= self.freshness.applied(FollowedTable::Servers)
        {
            self.take_known_servers(snapshot);
        }
        for host in &snapshot.hosts {
            self.take_known_host(*host);
        }
        for (service, rows) in snapshot.holdings() {
            self.view.hold(&service, rows);
        }
        self.note_known(FollowedTable::Own, snapshot);
        self.view.set_hosts_known();
    }

    fn take_known_servers(&self, snapshot: &Snapshot) {
        let entries: Vec<ServerEntry> = snapshot.servers().collect();
        let present: HashSet<Arc<str>> = entries.iter().map(|entry| entry.name.clone()).collect();
        let returned_ms = self.view.store_returned_ms();
        self.view.update_registry(|registry| {
            registry.retain(&present, returned_ms);
            registry.put_all(entries.into_iter());
        });
        self.view.set_servers_known();
        self.freshness.note_leave(snapshot.leave_version);
        self.note_known(FollowedTable::Servers, snapshot);
    }

    fn note_known(&self, followed: FollowedTable, snapshot: &Snapshot) {
        let known = snapshot.known(followed);
        self.freshness.note_change(followed, known.changed);
        self.freshness.note_applied(followed, known.up_to);
    }

    fn take_known_host(&self, host: SnapshotHost) {
        if host.address == self.settings.listen.peers {
            if host
                .incarnation
                .is_some_and(|known| known != self.incarnation)
            {
                self.view.note_former_process();
            }
            return;
        }
        let facts = HostFacts {
            incarnation: host.incarnation,
            zone_tag: host.zone_tag,
            is_near: host.zone_tag == tag_of(&self.settings.availability_zone),
            processor_share: host.processor_share,
        };
        if !self.peers.knows(host.address) || facts.incarnation.is_some() {
            self.peers.add(host.address, facts);
        }
    }
}
