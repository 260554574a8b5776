//! Caller of the load generator: sends a request and classifies the response.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::time;

use super::{PlannedRequest, report::Sample};
use crate::{
    clock,
    ownership::message::{DEADLINE_HEADER, IDEMPOTENCY_HEADER, OUTCOME_HEADER},
    standin::backend::EchoResponse,
    transport::header_text,
};

/// Time in milliseconds for which the caller still waits for a response after the deadline of the
/// request has passed.
const RESPONSE_GRACE_MS: u64 = 1_000;

/// Outcome of a request as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response arrived and belongs to the requested path.
    Answered,
    /// The response stated that the request did not run, or no connection could be established.
    NotRun,
    /// The request may have run: the response said so, was incomplete or did not arrive.
    Unknown,
    /// The response was an error without a stated outcome, or belonged to another request.
    Wrong,
}

/// HTTP client with pooled connections. The caller sends all requests of a load run and classifies
/// the responses.
#[derive(Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    deadline_ms: u64,
}

impl Caller {
    /// Creates a caller whose requests carry a deadline of `deadline_ms` milliseconds.
    pub fn new(deadline_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            client,
            deadline_ms,
        }
    }

    pub(crate) async fn send(&self, planned: PlannedRequest) -> Sample {
        let give_up_after = Duration::from_millis(self.deadline_ms + RESPONSE_GRACE_MS);
        let exchange = time::timeout(give_up_after, self.exchange(&planned));
        let outcome = exchange.await.unwrap_or(RequestOutcome::Unknown);
        let ended_us = clock::unix_us();
        Sample {
            address: planned.address,
            service: planned.service,
            key: planned.key,
            idempotency_key: planned.idempotency_key,
            intended_us: planned.intended_us,
            latency_us: ended_us.saturating_sub(planned.intended_us),
            outcome,
        }
    }

    async fn exchange(&self, planned: &PlannedRequest) -> RequestOutcome {
        let Some(request) = self.request(planned, planned.address) else {
            return RequestOutcome::Unknown;
        };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return RequestOutcome::NotRun,
            Err(_) => return RequestOutcome::Unknown,
        };
        let (status, headers) = (response.status(), response.headers().clone());
        let Ok(body) = response.into_body().collect().await else {
            return RequestOutcome::Unknown;
        };
        classify(status, &headers, &body.to_bytes(), &planned.path)
    }

    fn request(
        &self,
        planned: &PlannedRequest,
        address: SocketAddr,
    ) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::builder()
            .method(planned.method.clone())
            .uri(format!("http://{address}{}", planned.path))
            .header(DEADLINE_HEADER, self.deadline_ms);
        if let Some(key) = &planned.idempotency_key {
            request = request.header(IDEMPOTENCY_HEADER, key);
        }
        request.body(Full::default()).ok()
    }
}

fn classify(status: StatusCode, headers: &HeaderMap, body: &[u8], path: &str) -> RequestOutcome {
    match header_text(headers, OUTCOME_HEADER) {
        Some("not-run") => return RequestOutcome::NotRun,
        Some(_) => return RequestOutcome::Unknown,
        None => {}
    }
    let response: Option<EchoResponse> = serde_json::from_slice(body).ok();
    let matches_request = response.is_some_and(|response| response.path == path);
    if status == StatusCode::OK && matches_request {
        return RequestOutcome::Answered;
    }
    RequestOutcome::Wrong
}
