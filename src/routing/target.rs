//! Sends one attempt of a request to one backend server: waits for a permit, connects and
//! classifies the outcome.

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

use super::outcome::Reason;
use crate::{
    clock,
    ownership::message::{OUTCOME_HEADER, REASON_HEADER},
    transport::{BodyError, ClientLimits, IncomingBody, PooledClient, ResponseBody, header_text},
};

/// Timeout for establishing a connection to a server.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which an idle connection to a server is closed.
const IDLE_CONNECTION_MS: u64 = 30_000;

/// Outcome of one attempt (one sending of a request to one server), by which the router decides
/// whether to make another attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The server sent a regular response, whatever its status.
    Answered(Response<ResponseBody>),
    /// The attempt provably did not run, because the server and this host disagree on the owner of
    /// the slot (their epochs of the slot or incarnations of the server differ), or because the
    /// server is draining.
    Stale,
    /// The attempt provably did not run, for the given reason.
    NotRun(Reason),
    /// The attempt may have run, so an unrepeatable request must not be sent again.
    Unknown(Reason),
}

/// Connections of one host to backend servers, and the permits that limit the number of requests in
/// flight from the host to each server.
#[derive(Debug)]
pub struct BackendConnections {
    client: PooledClient,
    permits: Mutex<HashMap<SocketAddr, Arc<Semaphore>>>,
}

/// Right to send one request to a server, which is released when the permit is dropped.
pub type Permit = OwnedSemaphorePermit;

impl BackendConnections {
    /// Creates a client that keeps at most `idle_connections` idle connections to each server.
    pub fn new(idle_connections: usize) -> Self {
        let limits = ClientLimits {
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            idle_timeout_ms: IDLE_CONNECTION_MS,
            idle_connections,
        };
        Self {
            client: PooledClient::new(limits),
            permits: Mutex::default(),
        }
    }

    /// Waits until `deadline_ms` for one of the `permits` of the server at `address`; `None` if no
    /// permit became free. The first call for an address sets the number of permits of that server,
    /// and later calls ignore `permits`.
    pub async fn permit(
        &self,
        address: SocketAddr,
        permits: usize,
        deadline_ms: u64,
    ) -> Option<Permit> {
        let semaphore = {
            let mut held = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
            let semaphore = held
                .entry(address)
                .or_insert_with(|| Arc::new(Semaphore::new(permits)));
            semaphore.clone()
        };
        if let Ok(permit) = semaphore.clone().try_acquire_owned() {
            return Some(permit);
        }
        let left_ms = deadline_ms.saturating_sub(clock::now_ms());
        let acquired = time::timeout(Duration::from_millis(left_ms), semaphore.acquire_owned());
        acquired.await.ok()?.ok()
    }

    /// Sends one attempt, whose URI has no authority, and waits until `deadline_ms` for the head of its
    /// response. An answered attempt holds the permit until the body of the response is dropped.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        permit: Permit,
        deadline_ms: u64,
    ) -> AttemptOutcome {
        let left_ms = deadline_ms.saturating_sub(clock::now_ms());
        let response = self.client.request(address, request);
        match time::timeout(Duration::from_millis(left_ms), response).await {
            // The timeout drops the pending request, which closes its connection and thereby
            // cancels the request at the server.
            Err(_) => AttemptOutcome::Unknown(Reason::NoAnswer),
            Ok(Err(error)) if error.never_sent() => AttemptOutcome::NotRun(Reason::NoConnection),
            Ok(Err(_)) => AttemptOutcome::Unknown(Reason::Broken),
            Ok(Ok(response)) => classify(response, permit),
        }
    }
}

/// Determines the outcome of an attempt from its response: a server that did not run the request
/// says so in the outcome header and gives the reason in the reason header.
fn classify(response: Response<IncomingBody>, permit: Permit) -> AttemptOutcome {
    let headers = response.headers();
    if header_text(headers, OUTCOME_HEADER) != Some("not-run") {
        let held = |body| BodyWithPermit { body, permit }.boxed();
        return AttemptOutcome::Answered(response.map(held));
    }
    match header_text(headers, REASON_HEADER) {
        Some("stale-epoch" | "stale-incarnation" | "draining") => AttemptOutcome::Stale,
        Some("deadline") => AttemptOutcome::NotRun(Reason::Deadline),
        _ => AttemptOutcome::NotRun(Reason::Shed),
    }
}

/// Body of a response, which holds the permit of its attempt until the body is dropped.
struct BodyWithPermit {
    body: IncomingBody,
    #[allow(dead_code, reason = "held until the body is dropped")]
    permit: Permit,
}

impl Body for BodyWithPermit {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
