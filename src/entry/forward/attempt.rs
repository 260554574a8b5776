//! One attempt of a request at one server: the connection, the exchange, and what the answer says.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header, response};
use http_body_util::BodyExt;
use tokio::time;

use super::{
    body::{Payload, Received, Streamed, Taken, receive},
    head::{build_answer, origin_form, promises_not_run, strip_hop_headers},
    passage::Passage,
};
use crate::{
    clock,
    entry::{
        Entry,
        pool::{ConnectError, Connection},
        server::Server,
    },
    platform::headers,
    transport::{AnswerBody, header_text},
};

/// Time after the deadline that a server's own answer about it may take.
const DEADLINE_SLACK_MS: u64 = 40;

/// What came of one attempt.
pub(super) enum Attempt {
    Answered(Response<AnswerBody>),
    /// No connection came up, so nothing was sent.
    NotSent(String),
    /// The server asked for rest before the request could be sent.
    Rests,
    /// The server says that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    Unknown(String),
    /// The request may have run, and the connection ended without a whole answer.
    BrokeOff(String),
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl Passage<'_> {
    /// Sends the request to a server once.
    pub(super) async fn attempt(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
        payload: &mut Payload,
    ) -> Attempt {
        let mut connection = match self.connection(entry, server).await {
            Ok(connection) => connection,
            Err(attempt) => return attempt,
        };
        let Some(request) = self.request(server, payload) else {
            return Attempt::NotSent("the request cannot be built".to_owned());
        };
        let found_free_slot = server.load() < server.entry.slots;
        let in_flight = if self.is_trial {
            server.enter_for_trial(self.digests)
        } else {
            server.enter(self.digests)
        };
        if let Some(workspace) = self.workspace().filter(|_| self.attempts == 0) {
            entry.quotas.note_sent(workspace);
        }
        let sent = Instant::now();
        let sent_ms = clock::now_ms();
        let limit = Duration::from_millis(self.left_ms() + DEADLINE_SLACK_MS);
        let exchange = self.exchange(entry, server, &mut connection, request);
        let (head, body) = match time::timeout(limit, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(attempt)) => {
                if matches!(attempt, Attempt::NotRun(_)) {
                    in_flight.answered();
                    self.end_trial(entry, server);
                }
                return attempt;
            }
            Err(_) => return Attempt::TimedOut,
        };
        in_flight.answered();
        if head.status.is_success() {
            entry.note_good_end(self.digests, sent_ms);
        }
        self.end_trial(entry, server);
        let run_ms = sent.elapsed().as_secs_f64() * 1000.0;
        self.learn(entry, server, &head, run_ms, found_free_slot);
        let body = match body {
            Received::Whole(body) => {
                server.pool.give_back(connection, &head.headers);
                body.boxed()
            }
            Received::Begun(first, rest) => Streamed {
                first,
                rest,
                connection: Some(connection),
            }
            .boxed(),
        };
        Attempt::Answered(build_answer(head, body))
    }

    /// Lets the next suspect be tried at a server that has answered this one.
    fn end_trial(&self, entry: &Entry, server: &Server) {
        if self.is_trial {
            entry.end_trial(self.digests, server.tag);
        }
    }

    /// An idle connection to the server, or a new one. The server may have asked for rest since it was chosen,
    /// while the request waited for other hosts' claims, and may do so while the connection comes up.
    async fn connection(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, Attempt> {
        if server.rest_ms() > 0 {
            return Err(Attempt::Rests);
        }
        if let Some(connection) = server.pool.take() {
            return Ok(connection);
        }
        let connection = self.connect(entry, server).await?;
        if server.rest_ms() > 0 {
            server.pool.keep(connection);
            return Err(Attempt::Rests);
        }
        Ok(connection)
    }

    async fn connect(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, Attempt> {
        let connected = server.pool.connect(self.left_ms()).await;
        connected.map_err(|error| {
            if matches!(error, ConnectError::Refused { .. }) {
                // Requests whose callers have left break off nothing when the server ends.
                entry.probe_liveness(server);
            }
            Attempt::NotSent(error.to_string())
        })
    }

    /// Notes what an answer shows of its server and of the request.
    fn learn(
        &self,
        entry: &Entry,
        server: &Server,
        head: &response::Parts,
        run_ms: f64,
        found_free_slot: bool,
    ) {
        if let Some(told) = headers::reported_load(&head.headers) {
            server.note_own_pace(told.pace);
        }
        if head.status.is_server_error() {
            server.failed();
            return;
        }
        if found_free_slot {
            let average_ms = server.run_ms();
            let (service, route) = (&self.service, &self.route.name);
            entry.kinds.note(service, route, run_ms, average_ms);
        }
        server.answered(run_ms, found_free_slot);
    }

    /// Sends the request and reads the answer as far as it is held in memory.
    async fn exchange(
        &self,
        entry: &Entry,
        server: &Server,
        connection: &mut Connection,
        request: Request<AnswerBody>,
    ) -> Result<(response::Parts, Received), Attempt> {
        let broke_off = |error: hyper::Error| Attempt::BrokeOff(error.to_string());
        let response = connection.send(request).await.map_err(broke_off)?;
        let (head, body) = response.into_parts();
        // Also if the answer is for another request: it is about the server.
        entry.note_notice(server, headers::notice(head.status, &head.headers));
        let id = header_text(&head.headers, headers::REQUEST_ID.as_str()).unwrap_or_default();
        if id != self.request_id {
            return Err(Attempt::Unknown("the answer has another id".to_owned()));
        }
        // Not of an answer to another request: that may be an old one.
        entry.note_told_limit(server, headers::reported_limit(head.status, &head.headers));
        if headers::says_not_run(head.status, &head.headers) {
            return Err(Attempt::NotRun(head.status));
        }
        if head.status.is_success() && !head.headers.contains_key(headers::SIGNATURE) {
            return Err(Attempt::Unknown("the answer has no signature".to_owned()));
        }
        if head.headers.contains_key(header::CONTENT_ENCODING) {
            return Err(Attempt::Unknown("the answer is encoded".to_owned()));
        }
        if promises_not_run(head.status) {
            let reason = format!("the server answered {} without its word", head.status);
            return Err(Attempt::Unknown(reason));
        }
        let received = receive(body, Taken::default(), &entry.body_memory).await;
        let received = received.map_err(broke_off)?;
        Ok((head, received))
    }

    fn request(&self, server: &Server, payload: &mut Payload) -> Option<Request<AnswerBody>> {
        let body = payload.body()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = origin_form(&self.head.uri)?;
        let headers = request.headers_mut();
        *headers = self.head.headers.clone();
        strip_hop_headers(headers);
        if !payload.is_empty() || self.head.method == Method::GET {
            // The library writes the length that it sends.
            headers.remove(header::CONTENT_LENGTH);
        }
        self.name_workspace(headers)?;
        headers.insert(headers::DEADLINE_MS, HeaderValue::from(self.left_ms()));
        let name = HeaderValue::from_str(&server.entry.name).ok()?;
        headers.insert(headers::EXPECTED_SERVER, name);
        Some(request)
    }

    /// Puts the name of the workspace in the place of the caller's API key, which no server gets to see.
    fn name_workspace(&self, headers: &mut HeaderMap) -> Option<()> {
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
