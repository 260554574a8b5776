//! Handles attempts without a usable response: decides whether the request is sent again, and builds
//! the response to the caller otherwise.

use std::time::Duration;

use http::{Response, StatusCode};
use tokio::time;

use super::{
    attempt_outcome::GivenUp,
    body::{Payload, Resend},
    forwarded_request::{ATTEMPT_MS_MIN, ForwardedRequest, KEY_RETRY_PAUSE_MS},
    head::plain_text,
};
use crate::{
    clock,
    entry::{
        Entry,
        decide::retry_after::{BlockedBy, Refused},
        server::Server,
    },
    transport::ResponseBody,
};

/// Number of failed connection attempts, over all servers, after which a request is refused.
const CONNECTS_MAX: u32 = 3;
/// Number of failed connection attempts after which a request that any server can run is refused,
/// if the attempts failed quickly (see [`FAST_REFUSAL_MS`]). The number exceeds [`CONNECTS_MAX`]
/// because after the loss of a zone, most of the servers that a host prefers refuse connections.
const REFUSED_CONNECTS_MAX: u32 = 10;
/// Average time per failed connection attempt, counted from the arrival of the request, below which
/// the attempts count as failed quickly.
const FAST_REFUSAL_MS: u64 = 20;
/// Maximum time for which a request waits for the check of the path to its server.
const PATH_CHECK_WAIT_MS: u64 = 40;

impl ForwardedRequest<'_> {
    /// Waits for the check of the path to a server whose connection broke, for at most
    /// [`PATH_CHECK_WAIT_MS`], before a repeatable request is sent again: the host may have lost its
    /// path to all servers.
    pub(super) async fn await_path_check(&self, server: &Server) {
        if self.route.repeatable {
            let wait = Duration::from_millis(PATH_CHECK_WAIT_MS.min(self.left_ms()));
            if time::timeout(wait, server.path.check_ended())
                .await
                .is_err()
            {
                log::debug!("the check of the path to {} goes on", server.entry.id);
            }
        }
    }

    /// Handles a failed connection attempt. The next attempt goes to another server, or to the
    /// current owner of the key if the request has a key. Returns a response if no further attempt
    /// is made.
    pub(super) async fn not_sent(
        &mut self,
        entry: &Entry,
        payload: &Payload,
        server: &Server,
        reason: &str,
    ) -> Option<Response<ResponseBody>> {
        server.not_connected();
        self.failed_connects += 1;
        let quick = self.elapsed_ms() < u64::from(self.failed_connects) * FAST_REFUSAL_MS;
        let connects_max = if quick && self.key.is_none() {
            REFUSED_CONNECTS_MAX
        } else {
            CONNECTS_MAX
        };
        if self.failed_connects >= connects_max || payload.resend() == Resend::Impossible {
            let logged = format!("no connection: {reason}");
            let refused = Refused::soon("no connection to the server", &entry.settings.policy);
            let refused = refused.blocked_by(BlockedBy::Unknown);
            return Some(self.refuse(entry, logged, &refused));
        }
        if self.key.is_some() {
            time::sleep(Duration::from_millis(KEY_RETRY_PAUSE_MS)).await;
        } else {
            self.tried.push(server.entry.id.clone());
        }
        None
    }

    /// Handles a response with which the server states that it did not run the request. The request
    /// may then be sent again even if it is unrepeatable (must run at most once). Returns a
    /// response if no further attempt is made.
    pub(super) async fn not_run(
        &mut self,
        entry: &Entry,
        payload: &Payload,
        server: &Server,
        status: StatusCode,
    ) -> Option<Response<ResponseBody>> {
        self.attempts += 1;
        if status != StatusCode::MISDIRECTED_REQUEST {
            server.failed();
        } else if self.key.is_some() && self.fences.0 == self.fences.1 {
            // A server that was granted the key a moment ago may need some milliseconds before it
            // serves the key. Two 421 responses in a row under the same fence show that the server
            // does not hold the key.
            entry.view.note_not_held(&self.service, self.fences.0);
        }
        let logged = format!("the server answered {status}, not run");
        if self.key.is_some() && server.backoff_ms() > 0 {
            let refused = Refused::in_backoff(server.backoff_ms(), &entry.settings.policy);
            return Some(self.refuse(entry, logged, &refused));
        }
        if !self.may_retry(entry, self.attempts, payload.resend()) {
            let typical_ms = entry.view.registry().typical_run_ms(&self.service);
            let seen = self.candidate(entry, server);
            let mut refused = Refused::not_run(&seen, typical_ms, &entry.settings.policy);
            if status == StatusCode::MISDIRECTED_REQUEST {
                refused = refused.blocked_by(BlockedBy::Unknown);
            }
            return Some(self.refuse(entry, logged, &refused));
        }
        self.log(entry, "repeated", logged);
        if self.key.is_some() {
            self.await_move(entry).await;
        } else {
            self.tried.push(server.entry.id.clone());
        }
        None
    }

    /// Handles an attempt after which the request may have run: only a repeatable request is sent
    /// again. Returns a response if no further attempt is made.
    pub(super) fn unknown(
        &mut self,
        entry: &Entry,
        payload: &Payload,
        server: &Server,
        cause: GivenUp,
        reason: String,
    ) -> Option<Response<ResponseBody>> {
        self.attempts += 1;
        if self.may_send_again(entry, self.attempts, payload.resend()) {
            entry.metrics.given_up(cause.name(), true);
            self.log(entry, "repeated", reason);
            if self.key.is_none() {
                self.tried.push(server.entry.id.clone());
            }
            return None;
        }
        entry.metrics.given_up(cause.name(), false);
        self.log(entry, "failed", reason);
        self.end(entry, "failed");
        let message = "no whole answer of the server";
        Some(plain_text(StatusCode::BAD_GATEWAY, message))
    }

    /// Returns true if the request, which may have run, may be sent again after `attempts` attempts.
    /// Takes a token from the retry budget if so.
    pub(super) fn may_send_again(&self, entry: &Entry, attempts: u32, resend: Resend) -> bool {
        self.is_harmless_again(entry) && self.may_retry(entry, attempts, resend)
    }

    /// Returns true if [`Self::may_send_again`] would at present, without taking a token.
    pub(super) fn could_send_again(&self, entry: &Entry, attempts: u32, resend: Resend) -> bool {
        let hosts = entry.peers.hosts();
        self.is_harmless_again(entry)
            && self.has_attempt_left(attempts, resend)
            && entry
                .retries
                .has_token(&self.service, hosts, clock::now_ms())
    }

    /// Returns true if the request may run more than once. A request that may crash servers may not,
    /// because it could crash the next server too.
    fn is_harmless_again(&self, entry: &Entry) -> bool {
        let is_suspect = self.is_trial || entry.crashes.is_path_suspect(self.digests);
        self.route.repeatable && !is_suspect
    }

    /// Records that the request leaves a lost connection, to be sent again through a tunnel.
    pub(super) fn note_lost_connection(&mut self, entry: &Entry) {
        self.attempts += 1;
        entry.metrics.given_up(GivenUp::PathLost.name(), true);
        self.log(
            entry,
            "repeated",
            "the path to the server is lost".to_owned(),
        );
    }

    /// Returns true if the attempts, the body and the remaining time allow another attempt after
    /// `attempts` attempts.
    fn has_attempt_left(&self, attempts: u32, resend: Resend) -> bool {
        attempts < self.route.attempts_max
            && resend == Resend::Possible
            && self.left_ms() > ATTEMPT_MS_MIN
    }

    /// Returns a 504 response for a request whose deadline passed during an attempt. Records a failure
    /// of the server, unless the attempt waited on a lost path.
    pub(super) fn timed_out(
        &self,
        entry: &Entry,
        server: &Server,
        cause: GivenUp,
    ) -> Response<ResponseBody> {
        if cause != GivenUp::PathLost {
            server.failed();
        }
        entry.metrics.given_up(cause.name(), false);
        self.log(entry, "failed", "no answer by the deadline".to_owned());
        self.end(entry, "timeout");
        plain_text(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    }

    /// Returns true if another attempt may follow after `attempts` attempts, as far as their number,
    /// the body, the remaining time and the retry budget are concerned. Takes a token from the retry
    /// budget if so.
    fn may_retry(&self, entry: &Entry, attempts: u32, resend: Resend) -> bool {
        let hosts = entry.peers.hosts();
        let may = self.has_attempt_left(attempts, resend)
            && entry.retries.retry(&self.service, hosts, clock::now_ms());
        if may {
            entry.metrics.retry();
        }
        may
    }
}
