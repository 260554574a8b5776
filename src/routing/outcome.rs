//! What callers are told when a request was not simply answered.

use http::{HeaderValue, Response, StatusCode, header};
use rand::Rng;
use serde::Serialize;

use crate::{
    ownership::message::{OUTCOME_HEADER, REASON_HEADER, REQUEST_HEADER},
    transport::{self, AnswerBody},
};

/// Longest extra time by which callers that come back are spread.
const RETRY_AFTER_JITTER_S: u64 = 2;

/// Outcome of a request that got no plain answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It provably did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Reason of an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No such workspace or service.
    NoSuchService,
    /// The request has no key where the service expects it.
    NoKey,
    /// The idempotency key is empty or not text.
    BadIdempotencyKey,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The caller broke the body off.
    BodyBroken,
    /// Too many requests wait already.
    Overloaded,
    /// The deadline passed before the request could be sent.
    Deadline,
    /// The host cannot vouch for its view of the owners.
    NotFresh,
    /// The server's slots are taken.
    Shed,
    /// The server cannot be connected to.
    NoConnection,
    /// The connection broke after the request was sent.
    Broken,
    /// The server was lost while the request may have been running.
    ServerLost,
    /// The deadline passed after the request was sent.
    NoAnswer,
    /// The record of unrepeatable requests cannot be reached.
    ClaimsUnavailable,
    /// The same unrepeatable request runs at the moment.
    InProgress,
    /// The same unrepeatable request was sent before, and its end is not known.
    Unsettled,
    /// The same unrepeatable request was answered, but the answer was too long to keep.
    AnswerNotKept,
    /// The idempotency key was used for another request.
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

    /// Least time after which the caller should come back; none if that makes no sense.
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

/// A request's end without a plain answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Outcome.
    pub outcome: Outcome,
    /// Reason.
    pub reason: Reason,
}

impl Failure {
    /// The request provably did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
        }
    }

    /// The request may have run.
    pub fn unknown(reason: Reason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
        }
    }

    /// The answer to the caller.
    pub fn answer(self, request_id: &str) -> Response<AnswerBody> {
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
    /// Name in headers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl Reason {
    /// Name in headers.
    pub fn name(self) -> String {
        match serde_json::to_value(self) {
            Ok(serde_json::Value::String(name)) => name,
            other => {
                log::error!("a reason has no name: {other:?}");
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
