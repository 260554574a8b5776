//! Routes one caller's request: finds the service, the key, the slot of the key and the owner of
//! the slot, makes attempts to send the request to the owner, and turns the outcome into a
//! response.

use std::{sync::Arc, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time;

use super::{
    key::{self, CallerPath},
    outcome::{Failure, Outcome, Reason},
    target::AttemptOutcome,
    traffic::ServiceTraffic,
};
use crate::{
    claims::{Claim, ClaimResult, Fingerprint, STORED_BODY_BYTES_MAX, StoredResponse, request_id},
    clock,
    host::Host,
    id::{Epoch, Incarnation, LeaseEpoch, ServerKey, ServiceKey, Slot},
    ownership::message::{
        DEADLINE_HEADER, EPOCH_HEADER, IDEMPOTENCY_HEADER, INCARNATION_HEADER, REQUEST_HEADER,
        SERVICE_HEADER, SLOT_HEADER,
    },
    state::{ServerState, State},
    transport::{self, ResponseBody},
};

/// Path at which the load balancer checks whether it should send requests to this host.
pub const READY_PATH: &str = "/_ashroad/ready";
/// Path at which the platform checks whether the router process is alive.
pub const ALIVE_PATH: &str = "/_ashroad/alive";
/// Maximum deadline that a caller may request, in milliseconds from the arrival of the request.
const DEADLINE_MS_MAX: u64 = 300_000;
/// Delay in milliseconds before the owner of a slot is looked up again, after a server refused an
/// attempt because the server and this host disagree on the owner, or because the server is
/// draining.
const STALE_OWNER_DELAY_MS: u64 = 3;
/// Delay in milliseconds before a retry that counts against the retry budget, and between two
/// checks whether this host's view is up to date again.
const RETRY_DELAY_MS: u64 = 10;
/// Delay in milliseconds before a new attempt after a connection to the server could not be
/// established.
const RECONNECT_DELAY_MS: u64 = 25;

/// Request headers that are not forwarded, because they apply to the connection of the caller only
/// or because ashroad sets them itself.
const DROPPED_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::HOST,
    header::UPGRADE,
    header::TE,
    header::EXPECT,
];

/// Caller's request, with all data that is needed to make attempts to send it to a server.
struct RoutedRequest {
    request_id: String,
    service: ServiceKey,
    service_name: String,
    slot: Slot,
    method: Method,
    path_and_query: String,
    headers: HeaderMap,
    body: Bytes,
    deadline_ms: u64,
    unrepeatable: bool,
    traffic: Arc<ServiceTraffic>,
}

/// Server that owned a slot when the owner was looked up; the slot may move to another server
/// afterwards.
#[derive(Clone, Copy, Debug)]
struct Owner {
    server: ServerKey,
    lease_epoch: LeaseEpoch,
    address: std::net::SocketAddr,
    incarnation: Incarnation,
    epoch: Epoch,
    permits: usize,
}

/// Handles one caller's request and returns the response.
pub async fn answer(host: Arc<Host>, request: Request<Incoming>) -> Response<ResponseBody> {
    match request.uri().path() {
        READY_PATH => return readiness(host.ready()),
        ALIVE_PATH => return readiness(true),
        _ => {}
    }
    let request_id = request_id();
    match route(&host, request, &request_id).await {
        Ok(answer) => {
            host.metrics.count("answered");
            answer
        }
        Err(failure) => {
            count_failure(&host, failure);
            log::debug!(request = request_id.as_str(); "{failure:?}");
            failure.answer(&request_id)
        }
    }
}

fn readiness(ready: bool) -> Response<ResponseBody> {
    let status = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    transport::buffered(status, "text/plain", Bytes::new())
}

/// Counts a failed request in the metric of its outcome.
fn count_failure(host: &Host, failure: Failure) {
    match failure.outcome {
        Outcome::NotRun => host.metrics.count("not_run"),
        Outcome::Unknown => host.metrics.count("unknown"),
    }
}

async fn route(
    host: &Arc<Host>,
    request: Request<Incoming>,
    request_id: &str,
) -> Result<Response<ResponseBody>, Failure> {
    let path = request.uri().path();
    let no_service = Failure::not_run(Reason::NoSuchService);
    let caller_path = key::split(path).ok_or(no_service)?;
    let state = host.view.state();
    let service = state.service_key(caller_path.service).ok_or(no_service)?;
    let entry = state.service(service).filter(|entry| entry.active);
    let entry = entry.ok_or(no_service)?;
    let spec = &entry.spec;
    let traffic = host.traffic.of(service, entry.slots.len());
    let overloaded = Failure::not_run(Reason::Overloaded);
    let guard = traffic.admission.admit(spec.queue_requests);
    let _guard = guard.ok_or(overloaded)?;
    let routed = prepare(
        host,
        &state,
        service,
        caller_path,
        &request,
        request_id,
        traffic,
    )?;
    let body = read_body(request, host.settings.callers.body_bytes).await?;
    let routed = RoutedRequest { body, ..routed };
    routed.traffic.count(routed.slot);
    routed.traffic.retries.request();
    if !routed.headers.contains_key(IDEMPOTENCY_HEADER) {
        return run(host, &routed).await;
    }
    match transport::header_text(&routed.headers, IDEMPOTENCY_HEADER) {
        None | Some("") => Err(Failure::not_run(Reason::BadIdempotencyKey)),
        Some(key) => run_once(host, &routed, key).await,
    }
}

/// Extracts key, slot and deadline of a request. The body is left empty, because the caller of this
/// function reads it afterwards.
fn prepare(
    host: &Arc<Host>,
    state: &State,
    service: ServiceKey,
    caller_path: CallerPath<'_>,
    request: &Request<Incoming>,
    request_id: &str,
    traffic: Arc<ServiceTraffic>,
) -> Result<RoutedRequest, Failure> {
    let no_service = Failure::not_run(Reason::NoSuchService);
    let spec = &state.service(service).ok_or(no_service)?.spec;
    let headers = request.headers();
    let key = key::key(&spec.key, caller_path.rest, headers);
    let key = key.ok_or(Failure::not_run(Reason::NoKey))?;
    let requested_ms = transport::header_number(headers, DEADLINE_HEADER);
    let deadline_ms = requested_ms
        .unwrap_or(spec.deadline_ms)
        .min(DEADLINE_MS_MAX);
    let path_and_query = request.uri().path_and_query();
    let idempotent_key = headers.contains_key(IDEMPOTENCY_HEADER);
    let marked = key::unrepeatable(spec, request.method(), caller_path.rest);
    host.metrics.count("requests");
    Ok(RoutedRequest {
        request_id: request_id.to_owned(),
        service,
        service_name: spec.name.clone(),
        slot: key::slot(key, spec.slots),
        method: request.method().clone(),
        path_and_query: path_and_query.map_or("/", |p| p.as_str()).to_owned(),
        headers: headers.clone(),
        body: Bytes::new(),
        deadline_ms: clock::now_ms() + deadline_ms,
        unrepeatable: marked || idempotent_key,
        traffic,
    })
}

/// Reads the whole body of a request, which must not exceed `body_bytes`.
async fn read_body(request: Request<Incoming>, body_bytes: usize) -> Result<Bytes, Failure> {
    let body = Limited::new(request.into_body(), body_bytes)
        .collect()
        .await;
    let body = body.map_err(|error| {
        let too_long = error.downcast_ref::<LengthLimitError>().is_some();
        Failure::not_run(if too_long {
            Reason::BodyTooLarge
        } else {
            Reason::BodyBroken
        })
    })?;
    Ok(body.to_bytes())
}

/// Runs an unrepeatable request at most once, under a claim (the stored right to run it).
async fn run_once(
    host: &Arc<Host>,
    routed: &RoutedRequest,
    idempotency_key: &str,
) -> Result<Response<ResponseBody>, Failure> {
    let path = &routed.path_and_query;
    let fingerprint = Fingerprint::of(routed.method.as_str(), path, &routed.body);
    let claimed = host
        .claims
        .claim(
            &routed.service_name,
            idempotency_key,
            fingerprint,
            routed.deadline_ms,
        )
        .await;
    let claim = match claimed {
        ClaimResult::Granted(claim) => claim,
        ClaimResult::Answered(answer) => return stored_response(&answer),
        ClaimResult::Unavailable => return Err(Failure::not_run(Reason::ClaimsUnavailable)),
        ClaimResult::Refused(Reason::KeyReused) => return Err(Failure::not_run(Reason::KeyReused)),
        ClaimResult::Refused(reason) => return Err(Failure::unknown(reason)),
    };
    // The guard ends the claim even if the caller disconnects, which cancels this function.
    let claim_guard = ClaimGuard::new(host.clone(), claim);
    match run(host, routed).await {
        Ok(answer) => claim_guard.answered(answer).await,
        Err(failure) => {
            claim_guard.failed(failure.outcome);
            Err(failure)
        }
    }
}

/// Guard of the claim of a running request. If the guard is dropped before the claim has been
/// ended, the guard ends the claim with an unknown outcome.
struct ClaimGuard {
    host: Arc<Host>,
    claim: Option<Claim>,
}

impl ClaimGuard {
    fn new(host: Arc<Host>, claim: Claim) -> Self {
        Self {
            host,
            claim: Some(claim),
        }
    }

    fn failed(mut self, outcome: Outcome) {
        let Some(claim) = self.claim.take() else {
            return;
        };
        match outcome {
            Outcome::NotRun => self.host.claims.released(claim),
            Outcome::Unknown => self.host.claims.unknown(claim),
        }
    }

    /// Reads the whole response, stores it with the claim and returns it for the caller. If the
    /// response breaks off early, the outcome of the request is unknown.
    async fn answered(
        mut self,
        answer: Response<ResponseBody>,
    ) -> Result<Response<ResponseBody>, Failure> {
        let (parts, body) = answer.into_parts();
        let Ok(body) = body.collect().await else {
            return Err(Failure::unknown(Reason::Broken));
        };
        let body = body.to_bytes();
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let stored = (body.len() <= STORED_BODY_BYTES_MAX).then(|| StoredResponse {
            status: parts.status.as_u16(),
            content_type: content_type.map(str::to_owned),
            body_base64: STANDARD.encode(&body),
        });
        if let Some(claim) = self.claim.take() {
            self.host.claims.answered(claim, stored);
        }
        let body = Full::new(body).map_err(|never| match never {}).boxed();
        Ok(Response::from_parts(parts, body))
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.host.claims.unknown(claim);
        }
    }
}

/// Rebuilds the response that was stored with a claim, for a duplicate of the request.
fn stored_response(answer: &StoredResponse) -> Result<Response<ResponseBody>, Failure> {
    let unsettled = Failure::unknown(Reason::Unsettled);
    let body = STANDARD.decode(&answer.body_base64);
    let body = body.map_err(|_| unsettled)?;
    let status = StatusCode::from_u16(answer.status).map_err(|_| unsettled)?;
    let mut response = transport::buffered(status, "application/octet-stream", body.into());
    let content_type = answer.content_type.as_deref();
    if let Some(Ok(value)) = content_type.map(HeaderValue::from_str) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    Ok(response)
}

/// Makes attempts until a server answers one of them, the deadline passes or no further attempt is
/// allowed.
async fn run(host: &Arc<Host>, routed: &RoutedRequest) -> Result<Response<ResponseBody>, Failure> {
    loop {
        let owner = owner(host, routed).await?;
        let deadline = Failure::not_run(Reason::Deadline);
        let permit = host
            .backend_connections
            .permit(owner.address, owner.permits, routed.deadline_ms)
            .await;
        let permit = permit.ok_or(deadline)?;
        // The wait for the permit may have been long, so the owner is checked again before sending.
        if !is_still_owner(host, routed, owner) {
            continue;
        }
        let request = attempt(routed, owner);
        let sent =
            host.backend_connections
                .send(owner.address, request, permit, routed.deadline_ms);
        let attempt = tokio::select! {
            attempt = sent => attempt,
            () = owner_lost(host, owner) => AttemptOutcome::Unknown(Reason::ServerLost),
        };
        match attempt {
            AttemptOutcome::Answered(answer) => return Ok(answer),
            AttemptOutcome::Unknown(reason) => {
                if routed.unrepeatable || !idempotent(&routed.method) {
                    return Err(Failure::unknown(reason));
                }
                // The slot moves to another owner, which has not seen this request, so a further
                // attempt does not count against the retry budget.
                if reason == Reason::ServerLost {
                    continue;
                }
                if clock::now_ms() >= routed.deadline_ms || !routed.traffic.retries.retry() {
                    return Err(Failure::unknown(reason));
                }
                time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
            AttemptOutcome::Stale => pause(routed, STALE_OWNER_DELAY_MS).await?,
            // Nothing was sent, so a further attempt is safe. If the server is lost, other servers
            // own its slots within seconds.
            AttemptOutcome::NotRun(Reason::NoConnection) => {
                pause(routed, RECONNECT_DELAY_MS).await?
            }
            AttemptOutcome::NotRun(reason) => {
                if !routed.traffic.retries.retry() {
                    return Err(Failure::not_run(reason));
                }
                pause(routed, RETRY_DELAY_MS).await?;
            }
        }
    }
}

/// Returns true if HTTP defines the method as idempotent, so that a request that may have run can
/// be sent again. TRACE requests are not sent again, although HTTP defines them as idempotent.
fn idempotent(method: &Method) -> bool {
    matches!(
        *method,
        Method::GET | Method::HEAD | Method::PUT | Method::DELETE | Method::OPTIONS
    )
}

/// Sleeps for `delay_ms`, or fails at once if the deadline of the request would pass meanwhile.
async fn pause(routed: &RoutedRequest, delay_ms: u64) -> Result<(), Failure> {
    if clock::now_ms() + delay_ms >= routed.deadline_ms {
        return Err(Failure::not_run(Reason::Deadline));
    }
    time::sleep(Duration::from_millis(delay_ms)).await;
    Ok(())
}

/// Waits up to the deadline until the slot has an owner and the staleness of this host's view is
/// within the maximum.
async fn owner(host: &Arc<Host>, routed: &RoutedRequest) -> Result<Owner, Failure> {
    if host.view.is_up_to_date()
        && let Some(owner) = find_owner(&host.view.peek(), routed)
    {
        return Ok(owner);
    }
    // The subscription starts before the next lookup, so that a change of the state between the
    // lookup and the wait is not missed.
    let mut changes = host.view.watch();
    loop {
        let is_up_to_date = host.view.is_up_to_date();
        if is_up_to_date && let Some(owner) = find_owner(&host.view.peek(), routed) {
            return Ok(owner);
        }
        let left_ms = routed.deadline_ms.saturating_sub(clock::now_ms());
        if left_ms == 0 {
            let reason = if is_up_to_date {
                Reason::Deadline
            } else {
                Reason::NotFresh
            };
            return Err(Failure::not_run(reason));
        }
        // The view becomes up to date without a change of the state, so the loop polls for it.
        let wait_ms = if is_up_to_date {
            left_ms
        } else {
            left_ms.min(RETRY_DELAY_MS)
        };
        let wait = time::timeout(Duration::from_millis(wait_ms), changes.changed());
        if let Ok(Err(closed)) = wait.await {
            log::debug!("the channel of state changes is closed: {closed}");
        }
    }
}

/// Waits until the owner's lease epoch has ended, so that an attempt in flight can be abandoned.
async fn owner_lost(host: &Host, owner: Owner) {
    let mut changes = host.view.watch();
    loop {
        let is_current = host.view.peek().server(owner.server).map(|server| {
            let live = server.state == ServerState::Live;
            live && server.lease_epoch == owner.lease_epoch
        });
        if is_current != Some(true) || changes.changed().await.is_err() {
            return;
        }
    }
}

/// Looks up the live server that owns the slot of a request; `None` if the slot is moving or has no
/// owner, or if the owner is not live.
fn find_owner(state: &State, routed: &RoutedRequest) -> Option<Owner> {
    let service = state.service(routed.service)?;
    let slot = service.slots.get(routed.slot.0 as usize)?;
    let key = slot.stable_owner()?;
    let server = state.server(key)?;
    if server.state != ServerState::Live {
        return None;
    }
    Some(Owner {
        server: key,
        lease_epoch: server.lease_epoch,
        address: server.address,
        incarnation: server.incarnation,
        epoch: slot.epoch,
        permits: service.spec.server_slots as usize,
    })
}

/// Returns true if the owner still has the slot at the same epoch with the same process, and this
/// host's view is up to date.
fn is_still_owner(host: &Host, routed: &RoutedRequest, owner: Owner) -> bool {
    let found = find_owner(&host.view.peek(), routed);
    let same = found.is_some_and(|f| f.epoch == owner.epoch && f.incarnation == owner.incarnation);
    same && host.view.is_up_to_date()
}

/// Builds the HTTP request that one attempt sends to the owner, with the headers that let the
/// server check the epoch of the slot and its own incarnation.
fn attempt(routed: &RoutedRequest, owner: Owner) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(routed.body.clone()));
    *request.method_mut() = routed.method.clone();
    if let Ok(uri) = routed.path_and_query.parse() {
        *request.uri_mut() = uri;
    }
    let headers = request.headers_mut();
    *headers = routed.headers.clone();
    for name in &DROPPED_HEADERS {
        headers.remove(name);
    }
    let left_ms = routed.deadline_ms.saturating_sub(clock::now_ms());
    let numbers = [
        (SLOT_HEADER, u64::from(routed.slot.0)),
        (EPOCH_HEADER, owner.epoch.0),
        (INCARNATION_HEADER, owner.incarnation.0),
        (DEADLINE_HEADER, left_ms),
    ];
    for (name, value) in numbers {
        headers.insert(name, HeaderValue::from(value));
    }
    let texts = [
        (SERVICE_HEADER, &routed.service_name),
        (REQUEST_HEADER, &routed.request_id),
    ];
    for (name, value) in texts {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(name, value);
        }
    }
    request
}
