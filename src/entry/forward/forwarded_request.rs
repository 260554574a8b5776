//! Forwards one request: chooses servers, makes attempts and builds the response to the caller.

use std::sync::Arc;

use http::{Response, request};

use super::{
    attempt_outcome::{AttemptOutcome, GivenUp},
    body::Payload,
    caller::Caller,
    head::refusal,
    stop_response::SendState,
    times::Times,
};
use crate::{
    clock,
    entry::{
        Entry,
        contention::RequestStep,
        decide::{Candidate, Demand, retry_after::Refused, warmup::WarmupLimit},
        digest::RequestDigests,
        events::RequestEvent,
        model::{Configuration, Route},
        path_evidence::Suspicion,
        server::Server,
        tag::tag_of,
        workspaces::{Workspace, WorkspaceKey},
    },
    transport::ResponseBody,
};

/// Minimum time that must be left until the deadline of a request for an attempt to be made.
pub(super) const ATTEMPT_MS_MIN: u64 = 10;
/// Pause before this host looks up the owner of a key again, while the key is being moved or after
/// the key's server did not run the request or could not be reached. A change of the host's view
/// (its registry, configuration and key owners) ends the pause early, except after a failed
/// connection attempt.
pub(super) const KEY_RETRY_PAUSE_MS: u64 = 25;

/// A caller's request while it is forwarded, with the state of its attempts.
pub struct ForwardedRequest<'a> {
    pub(super) configuration: &'a Configuration,
    pub(super) route: &'a Arc<Route>,
    /// Workspace of the caller; `None` if the route is public or the configuration has no
    /// workspaces.
    pub(super) workspace: Option<WorkspaceKey>,
    pub(super) service: Arc<str>,
    /// Key that the request is for; `None` if the service is not sharded.
    pub(super) key: Option<u16>,
    /// Limit on requests to cold servers of the service; `None` if the service has no warm-up.
    pub(super) warmup_limit: Option<WarmupLimit>,
    pub(super) head: &'a request::Parts,
    pub(super) request_id: &'a str,
    pub(super) digests: RequestDigests,
    pub(super) times: Times,
    /// Presence of the caller; the request is not sent to a server after the caller has left.
    pub(super) caller: &'a Caller,
    /// Record of whether the request may have reached a server.
    pub(super) send_state: &'a SendState,
    /// Number of times that the request was sent without a usable response. Failed connection
    /// attempts are counted in `failed_connects` instead.
    pub(super) attempts: u32,
    /// Number of connection attempts that failed, over all servers; limited by `CONNECTS_MAX` or
    /// `REFUSED_CONNECTS_MAX`.
    pub(super) failed_connects: u32,
    /// Incarnation ids of servers at which an attempt failed. A request without a key is not sent
    /// to these servers again; a request with a key leaves the list empty.
    pub(super) tried: Vec<Arc<str>>,
    /// Fences (fencing tokens) under which the last two chosen servers held the key, the latest
    /// first. A fence is 0 while no such server was chosen.
    pub(super) fences: (u64, u64),
    /// Server that was chosen last, or that holds the key of the request; named in log events.
    pub(super) last: Option<Arc<Server>>,
    /// True once this host has claimed the trial (single supervised attempt) of the request. The
    /// request is suspect: a server has crashed during that request. No other host may run the
    /// request during the trial.
    pub(super) is_trial: bool,
}

impl ForwardedRequest<'_> {
    /// Returns the time until the deadline, in milliseconds; 0 once the deadline has passed.
    pub(super) fn left_ms(&self) -> u64 {
        self.times.deadline_ms.saturating_sub(clock::now_ms())
    }

    /// Returns the remaining time until the objective and the deadline, the expected run time and
    /// the urgency of the request, as input for the choice of a server. A response has its full
    /// value until the objective and a lower value until the deadline. An objective that is closer
    /// than [`ATTEMPT_MS_MIN`] counts as passed.
    pub(super) fn demand(&self, entry: &Entry) -> Demand {
        let objective_ms = self.times.objective_ms.saturating_sub(clock::now_ms());
        let run_share = if entry.settings.policy.runs_by_route {
            entry.run_shares.run_share(&self.service, &self.route.name)
        } else {
            1.0
        };
        Demand {
            objective_ms: if objective_ms < ATTEMPT_MS_MIN {
                0
            } else {
                objective_ms
            },
            deadline_ms: self.left_ms(),
            run_share,
            is_urgent: self.is_urgent(),
        }
    }

    /// Returns the caller's workspace in the configuration; `None` if the route is public or the
    /// configuration has no workspaces.
    pub(super) fn workspace(&self) -> Option<&Workspace> {
        let workspaces = self.configuration.workspaces()?;
        Some(workspaces.get(self.workspace?))
    }

    /// Returns true if the request may be served in an availability zone. The route of the request
    /// and the workspace of the caller can each restrict the regions.
    pub(super) fn may_be_served_in(&self, entry: &Entry, availability_zone: &str) -> bool {
        let workspace = self.workspace().map_or(&[][..], |w| &w.regions);
        let named = [&self.route.regions[..], workspace];
        let region = entry.settings.region_of(availability_zone);
        let allows = |regions: &[Arc<str>]| {
            regions.is_empty()
                || region.is_some_and(|region| regions.iter().any(|r| **r == *region))
        };
        named.into_iter().all(allows)
    }

    /// Returns true if the service also serves requests of lower priority than this request.
    pub(super) fn is_urgent(&self) -> bool {
        let priority = self.configuration.priority(self.workspace, self.route);
        self.configuration
            .has_lower_priority_requests(&self.service, priority)
    }

    /// Returns the time since the request arrived at this host, in milliseconds.
    pub(super) fn elapsed_ms(&self) -> u64 {
        clock::now_ms().saturating_sub(self.times.arrived_ms)
    }

    /// Makes attempts until a server answers the request, or until the request is refused or fails;
    /// returns the response for the caller.
    pub(super) async fn run(
        &mut self,
        entry: &Arc<Entry>,
        payload: &mut Payload,
    ) -> Response<ResponseBody> {
        self.note_retry(entry, RequestStep::Retry);
        // A request in quarantine uses no capacity of its key's server, so it is no load of the key.
        if let Err(refused) = self.check_quarantine(entry) {
            return self.refuse(entry, refused.reason.to_owned(), &refused);
        }
        if let Some(key) = self.key {
            entry.peers.count(tag_of(&self.service), key);
        }
        if let Some(refused) = self.refuse_hot_key(entry) {
            return refused;
        }
        loop {
            let server = match self.choose_while_present(entry).await {
                Some(Ok(server)) => server,
                Some(Err(refused)) => {
                    return self.refuse(entry, refused.reason.to_owned(), &refused);
                }
                None => return self.abandon(entry),
            };
            self.last = Some(server.clone());
            let mut outcome = self.attempt(entry, &server, payload).await;
            while let AttemptOutcome::PathLost(tunnel) = outcome {
                self.note_lost_connection(entry);
                outcome = self.attempt_on(entry, &server, payload, tunnel).await;
            }
            let ended = match outcome {
                AttemptOutcome::Answered(response) => Some(self.answered(entry, response)),
                AttemptOutcome::NotSent(reason) => {
                    self.not_sent(entry, payload, &server, &reason).await
                }
                AttemptOutcome::InBackoff => None,
                AttemptOutcome::CallerLeft => Some(self.abandon(entry)),
                AttemptOutcome::NotRun(status) => {
                    self.not_run(entry, payload, &server, status).await
                }
                AttemptOutcome::Unknown { cause, reason } => {
                    server.failed();
                    self.unknown(entry, payload, &server, cause, reason)
                }
                AttemptOutcome::ConnectionLost(reason) => {
                    server.failed();
                    entry.suspect_path(&server, Suspicion::BrokenConnection);
                    entry.probe_liveness(&server);
                    self.await_path_check(&server).await;
                    let cause = GivenUp::ConnectionLost;
                    self.unknown(entry, payload, &server, cause, reason)
                }
                AttemptOutcome::PathLost(_) => None,
                AttemptOutcome::TimedOut => Some(self.timed_out(entry, &server, GivenUp::TimedOut)),
                AttemptOutcome::TimedOutOnLostPath => {
                    Some(self.timed_out(entry, &server, GivenUp::PathLost))
                }
            };
            if let Some(response) = ended {
                return response;
            }
        }
    }

    /// Chooses the server for the next attempt, or returns the reason to refuse the request. Returns
    /// `None` if the caller leaves before.
    async fn choose_while_present(
        &mut self,
        entry: &Entry,
    ) -> Option<Result<Arc<Server>, Refused>> {
        let caller = self.caller;
        tokio::select! {
            biased;
            () = caller.left() => None,
            chosen = self.choose(entry) => Some(chosen),
        }
    }

    /// Logs and counts a request that is not sent, or not sent again, because its caller has left.
    /// Nobody receives the response.
    fn abandon(&self, entry: &Entry) -> Response<ResponseBody> {
        let reason = "the caller has left";
        self.log(entry, "abandoned", reason.to_owned());
        self.end(entry, "abandoned");
        refusal(&Refused::soon(reason, &entry.settings.policy))
    }

    /// Counts an answered request in the metrics and returns its response. Only a sample of the
    /// answered requests is logged.
    fn answered(&self, entry: &Entry, response: Response<ResponseBody>) -> Response<ResponseBody> {
        if entry.samples_response() {
            self.log(entry, "answered", format!("status {}", response.status()));
        }
        self.note_step(entry, RequestStep::Answered);
        self.note_retry(entry, RequestStep::RetryAnswered);
        self.end(entry, "answered");
        response
    }

    /// Logs and counts a refusal, and returns the 503 response: the request has not run, so the
    /// caller may retry.
    pub(super) fn refuse(
        &self,
        entry: &Entry,
        logged: String,
        refused: &Refused,
    ) -> Response<ResponseBody> {
        self.log(entry, "refused", logged);
        self.end(entry, "refused");
        self.note_step(entry, RequestStep::refused(refused.blocked_by));
        refusal(&self.with_retry_time(entry, refused))
    }

    /// Returns a refusal whose retry time is the typical run time of a request of the service.
    pub(super) fn refused_for_one_run(&self, entry: &Entry, reason: &'static str) -> Refused {
        let run_ms = entry.view.registry().typical_run_ms(&self.service) as u64;
        Refused::after(reason, run_ms, &entry.settings.policy)
    }

    /// Returns the state of a server as input for the choice, including whether the server is in
    /// another region than this host.
    pub(super) fn candidate(&self, entry: &Entry, server: &Server) -> Candidate {
        let settings = &entry.settings;
        let own_zone = &settings.availability_zone;
        let seen = server.candidate(own_zone, self.warmup_limit, &settings.policy);
        let zone = &server.entry.availability_zone;
        Candidate {
            is_other_region: settings.region_of(zone) != settings.region_of(own_zone),
            ..seen
        }
    }

    /// Counts the request in the metrics, by service and outcome, with the time since its arrival.
    pub(super) fn end(&self, entry: &Entry, outcome: &'static str) {
        let after_ms = self.elapsed_ms();
        entry.metrics.request(&self.service, outcome, after_ms);
    }

    /// Writes a log event for a decision about the request, with the current state of the server
    /// chosen last.
    pub(super) fn log(&self, entry: &Entry, decision: &'static str, reason: String) {
        let tunnel_host = self.last.as_ref().and_then(|last| last.path.tunnel_host());
        RequestEvent {
            request_id: self.request_id.to_owned(),
            digest: self.digests.whole.to_string(),
            path_digest: self.digests.path.to_string(),
            content_digest: self.digests.content.to_string(),
            any_path_digest: self.digests.any_path.to_string(),
            route: self.route.name.clone(),
            decision,
            reason,
            server: self.last.as_ref().map(|server| server.entry.id.clone()),
            load: self.last.as_ref().map_or(0, |server| server.load()),
            backoff_ms: self.last.as_ref().map_or(0, |server| server.backoff_ms()),
            tunnel: tunnel_host.map(|host| host.to_string().into()),
            server_contact_age_ms: self.last.as_ref().and_then(|last| last.contact.age_ms()),
            contact_age_ms: entry.server_contact.age_ms(),
            attempts: self.attempts,
            after_ms: self.elapsed_ms(),
            left_ms: self.left_ms(),
            configuration: self.configuration.version,
        }
        .log();
    }
}
