//! Stand-in of a backend server: accepts fenced grants, drains, sheds load, honours deadlines and
//! cancellation, and records which slots it owned at which times and which requests it ran.

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header::CONTENT_LENGTH};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};

pub use super::backend_message::{
    EchoResponse, FAULTS_PATH, Faults, HEALTH_PATH, LOAD_PATH, LoadResponse, RECORD_PATH, Record,
    RunCount,
};
use super::{
    Running,
    grants::{ClockReading, Grants},
};
use crate::{
    clock,
    id::{Epoch, Incarnation, Slot},
    ownership::message::{
        DEADLINE_HEADER, EPOCH_HEADER, IDEMPOTENCY_HEADER, INCARNATION_HEADER, LEASE_PATH,
        LeaseRequest, LeaseResponse, OUTCOME_HEADER, REASON_HEADER, REQUEST_HEADER, REVOKE_PATH,
        RevokeRequest, RevokeResponse, SERVICE_HEADER, SLOT_HEADER,
    },
    transport::{self, BodyError, ResponseBody, header_number, header_text},
};

/// Maximum size in bytes of the body of a lease command, a revocation or a request that sets
/// faults.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Time in milliseconds for which requests in flight may continue when the stand-in is stopped.
const STOP_DRAIN_MS: u64 = 1_000;
/// Interval in milliseconds at which the handling of a revocation checks whether the requests for
/// the revoked slots have ended.
const DRAIN_POLL_MS: u64 = 1;
/// Pause in milliseconds between the first half of a truncated response and the close of its
/// connection.
const TRUNCATION_PAUSE_MS: u64 = 30;
/// Additional run time in milliseconds of a request while the server is cold, i.e. shortly after
/// the start of the server.
const COLD_EXTRA_MS: u64 = 20;

/// Behaviour of one stand-in server, fixed at its start; faults can be set later.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Maximum number of requests that run at the same time: the number of execution slots. An
    /// execution slot is unrelated to the slots of keys.
    pub slots: usize,
    /// Maximum number of requests that wait for an execution slot; further requests are rejected
    /// with the reason `shed`.
    pub queue: usize,
    /// Time in milliseconds for which a request occupies its execution slot.
    pub work_ms: u64,
    /// Time in milliseconds after the start for which the server is cold, so that each request
    /// takes 20 ms longer.
    pub cold_ms: u64,
    /// False for a server that runs requests without checking their epoch and incarnation.
    pub checks_orders: bool,
}

#[derive(Debug, Default)]
struct State {
    grants: Grants,
    in_flight: HashMap<(String, Slot), usize>,
    runs: HashMap<String, u64>,
    running: usize,
    running_max: usize,
    waiting: usize,
    faults: Faults,
    /// Time of the last load measurement, and the load that the load endpoint reports until the
    /// next measurement.
    last_load: (u64, LoadResponse),
}

#[derive(Clone, Debug)]
struct Backend {
    config: Arc<Config>,
    incarnation: Incarnation,
    started_ms: u64,
    inner: Arc<Mutex<State>>,
    permits: Arc<Semaphore>,
}

/// Starts a stand-in server in this process; fails if the address cannot be bound.
pub async fn start(config: Config) -> std::io::Result<Running> {
    let listen = config.listen;
    let backend = Backend {
        permits: Arc::new(Semaphore::new(config.slots)),
        config: Arc::new(config),
        incarnation: Incarnation::random(),
        started_ms: clock::now_ms(),
        inner: Arc::default(),
    };
    Running::start(listen, STOP_DRAIN_MS, move |request| {
        let backend = backend.clone();
        async move { backend.answer(request).await }
    })
    .await
}

fn read_clocks() -> ClockReading {
    ClockReading {
        clock_ms: clock::now_ms(),
        unix_us: clock::unix_us(),
    }
}

fn not_run(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut answer =
        transport::buffered(status, "text/plain", Bytes::from_static(reason.as_bytes()));
    let headers = answer.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static("not-run"));
    headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
    answer
}

/// Guard that counts a request for a slot as in flight until dropped.
struct InFlightGuard {
    backend: Backend,
    key: (String, Slot),
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut inner = self.backend.lock();
        let Some(count) = inner.in_flight.get_mut(&self.key) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            inner.in_flight.remove(&self.key);
        }
    }
}

/// Guard that counts a request as running until dropped.
struct RunningGuard(Backend);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

/// Guard that counts a request as waiting for an execution slot until dropped.
struct WaitingGuard(Backend);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

impl Backend {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_while_frozen(&self) {
        while self.lock().faults.frozen {
            time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            FAULTS_PATH => return self.set_faults(request).await,
            RECORD_PATH => return transport::json(StatusCode::OK, &self.record()),
            _ => self.wait_while_frozen().await,
        }
        match request.uri().path() {
            LEASE_PATH => self.lease(request).await,
            REVOKE_PATH => self.revoke(request).await,
            HEALTH_PATH => self.health(),
            LOAD_PATH => self.load(),
            _ => self.run(request).await,
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match transport::read_json::<Faults>(request, BODY_BYTES_MAX).await {
            Ok(faults) => {
                self.lock().faults = faults;
                transport::json(StatusCode::OK, &faults)
            }
            Err(answer) => answer,
        }
    }

    fn record(&self) -> Record {
        let inner = self.lock();
        let run = |(request, runs): (&String, &u64)| RunCount {
            request: request.clone(),
            runs: *runs,
        };
        Record {
            incarnation: self.incarnation,
            held: inner.grants.record(read_clocks()),
            runs: inner.runs.iter().map(run).collect(),
            running_max: inner.running_max,
        }
    }

    fn health(&self) -> Response<ResponseBody> {
        let faults = self.lock().faults;
        let healthy = !faults.draining;
        let status = if healthy != faults.health_lies {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        transport::buffered(status, "text/plain", Bytes::new())
    }

    fn load(&self) -> Response<ResponseBody> {
        let now_ms = clock::now_ms();
        let mut inner = self.lock();
        if now_ms >= inner.last_load.0 + inner.faults.load_lag_ms {
            let load = LoadResponse {
                running: inner.running,
                waiting: inner.waiting,
            };
            inner.last_load = (now_ms, load);
        }
        transport::json(StatusCode::OK, &inner.last_load.1)
    }

    /// Returns the additional run time of a request in milliseconds, which is 0 once the server is
    /// warm.
    fn cold_extra_ms(&self) -> u64 {
        let cold = clock::now_ms() < self.started_ms + self.config.cold_ms;
        if cold { COLD_EXTRA_MS } else { 0 }
    }

    async fn lease(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let order: LeaseRequest = match transport::read_json(request, BODY_BYTES_MAX).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let now = read_clocks();
        let mut inner = self.lock();
        let is_for_this_incarnation = order.incarnation == Some(self.incarnation);
        let accepted = is_for_this_incarnation && inner.grants.renew(&order, now);
        let answer = LeaseResponse {
            incarnation: self.incarnation,
            clock_ms: now.clock_ms,
            lease_epoch: inner.grants.lease_epoch(),
            accepted,
            draining: inner.faults.draining,
            grants_digest: inner.grants.digest(),
        };
        transport::json(StatusCode::OK, &answer)
    }

    async fn revoke(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let order: RevokeRequest = match transport::read_json(request, BODY_BYTES_MAX).await {
            Ok(order) => order,
            Err(answer) => return answer,
        };
        let is_for_this_incarnation = order.incarnation == self.incarnation;
        let released = is_for_this_incarnation && self.release(&order).await;
        let answer = RevokeResponse {
            incarnation: self.incarnation,
            released,
        };
        transport::json(StatusCode::OK, &answer)
    }

    /// Revokes slots and waits until the requests for them have ended. Returns false if requests
    /// are still in flight when the drain time of the command has passed.
    async fn release(&self, order: &RevokeRequest) -> bool {
        let now = read_clocks();
        for next in &order.slots {
            self.lock().grants.revoke(next, now);
        }
        let busy = || {
            let inner = self.lock();
            order.slots.iter().any(|next| {
                inner
                    .in_flight
                    .contains_key(&(next.service.clone(), next.slot))
            })
        };
        let deadline_ms = clock::now_ms() + order.drain_ms;
        while busy() {
            if clock::now_ms() >= deadline_ms {
                return false;
            }
            time::sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
        true
    }

    async fn run(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let headers = request.headers().clone();
        let path = request.uri().path().to_owned();
        let Ok(body) = request.into_body().collect().await else {
            return not_run(StatusCode::BAD_REQUEST, "broken-body");
        };
        self.wait_while_frozen().await;
        let in_flight = match self.admit(&headers) {
            Ok(in_flight) => in_flight,
            Err(reason) => return not_run(StatusCode::CONFLICT, reason),
        };
        let occupied = match self.acquire_slot(&headers).await {
            Ok(occupied) => occupied,
            Err(reason) => return not_run(StatusCode::SERVICE_UNAVAILABLE, reason),
        };
        let id = header_text(&headers, REQUEST_HEADER)
            .unwrap_or_default()
            .to_owned();
        let run = header_text(&headers, IDEMPOTENCY_HEADER)
            .unwrap_or(&id)
            .to_owned();
        // A request sent directly by a caller may have neither an identifier nor an idempotency
        // key.
        if !run.is_empty() {
            *self.lock().runs.entry(run).or_default() += 1;
        }
        let extra_ms = self.lock().faults.extra_ms + self.cold_extra_ms();
        time::sleep(Duration::from_millis(self.config.work_ms + extra_ms)).await;
        self.wait_while_frozen().await;
        drop(occupied);
        drop(in_flight);
        let answer = EchoResponse {
            request: id,
            path,
            incarnation: self.incarnation,
            body_bytes: body.to_bytes().len(),
        };
        if self.lock().faults.cut_answers {
            return truncated(&answer);
        }
        transport::json(StatusCode::OK, &answer)
    }

    /// Checks the epoch and the incarnation of a request and counts the request as in flight. The
    /// check and the count happen under the same lock, so that a revocation in between cannot miss
    /// the request. Returns `None` for a request without service or slot.
    fn admit(&self, headers: &HeaderMap) -> Result<Option<InFlightGuard>, &'static str> {
        let Some(service) = header_text(headers, SERVICE_HEADER) else {
            return Ok(None);
        };
        let Some(slot) = header_number(headers, SLOT_HEADER) else {
            return Ok(None);
        };
        let slot = Slot(slot as u32);
        let epoch = Epoch(header_number(headers, EPOCH_HEADER).unwrap_or_default());
        let incarnation = header_number(headers, INCARNATION_HEADER).map(Incarnation);
        let mut inner = self.lock();
        if self.config.checks_orders {
            if incarnation != Some(self.incarnation) {
                return Err("stale-incarnation");
            }
            if !inner.grants.admits(service, slot, epoch, clock::now_ms()) {
                return Err("stale-epoch");
            }
        }
        let key = (service.to_owned(), slot);
        *inner.in_flight.entry(key.clone()).or_default() += 1;
        Ok(Some(InFlightGuard {
            backend: self.clone(),
            key,
        }))
    }

    /// Waits for a free execution slot until the deadline of the request. Fails with the reason
    /// `shed` if too many requests wait already, and with the reason `deadline` at the deadline.
    async fn acquire_slot(&self, headers: &HeaderMap) -> Result<SlotGuard, &'static str> {
        let waiting = {
            let mut inner = self.lock();
            if inner.waiting >= self.config.queue + self.permits.available_permits() {
                return Err("shed");
            }
            inner.waiting += 1;
            WaitingGuard(self.clone())
        };
        let deadline_ms = header_number(headers, DEADLINE_HEADER).unwrap_or(60_000);
        let permit = self.permits.clone().acquire_owned();
        let permit = time::timeout(Duration::from_millis(deadline_ms), permit).await;
        drop(waiting);
        let Ok(Ok(permit)) = permit else {
            return Err("deadline");
        };
        let mut inner = self.lock();
        inner.running += 1;
        inner.running_max = inner.running_max.max(inner.running);
        Ok(SlotGuard {
            _occupied: RunningGuard(self.clone()),
            _permit: permit,
        })
    }
}

/// Guard of the execution slot of a running request; releases the execution slot when dropped.
struct SlotGuard {
    _occupied: RunningGuard,
    _permit: OwnedSemaphorePermit,
}

/// Body that ends after its first half and a short pause, before the announced length is reached.
struct TruncatedBody {
    half: Option<Bytes>,
    pause: Pin<Box<time::Sleep>>,
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(half) = self.half.take() {
            return Poll::Ready(Some(Ok(Frame::data(half))));
        }
        self.pause.as_mut().poll(context).map(|()| None)
    }
}

/// Builds a response that announces its full length but ends in the middle of the body.
fn truncated(answer: &EchoResponse) -> Response<ResponseBody> {
    let mut buffered = Bytes::from(serde_json::to_vec(answer).unwrap_or_default());
    let announced = HeaderValue::from(buffered.len());
    let half = buffered.split_to(buffered.len() / 2);
    let mut response = Response::new(
        TruncatedBody {
            half: Some(half),
            pause: Box::pin(time::sleep(Duration::from_millis(TRUNCATION_PAUSE_MS))),
        }
        .boxed(),
    );
    response.headers_mut().insert(CONTENT_LENGTH, announced);
    response
}
