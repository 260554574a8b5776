//! One attempt to send a request to a server: opens a connection, exchanges the request for a
//! response and classifies the result.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{Request, header, response};
use http_body_util::BodyExt;
use tokio::time;

use super::{
    attempt_outcome::{AttemptOutcome, GivenUp},
    body::{MemoryReservation, Payload, Received, Resend, StreamedBody, receive},
    connection::is_kept,
    forwarded_request::ForwardedRequest,
    head::{build_response, suggests_not_run},
};
use crate::{
    clock,
    entry::{Entry, pool::Connection, server::Server, server_path::Route},
    platform::headers,
    transport::{BodyError, IncomingBody, ResponseBody, header_text},
};

/// Time after the request's deadline for which the host still waits for the response, so that a
/// response that the server sends at the deadline can arrive.
const DEADLINE_SLACK_MS: u64 = 40;

impl ForwardedRequest<'_> {
    /// Sends the request to a server once, and updates the statistics of the server.
    pub(super) async fn attempt(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
        payload: &mut Payload,
    ) -> AttemptOutcome {
        let left = Duration::from_millis(self.left_ms());
        match time::timeout(left, self.connection(entry, server)).await {
            Ok(Ok(connection)) => self.attempt_on(entry, server, payload, connection).await,
            Ok(Err(attempt)) => attempt,
            Err(_) => AttemptOutcome::NotSent("no connection by the deadline".to_owned()),
        }
    }

    /// Sends the request to a server once on this connection, and updates the statistics of the
    /// server.
    pub(super) async fn attempt_on(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
        payload: &mut Payload,
        mut connection: Connection,
    ) -> AttemptOutcome {
        let Some(request) = self.request(server, payload) else {
            return AttemptOutcome::NotSent("the request cannot be built".to_owned());
        };
        let found_free_slot = server.load() < server.entry.slots;
        let in_flight = if self.is_trial {
            server.begin_trial_request(self.digests)
        } else {
            server.begin_request(self.digests)
        };
        if let Some(workspace) = self.workspace().filter(|_| self.attempts == 0) {
            entry.quotas.note_sent(workspace);
        }
        let sent = Instant::now();
        let sent_ms = clock::now_ms();
        let timeout = self.response_timeout();
        let resend = payload.resend();
        let exchange = self.exchange(entry, server, &mut connection, request, resend);
        let (head, body) = match time::timeout(timeout, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(attempt)) => {
                match attempt {
                    AttemptOutcome::NotRun(_) => {
                        in_flight.answered();
                        self.end_trial(entry, server);
                    }
                    // The server does not run the request, so it is no suspect if it crashes.
                    AttemptOutcome::NotSent(_)
                    | AttemptOutcome::InBackoff
                    | AttemptOutcome::CallerLeft => in_flight.answered(),
                    _ => {}
                }
                return attempt;
            }
            Err(_) if connection.tunnel().is_none() && server.path.route() == Route::Tunnel => {
                return AttemptOutcome::TimedOutOnLostPath;
            }
            Err(_) => {
                if let Some(idle_ms) = connection.unanswered_idle_ms() {
                    entry.note_reuse_timed_out(server, idle_ms, sent_ms);
                }
                return AttemptOutcome::TimedOut;
            }
        };
        in_flight.answered();
        if head.status.is_success() {
            entry.note_success(self.digests, sent_ms);
        }
        self.end_trial(entry, server);
        let run_ms = sent.elapsed().as_secs_f64() * 1000.0;
        self.record_response(entry, server, &head, run_ms, found_free_slot);
        let body = match body {
            Received::Whole(body) => {
                if is_kept(&connection, server) {
                    server.pool.give_back(connection, &head.headers);
                }
                body.boxed()
            }
            Received::Partial(first, rest) => {
                connection.close_after(self.response_timeout());
                let connection = Some(connection);
                StreamedBody {
                    first,
                    rest,
                    connection,
                }
                .boxed()
            }
        };
        AttemptOutcome::Answered(build_response(head, body))
    }

    /// Returns the time for which the host still waits for the end of the response.
    fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.left_ms() + DEADLINE_SLACK_MS)
    }

    /// Ends the trial (single supervised attempt) of a suspect request after the server has
    /// answered the request, so that the server may run the next suspect request (request that was
    /// in flight when a server crashed). Does nothing if this attempt is not a trial.
    fn end_trial(&self, entry: &Entry, server: &Server) {
        if self.is_trial {
            entry.end_trial(self.digests, server.tag);
        }
    }

    /// Records a response in the statistics of the server and of the route: the slowdown that the
    /// server reports, and either a failure (status 5xx) or the run time. `found_free_slot` is true
    /// if the server had a free slot when the request was sent, so that the run time includes no
    /// queueing.
    fn record_response(
        &self,
        entry: &Entry,
        server: &Server,
        head: &response::Parts,
        run_ms: f64,
        found_free_slot: bool,
    ) {
        if let Some(load) = headers::reported_load(&head.headers) {
            server.note_own_slowdown(load.slowdown);
        }
        if head.status.is_server_error() {
            server.failed();
            return;
        }
        if found_free_slot {
            let average_ms = server.run_ms();
            let (service, route) = (&self.service, &self.route.name);
            entry.run_shares.note(service, route, run_ms, average_ms);
        }
        server.answered(run_ms, found_free_slot);
    }

    /// Sends the request, checks that the response is usable, and reads the body of the response as
    /// far as [`receive`] buffers it.
    async fn exchange(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<(response::Parts, Received<IncomingBody>), AttemptOutcome> {
        let response = self
            .send(entry, server, connection, request, resend)
            .await?;
        let (head, body) = response.into_parts();
        if connection.tunnel().is_none() {
            entry.note_direct_response(server);
        }
        // A notice (the server leaves, or asks for a backoff) concerns the server as a whole, so
        // this host applies the notice even if the response belongs to another request.
        entry.note_notice(server, headers::notice(head.status, &head.headers));
        if let Some(name) = headers::repeated_field(&head.headers) {
            return Err(AttemptOutcome::Unknown {
                cause: GivenUp::InvalidHead,
                reason: format!("the response has the field {name} more than once"),
            });
        }
        let id = header_text(&head.headers, headers::REQUEST_ID.as_str()).unwrap_or_default();
        if id != self.request_id {
            let reason = "the response has the id of another request";
            return Err(AttemptOutcome::unusable(reason));
        }
        // The advertised rate limit is recorded only from a response to this request, because a
        // response to another request may be old.
        entry.note_advertised_limit(server, headers::reported_limit(head.status, &head.headers));
        if headers::says_not_run(head.status, &head.headers) {
            return Err(AttemptOutcome::NotRun(head.status));
        }
        if head.status.is_success() && !head.headers.contains_key(headers::SIGNATURE) {
            let reason = "the response has no signature";
            return Err(AttemptOutcome::unusable(reason));
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            let reason = "the response has a content encoding";
            return Err(AttemptOutcome::unusable(reason));
        }
        if suggests_not_run(head.status) {
            let reason = format!(
                "the server answered {} without stating that the request did not run",
                head.status
            );
            return Err(AttemptOutcome::unusable(reason));
        }
        let received = receive(body, MemoryReservation::default(), &entry.body_memory).await;
        Ok((head, received.map_err(broken_body)?))
    }
}

/// Returns the outcome of an attempt whose response has a body that is not certainly whole.
fn broken_body(error: BodyError) -> AttemptOutcome {
    let reason = error.to_string();
    match error {
        BodyError::Broken { .. } => AttemptOutcome::ConnectionLost(reason),
        BodyError::Surplus | BodyError::Forbidden => AttemptOutcome::Unknown {
            cause: GivenUp::InvalidBody,
            reason,
        },
    }
}
