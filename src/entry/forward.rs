//! Passes one caller's request on to a backend server and its answer back.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
    request, response,
};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time;

use super::{
    Entry,
    choice::{self, Refusal},
    events::Event,
    model::{Configuration, Part, Route},
    pool::Connection,
    server::{Server, tag_of},
    view::Owner,
};
use crate::{
    clock,
    platform::headers,
    transport::{AnswerBody, header_number, header_text, whole},
};

/// Bodies up to this size are held in memory, so that a request can be repeated and a broken
/// answer be noticed before any of it is passed on.
const BUFFERED_BYTES_MAX: usize = 256 * 1024;
/// Deadline of requests that name none.
const DEADLINE_DEFAULT_MS: u64 = 30_000;
/// Time after the deadline that a server's own answer about it may take.
const DEADLINE_SLACK_MS: u64 = 40;
/// Least time for which an attempt is worth making.
const ATTEMPT_MS_MIN: u64 = 10;
/// Connects that may fail for one request before it is given up.
const CONNECTS_MAX: u32 = 3;
/// Pause before a keyed request is sent again to a server that did not hold the key yet.
const HOLD_PAUSE_MS: u64 = 25;
/// Time between a request's deadline and the end of the process that must remain.
const STOP_MARGIN_MS: u64 = 100;
/// Time after which a refused caller should come back.
const RETRY_AFTER: &str = "0.1";

const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// A request's body as it is passed on.
enum Payload {
    Whole(Bytes),
    /// Its beginning, and the rest as it comes; can be sent only once.
    Stream(Option<(Bytes, Incoming)>),
}

/// A request on its way.
struct Passage<'a> {
    configuration: &'a Configuration,
    route: &'a Arc<Route>,
    service: Arc<str>,
    key: Option<u16>,
    head: &'a request::Parts,
    request_id: &'a str,
    arrived_ms: u64,
    deadline_ms: u64,
    attempts: u32,
    connects: u32,
    tried: Vec<Arc<str>>,
    /// Fence under which the last server was thought to hold the key, and the one before.
    fences: (u64, u64),
    last: Option<Arc<Server>>,
}

/// What came of one attempt.
enum Attempt {
    Answered(Response<AnswerBody>),
    /// No connection came up, so nothing was sent.
    NotSent(String),
    /// The server says that it did not run the request.
    NotRun(StatusCode),
    /// The request may have run.
    Unknown(String),
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

/// Answers one request of a caller.
pub async fn answer(entry: Arc<Entry>, request: Request<Incoming>) -> Response<AnswerBody> {
    let present = entry.enter();
    let stopping_entry = entry.clone();
    let mut response = route(entry, request).await;
    if stopping_entry.stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    drop(present);
    response
}

async fn route(entry: Arc<Entry>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_ms = clock::now_ms();
    let Some(configuration) = entry.view.configuration() else {
        return refusal("no configuration is known yet");
    };
    let host = header_text(request.headers(), "host").unwrap_or_default();
    let Some(route) = configuration.route(host, request.uri().path()).cloned() else {
        return plain(StatusCode::NOT_FOUND, "no route");
    };
    let (head, body) = request.into_parts();
    let asked_ms = header_number(&head.headers, headers::DEADLINE_MS.as_str());
    let left_ms = asked_ms
        .unwrap_or(DEADLINE_DEFAULT_MS)
        .min(route.timeout_ms);
    let deadline_ms = arrived_ms + left_ms;
    if deadline_ms + STOP_MARGIN_MS > entry.ends_ms() {
        return refusal("this host is about to stop");
    }
    let body_max = configuration.limits.body_bytes;
    if header_number(&head.headers, "content-length").is_some_and(|length| length > body_max) {
        return plain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    }
    let reading = read_payload(body);
    let limit = Duration::from_millis(left_ms);
    let payload = match time::timeout(limit, reading).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(error)) => return plain(StatusCode::BAD_REQUEST, &error.to_string()),
        Err(_) => return refusal("the body did not come in time"),
    };
    let repeatable = route.repeatable;
    let passing = async move {
        let times = (arrived_ms, deadline_ms);
        pass(&entry, &configuration, &route, &head, payload, times).await
    };
    if repeatable {
        // Dropped with its connections when the caller leaves.
        return passing.await;
    }
    // An unrepeatable request is not cut off at its server when the caller leaves.
    match tokio::spawn(passing).await {
        Ok(response) => response,
        Err(error) => {
            log::error!("a request ended early: {error}");
            plain(StatusCode::BAD_GATEWAY, "the request ended early")
        }
    }
}

async fn pass(
    entry: &Arc<Entry>,
    configuration: &Configuration,
    route: &Arc<Route>,
    head: &request::Parts,
    mut payload: Payload,
    (arrived_ms, deadline_ms): (u64, u64),
) -> Response<AnswerBody> {
    let Some(part) = choose_part(&route.parts) else {
        return refusal("the route has no service");
    };
    let service = part.service.clone();
    let divided = configuration
        .service(&service)
        .is_some_and(|service| service.divided_by_key);
    let key = if divided {
        let key = header_number(&head.headers, headers::KEY.as_str());
        match key.and_then(|key| u16::try_from(key).ok()) {
            Some(key) => Some(key),
            None => return plain(StatusCode::BAD_REQUEST, "the key is missing or no number"),
        }
    } else {
        None
    };
    if let Some(key) = key {
        entry.peers.count(tag_of(&service), key);
    }
    entry.retries.request(&service, entry.peers.hosts());
    let request_id = header_text(&head.headers, headers::REQUEST_ID.as_str()).unwrap_or_default();
    let mut passage = Passage {
        configuration,
        route,
        service,
        key,
        head,
        request_id,
        arrived_ms,
        deadline_ms,
        attempts: 0,
        connects: 0,
        tried: Vec::new(),
        fences: (0, 0),
        last: None,
    };
    passage.run(entry, &mut payload).await
}

/// Draws one of a route's services in proportion to the weights.
fn choose_part(parts: &[Part]) -> Option<&Part> {
    if parts.len() == 1 {
        return parts.first();
    }
    let total: f64 = parts.iter().map(|part| part.weight).sum();
    let mut point = rand::random::<f64>() * total;
    for part in parts {
        if point < part.weight {
            return Some(part);
        }
        point -= part.weight;
    }
    parts.iter().rfind(|part| part.weight > 0.0)
}

impl Passage<'_> {
    fn left_ms(&self) -> u64 {
        self.deadline_ms.saturating_sub(clock::now_ms())
    }

    async fn run(&mut self, entry: &Arc<Entry>, payload: &mut Payload) -> Response<AnswerBody> {
        loop {
            let server = match self.choose(entry).await {
                Ok(server) => server,
                Err(reason) => {
                    self.log("refused", reason.to_owned());
                    self.end(entry, "refused");
                    return refusal(reason);
                }
            };
            self.last = Some(server.clone());
            let attempt = self.attempt(&server, payload).await;
            match attempt {
                Attempt::Answered(response) => {
                    if entry.samples_answer() {
                        self.log("answered", format!("status {}", response.status()));
                    }
                    self.end(entry, "answered");
                    return response;
                }
                Attempt::NotSent(reason) => {
                    server.not_connected();
                    self.connects += 1;
                    if self.key.is_none() {
                        self.tried.push(server.entry.id.clone());
                    }
                    if self.connects >= CONNECTS_MAX || !payload.can_repeat() {
                        self.log("refused", format!("no connection: {reason}"));
                        self.end(entry, "refused");
                        return refusal("no connection to the server");
                    }
                    if self.key.is_some() {
                        time::sleep(Duration::from_millis(HOLD_PAUSE_MS)).await;
                    }
                }
                Attempt::NotRun(status) => {
                    self.attempts += 1;
                    if status != StatusCode::MISDIRECTED_REQUEST {
                        server.failed();
                    } else if self.key.is_some() && self.fences.0 == self.fences.1 {
                        // Twice in a row is more than a matter of milliseconds.
                        entry.view.note_not_held(&self.service, self.fences.0);
                    }
                    if !self.may_repeat(entry, payload) {
                        self.log("refused", format!("the server answered {status}, not run"));
                        self.end(entry, "refused");
                        return refusal("the server did not run the request");
                    }
                    self.log("repeated", format!("the server answered {status}, not run"));
                    if self.key.is_some() {
                        self.await_move(entry).await;
                    } else {
                        self.tried.push(server.entry.id.clone());
                    }
                }
                Attempt::Unknown(reason) => {
                    self.attempts += 1;
                    server.failed();
                    if !self.route.repeatable || !self.may_repeat(entry, payload) {
                        self.log("failed", reason);
                        self.end(entry, "failed");
                        return plain(StatusCode::BAD_GATEWAY, "no whole answer of the server");
                    }
                    self.log("repeated", reason);
                    if self.key.is_none() {
                        self.tried.push(server.entry.id.clone());
                    }
                }
                Attempt::TimedOut => {
                    server.failed();
                    self.log("failed", "no answer by the deadline".to_owned());
                    self.end(entry, "timeout");
                    return plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time");
                }
            }
        }
    }

    fn may_repeat(&self, entry: &Entry, payload: &Payload) -> bool {
        let may = self.attempts < self.route.attempts_max
            && payload.can_repeat()
            && self.left_ms() > ATTEMPT_MS_MIN
            && entry.retries.repeat(&self.service, entry.peers.hosts());
        if may {
            entry.metrics.repeat();
        }
        may
    }

    /// Counts the request when its answer is known.
    fn end(&self, entry: &Entry, outcome: &'static str) {
        let after_ms = clock::now_ms() - self.arrived_ms;
        entry.metrics.request(&self.service, outcome, after_ms);
    }

    async fn choose(&mut self, entry: &Entry) -> Result<Arc<Server>, &'static str> {
        if self.left_ms() < ATTEMPT_MS_MIN {
            return Err("the deadline is too near");
        }
        let Some(key) = self.key else {
            let registry = entry.view.registry();
            let servers = registry.of_service(&self.service);
            let zone = &entry.settings.availability_zone;
            let hosts = entry.peers.hosts();
            let picked = choice::pick(servers, zone, &self.tried, self.left_ms(), hosts);
            return picked.map_err(|refusal| match refusal {
                Refusal::NoServer => "no server may get work",
                Refusal::Overloaded => "all servers are overloaded",
            });
        };
        self.owner(entry, key).await
    }

    /// The server that holds the key; waits while the key is on its way.
    async fn owner(&mut self, entry: &Entry, key: u16) -> Result<Arc<Server>, &'static str> {
        let mut changes = entry.view.changes();
        loop {
            match entry.view.owner(&self.service, key) {
                Owner::Nobody => return Err("no server holds the key"),
                Owner::Server(id, fence) => {
                    let registry = entry.view.registry();
                    let Some(server) = registry.server(&id) else {
                        return Err("the key's server is gone");
                    };
                    let typical_ms = choice::typical_run_ms(registry.of_service(&self.service));
                    self.last = Some(server.clone());
                    if server.leaving() {
                        return Err("the key's server is leaving");
                    }
                    if !choice::has_room(server, typical_ms, self.left_ms()) {
                        return Err("the key's server is overloaded");
                    }
                    self.fences = (fence, self.fences.0);
                    return Ok(server.clone());
                }
                Owner::Moving => {
                    if self.left_ms() < ATTEMPT_MS_MIN {
                        return Err("the key is on its way to another server");
                    }
                    let wait = Duration::from_millis(HOLD_PAUSE_MS.min(self.left_ms()));
                    // Either way the view is asked again.
                    if let Ok(Err(closed)) = time::timeout(wait, changes.changed()).await {
                        log::debug!("the view has ended: {closed}");
                    }
                }
            }
        }
    }

    /// After a server said that it does not hold the key: waits for a change, but not for long.
    async fn await_move(&self, entry: &Entry) {
        let mut changes = entry.view.changes();
        entry.view.want_holdings();
        let wait = Duration::from_millis(HOLD_PAUSE_MS.min(self.left_ms()));
        if let Ok(Err(closed)) = time::timeout(wait, changes.changed()).await {
            log::debug!("the view has ended: {closed}");
        }
    }

    async fn attempt(&self, server: &Arc<Server>, payload: &mut Payload) -> Attempt {
        let mut connection = match server.pool.take() {
            Some(connection) => connection,
            None => match server.pool.connect(self.left_ms()).await {
                Ok(connection) => connection,
                Err(reason) => return Attempt::NotSent(reason),
            },
        };
        let Some(request) = self.request(server, payload) else {
            return Attempt::NotSent("the request cannot be built".to_owned());
        };
        let slots = server.entry.slots;
        let found_free_slot = server.load() < slots;
        let in_flight = server.enter();
        let sent = Instant::now();
        let limit = Duration::from_millis(self.left_ms() + DEADLINE_SLACK_MS);
        let exchange = self.exchange(&mut connection, request);
        let (head, body) = match time::timeout(limit, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(attempt)) => return attempt,
            Err(_) => return Attempt::TimedOut,
        };
        drop(in_flight);
        let run_ms = sent.elapsed().as_secs_f64() * 1000.0;
        if head.status.is_server_error() {
            server.failed();
        } else {
            server.answered(run_ms, found_free_slot);
        }
        let body = match body {
            Received::Whole(body) => {
                server.pool.give_back(connection, &head.headers);
                Full::new(body).map_err(|never| match never {}).boxed()
            }
            Received::Begun(first, rest) => Streamed {
                first: Some(first),
                rest,
                connection: Some(connection),
            }
            .boxed(),
        };
        Attempt::Answered(build_answer(head, body))
    }

    /// Sends the request and reads the answer as far as it is held in memory.
    async fn exchange(
        &self,
        connection: &mut Connection,
        request: Request<AnswerBody>,
    ) -> Result<(response::Parts, Received), Attempt> {
        let unknown = |error: hyper::Error| Attempt::Unknown(error.to_string());
        let response = connection.send(request).await.map_err(unknown)?;
        let (head, body) = response.into_parts();
        let id = header_text(&head.headers, headers::REQUEST_ID.as_str()).unwrap_or_default();
        if id != self.request_id {
            return Err(Attempt::Unknown("the answer has another id".to_owned()));
        }
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
        let received = receive(body).await.map_err(unknown)?;
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
        let has_body = !matches!(*payload, Payload::Whole(ref bytes) if bytes.is_empty());
        if has_body || self.head.method == Method::GET {
            // The library writes the length that it sends.
            headers.remove(header::CONTENT_LENGTH);
        }
        headers.insert(headers::DEADLINE_MS, HeaderValue::from(self.left_ms()));
        let id = HeaderValue::from_str(&server.entry.id).ok()?;
        headers.insert(headers::EXPECTED_SERVER, id);
        Some(request)
    }

    fn log(&self, decision: &'static str, reason: String) {
        Event::Request {
            request_id: self.request_id.to_owned(),
            route: self.route.name.clone(),
            decision,
            reason,
            server: self.last.as_ref().map(|server| server.entry.id.clone()),
            load: self.last.as_ref().map_or(0, |server| server.load()),
            attempts: self.attempts,
            after_ms: clock::now_ms() - self.arrived_ms,
            left_ms: self.left_ms(),
            configuration: self.configuration.version,
        }
        .log();
    }
}

/// True for statuses that tell a caller that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn origin_form(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str();
    path.parse().ok()
}

fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

fn build_answer(mut head: response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    strip_hop_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, body)
}

fn plain(status: StatusCode, message: &str) -> Response<AnswerBody> {
    whole(
        status,
        "text/plain",
        Bytes::copy_from_slice(message.as_bytes()),
    )
}

/// Answer to a request that has not run, with the time to come back.
fn refusal(reason: &str) -> Response<AnswerBody> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, reason);
    let after = HeaderValue::from_static(RETRY_AFTER);
    response.headers_mut().insert(header::RETRY_AFTER, after);
    response
}

/// An answer's body as far as it was read.
enum Received {
    Whole(Bytes),
    Begun(Bytes, Incoming),
}

async fn receive(mut body: Incoming) -> hyper::Result<Received> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(Received::Whole(data));
        }
        buffer.extend_from_slice(&data);
        if buffer.len() > BUFFERED_BYTES_MAX {
            return Ok(Received::Begun(buffer.freeze(), body));
        }
    }
    Ok(Received::Whole(buffer.freeze()))
}

async fn read_payload(body: Incoming) -> hyper::Result<Payload> {
    if body.is_end_stream() {
        return Ok(Payload::Whole(Bytes::new()));
    }
    match receive(body).await? {
        Received::Whole(bytes) => Ok(Payload::Whole(bytes)),
        Received::Begun(first, rest) => Ok(Payload::Stream(Some((first, rest)))),
    }
}

impl Payload {
    fn can_repeat(&self) -> bool {
        !matches!(self, Self::Stream(None))
    }

    fn body(&mut self) -> Option<AnswerBody> {
        match self {
            Self::Whole(bytes) => {
                let body = Full::new(bytes.clone());
                Some(body.map_err(|never| match never {}).boxed())
            }
            Self::Stream(stream) => {
                let (first, rest) = stream.take()?;
                let streamed = Streamed {
                    first: Some(first),
                    rest,
                    connection: None,
                };
                Some(streamed.boxed())
            }
        }
    }
}

/// A body whose beginning is in memory and whose rest is passed on as it comes.
struct Streamed {
    first: Option<Bytes>,
    rest: Incoming,
    #[allow(dead_code, reason = "closed when the body is dropped")]
    connection: Option<Connection>,
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
