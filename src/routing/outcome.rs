//! Outcomes of requests that got no regular response from a server, and the responses that tell
//! callers about them.

use http::{HeaderValue, Response, StatusCode, header};
use rand::Rng;
use serde::Serialize;

use crate::{
    ownership::message::{OUTCOME_HEADER, REASON_HEADER, REQUEST_HEADER},
    transport::{self, ResponseBody},
};

/// Upper bound in seconds of the random time that is added to `Retry-After`, so that callers do not
/// all retry at the same time.
const RETRY_AFTER_JITTER_S: u64 = 2;

/// Outcome of a request that got no regular response. The outcome tells the caller whether a retry
/// is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request provably did not run, so a retry is safe.
    NotRun,
    /// The request may have run, so a retry may run the request a second time.
    Unknown,
}

/// Reason why a request got no regular response; the caller finds it in
/// [`crate::ownership::message::REASON_HEADER`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The workspace or service does not exist.
    NoSuchService,
    /// The request has no key in the path segment or header where the service expects the key.
    NoKey,
    /// The idempotency key is empty or is not text.
    BadIdempotencyKey,
    /// The request body exceeds the size limit that the host's settings give.
    BodyTooLarge,
    /// The request body could not be read completely from the caller.
    BodyBroken,
    /// Too many requests of the service are in flight in this host.
    Overloaded,
    /// The deadline passed before the request could be sent.
    Deadline,
    /// The host's view of the owners may be outdated, so the host must not route the request.
    NotFresh,
    /// The server has reached its limit of concurrent requests and rejected the request.
    Shed,
    /// The connection to the server could not be established.
    NoConnection,
    /// The connection to the server broke after the request was sent.
    Broken,
    /// The server was declared lost while the request may have been running.
    ServerLost,
    /// The deadline passed after the request was sent.
    NoAnswer,
    /// The claim of an unrepeatable request cannot be recorded because the store is unreachable.
    ClaimsUnavailable,
    /// An earlier unrepeatable request with the same idempotency key is pending, and the deadline
    /// of the earlier request has not passed.
    InProgress,
    /// An unrepeatable request with the same idempotency key was sent before, and its outcome is
    /// unknown.
    Unsettled,
    /// An earlier unrepeatable request with the same idempotency key was answered, but its response
    /// was too long to be stored.
    AnswerNotKept,
    /// The idempotency key was used for a different request.
    KeyReused,
}

impl Reason {
    fn status(self) -> StatusCode {
        match self {
            Self::NoSuchService => StatusCode::NOT_FOUND,
            Self::NoKey | Self::BadIdempotencyKey | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::InProgress => StatusCode::CONFLICT,
            Self::Broken | Self::ServerLost | Self::Unsettled | Self::AnswerNotKept => {
                StatusCode::BAD_GATEWAY
            }
            Self::NoAnswer => StatusCode::GATEWAY_TIMEOUT,
            Self::Overloaded
            | Self::Deadline
            | Self::NotFresh
            | Self::Shed
            | Self::NoConnection
            | Self::ClaimsUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the minimum time in seconds after which the caller should retry; `None` if the
    /// caller gets no `Retry-After` header for this reason.
    fn retry_after_s(self) -> Option<u64> {
        match self {
            Self::Overloaded | Self::Shed | Self::Deadline | Self::InProgress => Some(1),
            Self::NotFresh | Self::NoConnection | Self::NoAnswer => Some(2),
            Self::Broken | Self::ServerLost => Some(2),
            Self::ClaimsUnavailable => Some(3),
            _ => None,
        }
    }
}

/// Failure that a caller gets in place of a server's response: an outcome and its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Outcome of the request: the request provably did not run, or it may have run.
    pub outcome: Outcome,
    /// Cause of the failure, which also determines the status and `Retry-After` of the response.
    pub reason: Reason,
}

impl Failure {
    /// Returns the failure of a request that provably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// Returns the failure of a request that may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }

    /// Builds the response to the caller, with the outcome and the reason both in headers and in
    /// the JSON body.
    pub fn answer(self, request_id: &str) -> Response<ResponseBody> {
        let wait_s = self.reason.retry_after_s();
        let wait_s =
            wait_s.map(|wait_s| wait_s + rand::rng().random_range(0..=RETRY_AFTER_JITTER_S));
        let body = FailureBody {
            outcome: self.outcome,
            reason: self.reason,
            request_id,
            retry_after_s: wait_s,
        };
        let mut answer = transport::json(self.reason.status(), &body);
        let headers = answer.headers_mut();
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.name()),
        );
        if let Ok(reason) = HeaderValue::from_str(&self.reason.name()) {
            headers.insert(REASON_HEADER, reason);
        }
        if let Ok(id) = HeaderValue::from_str(request_id) {
            headers.insert(REQUEST_HEADER, id);
        }
        if let Some(wait_s) = wait_s {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(wait_s));
        }
        answer
    }
}

impl Outcome {
    /// Returns the name of the outcome, which callers get in the response header
    /// [`crate::ownership::message::OUTCOME_HEADER`].
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Reason {
    /// Returns the name of the reason, which callers get in the response header
    /// [`crate::ownership::message::REASON_HEADER`].
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            other => {
                log::error!("the name of a reason cannot be serialized: {other:?}");
                String::new()
            }
        }
    }
}

#[derive(Debug, Serialize)]
struct FailureBody<'a> {
    outcome: Outcome,
    reason: Reason,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}
