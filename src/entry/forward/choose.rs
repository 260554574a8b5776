//! Chooses the server for a request: any server of an unsharded service, or the server that holds
//! the key.

use std::{sync::Arc, time::Duration};

use http::Response;
use tokio::{sync::watch, time};

use super::forwarded_request::{ATTEMPT_MS_MIN, ForwardedRequest, KEY_RETRY_PAUSE_MS};
use crate::{
    clock,
    entry::{
        Entry,
        decide::{
            admission,
            choice::{self, Inputs},
            hold::{self, Hold, MoveTimeLeft, MoveWait},
            pacer,
            rate_shares::RateShare,
            retry_after::{BlockedBy, Refused},
        },
        owners::Owner,
        peers::message::Message,
        registry::Registry,
        server::Server,
        tag::tag_of,
        updates::followed::FollowedTable,
    },
    transport::ResponseBody,
};

/// Maximum time for which a suspect request (a server has crashed during the request) waits until
/// it may run its own trial (single supervised attempt), while another trial of the same request or
/// at the same server is in progress. Most trials end within this time.
const TRIAL_WAIT_MS: u64 = 120;
/// Interval at which a waiting suspect request checks whether the trial that blocks it has ended.
const TRIAL_POLL_MS: u64 = 10;

/// Returns the servers that are not in a backoff, a period in which this host must send them no
/// requests. If all servers are in a backoff, the error holds the shortest remaining backoff in
/// milliseconds; if `servers` is empty, the error holds `None`.
fn not_in_backoff(servers: Vec<&Arc<Server>>) -> Result<Vec<&Arc<Server>>, Option<u64>> {
    let shortest_backoff_ms = servers.iter().map(|server| server.backoff_ms()).min();
    let not_in_backoff: Vec<_> = servers
        .into_iter()
        .filter(|server| server.backoff_ms() == 0)
        .collect();
    if not_in_backoff.is_empty() {
        return Err(shortest_backoff_ms);
    }
    Ok(not_in_backoff)
}

/// Returns true if the server has a rate limit but has not advertised the limit for a while, so
/// that a request should be sent to the server: the server's response shows whether the limit still
/// applies.
fn should_refresh_limit(server: &Server) -> bool {
    server.rate.limit_per_s().is_some() && server.rate.is_stale()
}

/// Returns true if the rate limit of `server`, the only server that can run the request, admits the
/// request.
fn is_under_rate_limit(server: &Server, hosts: usize, is_urgent: bool) -> bool {
    let Some(rate_share) = server.rate.rate_share(hosts, is_urgent) else {
        return true;
    };
    server.rate.is_admitted(rate_share, is_urgent) && server.rate.has_token(rate_share)
}

/// Returns the expected time until the keys of the server with the incarnation id `id` have moved, if
/// the server has left a moment ago and the leader has not announced the move of its keys yet.
fn unannounced_move(entry: &Entry, id: &str) -> Option<MoveTimeLeft> {
    let registry = entry.view.registry();
    let known_for_ms = match registry.server(id) {
        Some(server) => server.entry_leaving_for_ms()?,
        None => clock::now_ms().saturating_sub(registry.former(id)?.removed_ms),
    };
    hold::unannounced(known_for_ms, *entry.view.store_lost().borrow())
}

impl ForwardedRequest<'_> {
    /// Chooses the server for the next attempt, or returns the reason to refuse the request.
    /// Refuses a quarantined request. For a suspect request (a server has crashed during the
    /// request), claims the trial: a single supervised attempt.
    pub(super) async fn choose(&mut self, entry: &Entry) -> Result<Arc<Server>, Refused> {
        if self.left_ms() < ATTEMPT_MS_MIN {
            let policy = &entry.settings.policy;
            return Err(Refused::soon("the deadline is too near", policy));
        }
        self.check_quarantine(entry)?;
        let server = match self.key {
            Some(key) => self.owner(entry, key).await,
            None => self.any_server(entry),
        }?;
        self.claim_trial(entry, &server).await?;
        // The request may have been quarantined while it waited for the move of its key or for its
        // trial.
        self.check_quarantine(entry)?;
        Ok(server)
    }

    /// Refuses a request that is in quarantine, with the remaining quarantine time as the retry
    /// time.
    pub(super) fn check_quarantine(&self, entry: &Entry) -> Result<(), Refused> {
        match entry.crashes.remaining_ms(self.digests) {
            Some(remaining_ms) => Err(Refused::quarantined(remaining_ms)),
            None => Ok(()),
        }
    }

    /// Claims the trial of a suspect request, because only one host at a time may run such a
    /// request. If the claim of another trial blocks this claim, the request waits up to
    /// [`TRIAL_WAIT_MS`] for the other trial to end. A successful trial of the same request shows
    /// that the request is harmless, so that the request needs no further trial.
    async fn claim_trial(&mut self, entry: &Entry, server: &Server) -> Result<(), Refused> {
        let wait_until_ms = clock::now_ms() + TRIAL_WAIT_MS;
        while !self.is_trial && entry.crashes.is_suspect(self.digests) {
            let Err(backoff_ms) = entry.claim_trial(self.digests, server.tag).await else {
                self.is_trial = true;
                break;
            };
            self.check_quarantine(entry)?;
            if clock::now_ms() >= wait_until_ms {
                let reason = "another try of the request may end its server";
                return Err(Refused::after(reason, backoff_ms, &entry.settings.policy));
            }
            time::sleep(Duration::from_millis(TRIAL_POLL_MS)).await;
        }
        Ok(())
    }

    /// Chooses a server for a request without a key, which any server of the service can run.
    fn any_server(&self, entry: &Entry) -> Result<Arc<Server>, Refused> {
        let registry = entry.view.registry();
        let mut usable = self.available_servers(entry, &registry)?;
        usable.retain(|server| self.may_be_served_in(entry, &server.entry.availability_zone));
        let usable = self.under_rate_limits(entry, usable);
        if usable.is_empty() {
            let reason = "all servers get as much as they take";
            return Err(self.refused_for_one_run(entry, reason));
        }
        let due: Vec<_> = usable
            .iter()
            .copied()
            .filter(|s| should_refresh_limit(s))
            .collect();
        let picked = self.pick(entry, &registry, &due);
        match picked.or_else(|| self.pick(entry, &registry, &usable)) {
            Some(server) => {
                server.take_warmup_window(self.warmup_limit);
                server.rate.take_token();
                Ok(server.clone())
            }
            None => Err(self.refused_for_one_run(entry, "all servers are overloaded")),
        }
    }

    /// Returns the servers that may get the request under their rate limits. The pacer of the
    /// service admits the request to at most one of the rate-limited servers, unless the limits of
    /// these servers together exceed the request rate of callers.
    fn under_rate_limits<'r>(
        &self,
        entry: &Entry,
        servers: Vec<&'r Arc<Server>>,
    ) -> Vec<&'r Arc<Server>> {
        let (hosts, is_urgent) = (entry.sharing_hosts(), self.is_urgent());
        let with_share =
            |server: &'r Arc<Server>| (server, server.rate.rate_share(hosts, is_urgent));
        let with_shares: Vec<_> = servers.into_iter().map(with_share).collect();
        let limited = with_shares.iter().filter_map(|(_, rate_share)| *rate_share);
        let total: f64 = limited.map(|share| share.admit_probability).sum();
        if with_shares
            .iter()
            .all(|(_, rate_share)| rate_share.is_none())
        {
            return with_shares.into_iter().map(|(server, _)| server).collect();
        }
        let service_tag = tag_of(&self.service);
        let point = entry.service_pacers.point(service_tag, is_urgent, total);
        let mut before = 0.0;
        let may_go = |(server, rate_share): (&'r Arc<Server>, Option<RateShare>)| {
            let Some(rate_share) = rate_share else {
                return Some(server);
            };
            server.rate.note_demand(is_urgent);
            let probability = rate_share.admit_probability;
            let is_admitted = point.is_some_and(|at| pacer::is_admitted(at, before, probability));
            before += probability;
            (is_admitted && server.rate.has_token(rate_share)).then_some(server)
        };
        with_shares.into_iter().filter_map(may_go).collect()
    }

    /// Returns the server with the earliest expected response, after weighting by cost, among those
    /// of `servers` that have room for the request (may get one more request); `None` if no server
    /// has room.
    fn pick<'r>(
        &self,
        entry: &Entry,
        registry: &Registry,
        servers: &[&'r Arc<Server>],
    ) -> Option<&'r Arc<Server>> {
        let seen = servers.iter().map(|server| self.candidate(entry, server));
        let inputs = Inputs {
            servers: &seen.collect::<Vec<_>>(),
            typical_ms: registry.typical_run_ms(&self.service),
            demand: self.demand(entry),
            hosts: entry.peers.host_count(),
        };
        let place = choice::pick(inputs, &entry.settings.policy, &mut rand::rng())?;
        Some(servers[place])
    }

    /// Returns the servers of the service that are not in a backoff, except those that this request
    /// has already tried. Servers that are leaving are returned only if there are no others.
    fn available_servers<'r>(
        &self,
        entry: &Entry,
        registry: &'r Registry,
    ) -> Result<Vec<&'r Arc<Server>>, Refused> {
        let policy = &entry.settings.policy;
        let backoff_ms = match not_in_backoff(registry.usable(&self.service, &self.tried)) {
            Ok(servers) => return Ok(servers),
            Err(backoff_ms) => backoff_ms,
        };
        let (arrived_ms, hold_ms) = (self.times.arrived_ms, entry.limits.notice_hold_ms);
        let leaving_servers =
            registry.usable_while_leaving(&self.service, &self.tried, arrived_ms, hold_ms);
        let leaving_backoff_ms = match not_in_backoff(leaving_servers) {
            Ok(servers) => return Ok(servers),
            Err(backoff_ms) => backoff_ms,
        };
        Err(
            match backoff_ms.into_iter().chain(leaving_backoff_ms).min() {
                Some(backoff_ms) => Refused::after("all servers want a rest", backoff_ms, policy),
                None => Refused::soon("no server may get work", policy),
            },
        )
    }

    /// Returns the server that holds the key, and records the fence (fencing token) under which the
    /// server holds the key. While the key is being moved, waits as long as [`Self::hold`] allows.
    async fn owner(&mut self, entry: &Entry, key: u16) -> Result<Arc<Server>, Refused> {
        let policy = &entry.settings.policy;
        let mut changes = entry.view.changes();
        loop {
            match entry.view.owner(&self.service, key) {
                Owner::Unowned => return Err(Refused::soon("no server holds the key", policy)),
                Owner::Server(id, fence) => {
                    let Some(time_left) = unannounced_move(entry, &id) else {
                        let server = self.owning_server(entry, &id)?;
                        self.fences = (fence, self.fences.0);
                        return Ok(server);
                    };
                    self.wait_while_moving(entry, time_left, &mut changes)
                        .await?;
                }
                Owner::Moving(time_left) => {
                    self.wait_while_moving(entry, time_left, &mut changes)
                        .await?;
                }
            }
        }
    }

    /// Waits for a short time, at most until the next change of the view, while the key is being
    /// moved. Returns the reason to refuse the request if it is not held any longer.
    async fn wait_while_moving(
        &self,
        entry: &Entry,
        time_left: MoveTimeLeft,
        changes: &mut watch::Receiver<u64>,
    ) -> Result<(), Refused> {
        let room_ms = self.hold(entry, time_left)?;
        let wait = Duration::from_millis(KEY_RETRY_PAUSE_MS.min(room_ms));
        if let Ok(Err(closed)) = time::timeout(wait, changes.changed()).await {
            log::debug!("the view no longer sends changes: {closed}");
        }
        Ok(())
    }

    /// Returns how long the request may wait for the move of its key, in milliseconds, or the
    /// reason to refuse the request.
    fn hold(&self, entry: &Entry, time_left: MoveTimeLeft) -> Result<u64, Refused> {
        let policy = &entry.settings.policy;
        let aim_ms = self.route.aim_ms;
        let held_ms = self.elapsed_ms() + self.times.age.age_ms;
        match hold::decide(time_left, held_ms, self.left_ms(), aim_ms, policy) {
            Hold::For(room_ms) => Ok(room_ms),
            Hold::Refuse if time_left.wait == MoveWait::Lease => {
                let reason = "the key waits for the lease of a lost server to end";
                let refused = Refused::after(reason, time_left.remaining_ms, policy);
                Err(refused.blocked_by(BlockedBy::Move))
            }
            Hold::Refuse => {
                let reason = "the key is on its way to another server";
                let refused = self.refused_for_one_run(entry, reason);
                Err(refused.blocked_by(BlockedBy::Move))
            }
        }
    }

    /// Returns the server with the incarnation id `id`, which holds the request's key, if this host
    /// may send the request to that server; otherwise returns the reason to refuse the request.
    fn owning_server(&mut self, entry: &Entry, id: &str) -> Result<Arc<Server>, Refused> {
        let policy = &entry.settings.policy;
        let registry = entry.view.registry();
        let Some(server) = registry.server(id) else {
            if registry.former(id).is_none() {
                entry.view.request_read(FollowedTable::Servers);
            }
            let refused = Refused::soon("the key's server is gone", policy);
            return Err(refused.blocked_by(BlockedBy::Unknown));
        };
        self.last = Some(server.clone());
        if !self.may_be_served_in(entry, &server.entry.availability_zone) {
            let reason = "the key's server is in a region where the request may not be served";
            return Err(Refused::soon(reason, policy));
        }
        server.rate.note_demand(self.is_urgent());
        let limits = &entry.limits;
        if !server.serves_held_keys(limits.evacuation_hold_ms)
            || server.is_closed_to(self.times.arrived_ms, limits.notice_hold_ms)
        {
            return Err(Refused::soon("the key's server is leaving", policy));
        }
        if server.backoff_ms() > 0 {
            return Err(Refused::in_backoff(server.backoff_ms(), policy));
        }
        if server.is_limited_by_warmup(self.warmup_limit) {
            let reason = "the key's server is cold";
            return Err(Refused::after(reason, server.cold_remaining_ms(), policy));
        }
        let typical_ms = registry.typical_run_ms(&self.service);
        let seen = self.candidate(entry, server);
        let admission_policy = self.admission_policy(entry);
        if !admission::has_room(&seen, typical_ms, self.demand(entry), &admission_policy) {
            let refused = self.refused_for_one_run(entry, "the key's server is overloaded");
            return Err(refused.blocked_by(BlockedBy::Queue));
        }
        if !is_under_rate_limit(server, entry.sharing_hosts(), self.is_urgent()) {
            return Err(Refused::limited(policy));
        }
        server.take_warmup_window(self.warmup_limit);
        server.rate.take_token();
        Ok(server.clone())
    }

    /// Refuses the request at random if its key is hot (gets more requests than its server can
    /// run): the fraction of refused requests is the fraction that exceeds the capacity of the
    /// server. Returns `None` if the request may be forwarded.
    pub(super) fn refuse_hot_key(&self, entry: &Entry) -> Option<Response<ResponseBody>> {
        let policy = &entry.settings.policy;
        let tag = tag_of(&self.service);
        let hot = entry.hot_keys.get(tag, self.key?, clock::now_ms())?;
        if rand::random::<f64>() < hot.admitted(policy) {
            return None;
        }
        let typical_ms = entry.view.registry().typical_run_ms(&self.service);
        let refused = Refused::hot_key(hot, typical_ms, policy);
        let logged = format!("{}: {:.1} for each served", refused.reason, hot.excess());
        Some(self.refuse(entry, logged, &refused))
    }

    /// Asks which server currently holds the key after a server did not run the request, and waits
    /// up to [`KEY_RETRY_PAUSE_MS`] for the view to change.
    pub(super) async fn await_move(&self, entry: &Entry) {
        let mut changes = entry.view.changes();
        self.query_key_owner(entry);
        let wait = Duration::from_millis(KEY_RETRY_PAUSE_MS.min(self.left_ms()));
        if let Ok(Err(closed)) = time::timeout(wait, changes.changed()).await {
            log::debug!("the view no longer sends changes: {closed}");
        }
    }

    /// Asks the leader which server holds the key. Requests a read from the store instead if the
    /// query cannot be sent to the leader, or if this host has received no recent report that the
    /// store responds.
    fn query_key_owner(&self, entry: &Entry) {
        let Some(key) = self.key else { return };
        let query = Message::QueryKeyOwner {
            service_tag: tag_of(&self.service),
            key,
        };
        let asked = entry.freshness.is_store_confirmed() && entry.peers.send_to_leader(&query);
        if !asked {
            entry.view.request_read(FollowedTable::Own);
        }
    }
}
