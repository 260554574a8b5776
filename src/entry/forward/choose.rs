//! The server that a request goes to: any of a service, or the one that holds its key.

use std::{sync::Arc, time::Duration};

use http::Response;
use tokio::time;

use super::passage::{ATTEMPT_MS_MIN, HOLD_PAUSE_MS, Passage};
use crate::{
    clock,
    entry::{
        Entry,
        decide::{
            admission,
            choice::{self, Question},
            hold::{self, Hold, MoveRest, MoveWait},
            rate_parts,
            return_time::Refused,
        },
        news::followed::Followed,
        owners::Owner,
        peers::message::Message,
        registry::Registry,
        server::{Server, tag_of},
    },
    transport::ResponseBody,
};

/// Time for which a suspect waits for the trial of another request like it: most runs end within it.
const TRIAL_HOLD_MS: u64 = 120;
/// Pause between two looks at it.
const TRIAL_PAUSE_MS: u64 = 10;

/// Those of the servers that want no rest; else the least rest that one of them wants, if there are any.
fn awake(servers: Vec<&Arc<Server>>) -> Result<Vec<&Arc<Server>>, Option<u64>> {
    let least_rest_ms = servers.iter().map(|server| server.rest_ms()).min();
    let awake: Vec<_> = servers
        .into_iter()
        .filter(|server| server.rest_ms() == 0)
        .collect();
    if awake.is_empty() {
        return Err(least_rest_ms);
    }
    Ok(awake)
}

/// Those of the servers that a request may go to by the rates that they take. It has a ticket of one of the limited
/// servers at most, unless what these take is more than what callers ask for.
fn under_rate_limits(
    servers: Vec<&Arc<Server>>,
    hosts: usize,
    is_urgent: bool,
) -> Vec<&Arc<Server>> {
    let point: f64 = rand::random();
    let mut before = 0.0;
    let may_go = |server: &&Arc<Server>| {
        let Some(part) = server.rate.part(hosts, is_urgent) else {
            return true;
        };
        server.rate.note_asked(is_urgent);
        let has_ticket = rate_parts::has_ticket(point, before, part.ticket);
        before += part.ticket;
        has_ticket && server.rate.has_token(part)
    };
    servers.into_iter().filter(may_go).collect()
}

/// True if a limited server was not heard for a while, so that a request which may go there should.
fn is_due(server: &Server) -> bool {
    server.rate.limit_per_s().is_some() && server.rate.is_unheard()
}

/// True if a request that only one server may serve can go there by the rate that it takes.
fn is_under_rate_limit(server: &Server, hosts: usize, is_urgent: bool) -> bool {
    let Some(part) = server.rate.part(hosts, is_urgent) else {
        return true;
    };
    rate_parts::has_ticket(rand::random(), 0.0, part.ticket) && server.rate.has_token(part)
}

impl Passage<'_> {
    /// The server that the request goes to, or why it is refused.
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
        // Servers may have ended under it while it waited.
        self.check_quarantine(entry)?;
        Ok(server)
    }

    fn check_quarantine(&self, entry: &Entry) -> Result<(), Refused> {
        match entry.crashes.rest_ms(self.digests) {
            Some(rest_ms) => Err(Refused::quarantined(rest_ms)),
            None => Ok(()),
        }
    }

    /// Lets one host at a time try a request under which a server has ended. A harmless one is cleared by the end of
    /// its trial, for which the others wait a little.
    async fn claim_trial(&mut self, entry: &Entry, server: &Server) -> Result<(), Refused> {
        let wait_until_ms = clock::now_ms() + TRIAL_HOLD_MS;
        while !self.is_trial && entry.crashes.is_suspect(self.digests) {
            let Err(rest_ms) = entry.claim_trial(self.digests, server.tag).await else {
                self.is_trial = true;
                break;
            };
            self.check_quarantine(entry)?;
            if clock::now_ms() >= wait_until_ms {
                let reason = "another try of the request may end its server";
                return Err(Refused::after(reason, rest_ms, &entry.settings.policy));
            }
            time::sleep(Duration::from_millis(TRIAL_PAUSE_MS)).await;
        }
        Ok(())
    }

    /// A server of a service whose servers all may run the request.
    fn any_server(&self, entry: &Entry) -> Result<Arc<Server>, Refused> {
        let registry = entry.view.registry();
        let mut usable = self.free_servers(entry, &registry)?;
        usable.retain(|server| self.may_be_served_in(entry, &server.entry.availability_zone));
        let usable = under_rate_limits(usable, entry.sharing_hosts(), self.is_urgent());
        if usable.is_empty() {
            let reason = "all servers get as much as they take";
            return Err(self.refused_for_a_run(entry, reason));
        }
        let due: Vec<_> = usable.iter().copied().filter(|s| is_due(s)).collect();
        let picked = self.pick(entry, &registry, &due);
        match picked.or_else(|| self.pick(entry, &registry, &usable)) {
            Some(server) => {
                server.take_turn(self.cold_rule);
                server.rate.take_token();
                Ok(server.clone())
            }
            None => Err(self.refused_for_a_run(entry, "all servers are overloaded")),
        }
    }

    /// The server that is expected to answer first and has room; `None` if all are overloaded.
    fn pick<'r>(
        &self,
        entry: &Entry,
        registry: &Registry,
        servers: &[&'r Arc<Server>],
    ) -> Option<&'r Arc<Server>> {
        let seen = servers.iter().map(|server| self.candidate(entry, server));
        let question = Question {
            servers: &seen.collect::<Vec<_>>(),
            typical_ms: registry.typical_run_ms(&self.service),
            demand: self.demand(entry),
            hosts: entry.peers.host_count(),
        };
        let place = choice::pick(question, &entry.settings.policy, &mut rand::rng())?;
        Some(servers[place])
    }

    /// Servers that may get the request, those that leave only for want of others.
    fn free_servers<'r>(
        &self,
        entry: &Entry,
        registry: &'r Registry,
    ) -> Result<Vec<&'r Arc<Server>>, Refused> {
        let policy = &entry.settings.policy;
        let rest_ms = match awake(registry.usable(&self.service, &self.tried)) {
            Ok(servers) => return Ok(servers),
            Err(rest_ms) => rest_ms,
        };
        let (arrived_ms, hold_ms) = (self.times.arrived_ms, entry.limits.notice_hold_ms);
        let at_last = registry.usable_at_last(&self.service, &self.tried, arrived_ms, hold_ms);
        let last_rest_ms = match awake(at_last) {
            Ok(servers) => return Ok(servers),
            Err(rest_ms) => rest_ms,
        };
        Err(match rest_ms.into_iter().chain(last_rest_ms).min() {
            Some(rest_ms) => Refused::after("all servers want a rest", rest_ms, policy),
            None => Refused::soon("no server may get work", policy),
        })
    }

    /// The server that holds the key; waits a little while the key is on its way.
    async fn owner(&mut self, entry: &Entry, key: u16) -> Result<Arc<Server>, Refused> {
        let policy = &entry.settings.policy;
        let mut changes = entry.view.changes();
        loop {
            match entry.view.owner(&self.service, key) {
                Owner::Nobody => return Err(Refused::soon("no server holds the key", policy)),
                Owner::Server(id, fence) => {
                    let server = self.holder(entry, &id)?;
                    self.fences = (fence, self.fences.0);
                    return Ok(server);
                }
                Owner::Moving(rest) => {
                    let room_ms = self.hold(entry, rest)?;
                    let wait = Duration::from_millis(HOLD_PAUSE_MS.min(room_ms));
                    // Either way the view is asked again.
                    if let Ok(Err(closed)) = time::timeout(wait, changes.changed()).await {
                        log::debug!("the view has ended: {closed}");
                    }
                }
            }
        }
    }

    /// Time for which the request may wait here for its key.
    fn hold(&self, entry: &Entry, rest: MoveRest) -> Result<u64, Refused> {
        let policy = &entry.settings.policy;
        let aim_ms = self.route.aim_ms;
        match hold::decide(rest, self.held_ms(), self.left_ms(), aim_ms, policy) {
            Hold::For(room_ms) => Ok(room_ms),
            Hold::Refuse if rest.wait == MoveWait::Lease => {
                let reason = "the key waits for the lease of a lost server to end";
                Err(Refused::after(reason, rest.rest_ms, policy))
            }
            Hold::Refuse => {
                let reason = "the key is on its way to another server";
                Err(self.refused_for_a_run(entry, reason))
            }
        }
    }

    /// The server with an id, if it may get the request.
    fn holder(&mut self, entry: &Entry, id: &str) -> Result<Arc<Server>, Refused> {
        let policy = &entry.settings.policy;
        let registry = entry.view.registry();
        let Some(server) = registry.server(id) else {
            if registry.former(id).is_none() {
                entry.view.want_reading(Followed::Servers);
            }
            return Err(Refused::soon("the key's server is gone", policy));
        };
        self.last = Some(server.clone());
        if !self.may_be_served_in(entry, &server.entry.availability_zone) {
            let reason = "the key's server is in a region where the request may not be served";
            return Err(Refused::soon(reason, policy));
        }
        server.rate.note_asked(self.is_urgent());
        let limits = &entry.limits;
        if !server.serves_held_keys(limits.evacuation_hold_ms)
            || server.is_closed_to(self.times.arrived_ms, limits.notice_hold_ms)
        {
            return Err(Refused::soon("the key's server is leaving", policy));
        }
        if server.rest_ms() > 0 {
            return Err(Refused::resting(server.rest_ms(), policy));
        }
        if server.is_barred(self.cold_rule) {
            let reason = "the key's server is cold";
            return Err(Refused::after(reason, server.cold_rest_ms(), policy));
        }
        let typical_ms = registry.typical_run_ms(&self.service);
        let seen = self.candidate(entry, server);
        if !admission::has_room(&seen, typical_ms, self.demand(entry), policy) {
            return Err(self.refused_for_a_run(entry, "the key's server is overloaded"));
        }
        if !is_under_rate_limit(server, entry.sharing_hosts(), self.is_urgent()) {
            return Err(Refused::limited(policy));
        }
        server.take_turn(self.cold_rule);
        server.rate.take_token();
        Ok(server.clone())
    }

    /// Refuses a request for a hot key, but for the share that its server can serve.
    pub(super) fn refuse_hot(&self, entry: &Entry) -> Option<Response<ResponseBody>> {
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

    /// After a server said that it does not hold the key: waits for a change, but not for long.
    pub(super) async fn await_move(&self, entry: &Entry) {
        let mut changes = entry.view.changes();
        self.ask_who_holds(entry);
        let wait = Duration::from_millis(HOLD_PAUSE_MS.min(self.left_ms()));
        if let Ok(Err(closed)) = time::timeout(wait, changes.changed()).await {
            log::debug!("the view has ended: {closed}");
        }
    }

    /// Asks the holder of the duty who holds the key; the store only if no holder is heard.
    fn ask_who_holds(&self, entry: &Entry) {
        let Some(key) = self.key else { return };
        let question = Message::WhoHolds {
            service_tag: tag_of(&self.service),
            key,
        };
        let asked = entry.freshness.is_vouched() && entry.peers.send_to_holder(&question);
        if !asked {
            entry.view.want_reading(Followed::Own);
        }
    }
}
