//! One attempt to send a request to a server: opens a connection, exchanges the request for a
//! response and classifies the result.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, Request, Response, header, response};
use http_body_util::BodyExt;
use tokio::time;

use super::{
    attempt_outcome::AttemptOutcome,
    body::{MemoryReservation, Payload, Received, Resend, StreamedBody, receive},
    forwarded_request::{ATTEMPT_MS_MIN, ForwardedRequest},
    head::{build_response, origin_form, strip_hop_headers, suggests_not_run},
};
use crate::{
    clock,
    entry::{
        Entry,
        pool::{ConnectError, Connection, SendError},
        server::Server,
        server_path::Route,
    },
    platform::headers,
    transport::{IncomingBody, ResponseBody, header_text},
};

/// Time after the request's deadline for which the host still waits for the response, so that a
/// response that the server sends at the deadline can arrive.
const DEADLINE_SLACK_MS: u64 = 40;
/// Interval at which a request that waits on a lost connection asks for a token of the retry budget.
const RETRY_TOKEN_EVERY_MS: u64 = 100;

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
                    AttemptOutcome::NotSent(_) | AttemptOutcome::InBackoff => in_flight.answered(),
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

    /// Returns an idle connection to the server, or opens a connection. Returns
    /// [`AttemptOutcome::InBackoff`] if the server has asked this host for a backoff. The backoff
    /// is checked before and after connecting, because the server may ask for a backoff while the
    /// request waits for competing trial claims from other hosts, or while the connection is being
    /// opened.
    async fn connection(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, AttemptOutcome> {
        if server.backoff_ms() > 0 {
            return Err(AttemptOutcome::InBackoff);
        }
        let repeatable = self.route.repeatable;
        let bound_ms = entry.idle_reuses.bound_ms(&self.service, repeatable);
        let bound_ms = bound_ms.filter(|_| entry.settings.policy.bounds_idle_reuse);
        if let Some(connection) = server.pool.take(bound_ms) {
            return Ok(connection);
        }
        self.new_connection(entry, server).await
    }

    /// Opens a connection to the server, unless the server has asked this host for a backoff.
    async fn new_connection(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, AttemptOutcome> {
        let connection = self.connect(entry, server).await?;
        if server.backoff_ms() > 0 {
            if is_kept(&connection, server) {
                server.pool.keep(connection);
            }
            return Err(AttemptOutcome::InBackoff);
        }
        Ok(connection)
    }

    /// Opens a connection to the server, and starts a liveness probe of the server if the
    /// connection is refused.
    async fn connect(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, AttemptOutcome> {
        let connected = entry.connect(server, self.left_ms()).await;
        connected.map_err(|error| {
            if matches!(error, ConnectError::Refused { .. }) {
                // A refused connection may be the only sign of a crash: if the callers of all
                // requests at the server had disconnected before the crash, no request fails on a
                // broken connection.
                entry.probe_liveness(server);
            }
            AttemptOutcome::NotSent(error.to_string())
        })
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

    /// Sends the request and waits for the head of the response. A server may close an idle
    /// connection at the moment of its reuse: if no part of the request was written, the request is
    /// sent again on a new connection.
    async fn send(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<Response<IncomingBody>, AttemptOutcome> {
        let sent = self
            .send_once(entry, server, connection, request, resend)
            .await?;
        if let Some(idle_ms) = connection.unanswered_idle_ms() {
            entry.note_reuse_failed(server, idle_ms);
        }
        let mut request = match sent {
            Err(SendError::NotWritten { request, source }) => {
                log::debug!("request not written to {}: {source}", server.entry.id);
                request
            }
            sent => return sent.map_err(not_answered),
        };
        *connection = self.new_connection(entry, server).await?;
        let left_ms = HeaderValue::from(self.left_ms());
        request.headers_mut().insert(headers::DEADLINE_MS, left_ms);
        let sent = self
            .send_once(entry, server, connection, *request, resend)
            .await?;
        sent.map_err(not_answered)
    }

    /// Sends the request on a connection, unless the caller was told at the end of the grace period
    /// of a planned stop that it may repeat the request.
    async fn send_once(
        &self,
        entry: &Entry,
        server: &Server,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<Result<Response<IncomingBody>, SendError>, AttemptOutcome> {
        let Some(sent_before) = self.send_state.begin_send() else {
            return Err(AttemptOutcome::NotSent("this host stops".to_owned()));
        };
        let sent = if connection.tunnel().is_some() {
            entry.metrics.tunnelled_request();
            connection.send(request).await
        } else {
            self.send_directly(entry, server, connection, request, resend)
                .await?
        };
        if let Err(SendError::NotWritten { .. }) = &sent {
            self.send_state.not_written(sent_before);
        }
        Ok(sent)
    }

    /// Sends the request on a direct connection. Once the direct connections to the server are found
    /// to be lost, waits for the response only until the request can be sent again.
    async fn send_directly(
        &self,
        entry: &Entry,
        server: &Server,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<Result<Response<IncomingBody>, SendError>, AttemptOutcome> {
        server.path.note_sent();
        tokio::select! {
            biased;
            sent = connection.send(request) => Ok(sent),
            tunnel = self.tunnel_after_loss(entry, server, resend) => {
                Err(AttemptOutcome::PathLost(tunnel))
            }
        }
    }

    /// Waits until the direct connections to the server are found to be lost, a tunnel to the server
    /// is open and the request may be sent again; returns the tunnel. Until then the response may still
    /// come: the path can heal, or the conclusion can be wrong.
    async fn tunnel_after_loss(
        &self,
        entry: &Entry,
        server: &Server,
        resend: Resend,
    ) -> Connection {
        loop {
            server.path.connections_lost().await;
            while server.path.route() == Route::Tunnel {
                if self.could_leave(entry, server, resend)
                    && let Some(tunnel) = entry.open_tunnel_to(server, self.left_ms()).await
                    && self.could_leave(entry, server, resend)
                    && self.may_send_again(entry, self.attempts + 1, resend)
                {
                    return tunnel;
                }
                time::sleep(Duration::from_millis(RETRY_TOKEN_EVERY_MS)).await;
            }
            // The path is usable again, but this connection may be gone: silence shows it.
            server.path.note_sent();
        }
    }

    /// Returns true if the path to the server is lost, the request may be sent there again at present,
    /// and the server can be expected to respond in the time that is left.
    fn could_leave(&self, entry: &Entry, server: &Server, resend: Resend) -> bool {
        let has_time = self.left_ms() > server.run_ms() as u64 + ATTEMPT_MS_MIN;
        let is_suspect = entry.crashes.is_suspect(self.digests)
            || entry.crashes.remaining_ms(self.digests).is_some();
        server.path.route() == Route::Tunnel
            && server.backoff_ms() == 0
            && has_time
            && !is_suspect
            && self.could_send_again(entry, self.attempts + 1, resend)
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
        let connection_lost =
            |error: hyper::Error| AttemptOutcome::ConnectionLost(error.to_string());
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
        let id = header_text(&head.headers, headers::REQUEST_ID.as_str()).unwrap_or_default();
        if id != self.request_id {
            return Err(AttemptOutcome::Unknown(
                "the response has the id of another request".to_owned(),
            ));
        }
        // The advertised rate limit is recorded only from a response to this request, because a
        // response to another request may be old.
        entry.note_advertised_limit(server, headers::reported_limit(head.status, &head.headers));
        if headers::says_not_run(head.status, &head.headers) {
            return Err(AttemptOutcome::NotRun(head.status));
        }
        if head.status.is_success() && !head.headers.contains_key(headers::SIGNATURE) {
            return Err(AttemptOutcome::Unknown(
                "the response has no signature".to_owned(),
            ));
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            return Err(AttemptOutcome::Unknown(
                "the response has a content encoding".to_owned(),
            ));
        }
        if suggests_not_run(head.status) {
            let reason = format!(
                "the server answered {} without stating that the request did not run",
                head.status
            );
            return Err(AttemptOutcome::Unknown(reason));
        }
        let received = receive(body, MemoryReservation::default(), &entry.body_memory).await;
        let received = received.map_err(connection_lost)?;
        Ok((head, received))
    }

    /// Builds the request for the server: the caller's request without hop-by-hop headers, with the
    /// remaining time and the name of the expected server. `None` if a header or the URI is
    /// invalid, or the body was streamed in an earlier attempt.
    fn request(&self, server: &Server, payload: &mut Payload) -> Option<Request<ResponseBody>> {
        let body = payload.body()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri)?;
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        strip_hop_headers(headers);
        if !payload.is_empty() || self.head.method == Method::GET {
            // hyper sets the content length from the body that it sends.
            headers.remove(header::CONTENT_LENGTH);
        }
        self.set_workspace_header(headers)?;
        headers.insert(headers::DEADLINE_MS, HeaderValue::from(self.left_ms()));
        let name = HeaderValue::from_str(&server.entry.name).ok()?;
        headers.insert(headers::EXPECTED_SERVER, name);
        Some(request)
    }

    /// Replaces the caller's API key by the name of its workspace, because servers must not see API
    /// keys. Changes nothing if the configuration has no workspaces. `None` if the name is not a
    /// valid header value.
    fn set_workspace_header(&self, headers: &mut HeaderMap) -> Option<()> {
        if self.configuration.workspaces().is_none() {
            return Some(());
        }
        headers.remove(header::AUTHORIZATION);
        headers.remove(headers::WORKSPACE);
        if let Some(workspace) = self.workspace() {
            let name = HeaderValue::from_str(&workspace.name).ok()?;
            headers.insert(headers::WORKSPACE, name);
        }
        Some(())
    }
}

/// Returns true if a connection may be reused. A tunnel is used only while the path to the server is
/// lost, because it breaks when its host stops.
fn is_kept(connection: &Connection, server: &Server) -> bool {
    connection.tunnel().is_none() || server.path.route() == Route::Tunnel
}

/// Returns the result of an attempt whose connection gave no response.
fn not_answered(error: SendError) -> AttemptOutcome {
    match error {
        SendError::NotWritten { source, .. } => AttemptOutcome::NotSent(source.to_string()),
        SendError::Lost { source } => AttemptOutcome::ConnectionLost(source.to_string()),
    }
}
