//! Headers of the platform's protocol: their names, and the parsing of those that servers send.

use http::{HeaderMap, HeaderName, StatusCode, header};

use crate::entry::model::{Notice, ReportedLimit, ReportedLoad};

/// Identifier that a caller gives to one attempt of a request; the response repeats it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Time in milliseconds, counted from the sending of the request, after which the caller no longer
/// waits for a response.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Name of the only server that may run the request. Any other server process at the address
/// refuses the request.
pub const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expect-instance");
/// Name of the server that sent the response.
pub const SERVER_NAME: HeaderName = HeaderName::from_static("instance-id");
/// Header by which a server states that it did not run the request, so that a retry is safe.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// Key of a request to a sharded service: a number from 0 to 65535.
pub const KEY: HeaderName = HeaderName::from_static("shard-key");
/// Signature that a server computes over its response.
pub const SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Load of the responding server: running requests, queued requests, slots and, where servers share
/// machines, the current slowdown (the factor by which the server runs slower than usual) in
/// percent.
const LOAD: HeaderName = HeaderName::from_static("server-load");
/// Header that a leaving server sets in every response; `0` means that the server is not leaving.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Rate limit, in requests per second from all hosts together, that an overloaded server asks for.
/// The header is absent while the server needs no limit.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Name of the workspace that the caller's API key belongs to.
pub const WORKSPACE: HeaderName = HeaderName::from_static("tenant");
/// Scheme of the `Authorization` header that carries a caller's API key.
pub const API_KEY_SCHEME: &str = "Token";
/// Token that a server returns when it releases keys. The next owner of the keys gets the token
/// with its grant and uses the token to start warm.
pub const HANDOVER: HeaderName = HeaderName::from_static("handover");

/// Fields of which a response has at most one. With several values it is uncertain to which request the
/// response belongs, or what the server has signed.
const SINGLE_FIELDS: [HeaderName; 2] = [REQUEST_ID, SIGNATURE];

/// Returns a field that the response repeats although it has at most one; `None` if there is none.
pub fn repeated_field(headers: &HeaderMap) -> Option<HeaderName> {
    let mut fields = SINGLE_FIELDS.into_iter();
    fields.find(|name| headers.get_all(name).iter().nth(1).is_some())
}

/// Returns the caller's API key; `None` if the header is missing or malformed.
pub fn api_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(API_KEY_SCHEME) && !key.is_empty()).then_some(key)
}

/// Parses the load that a server reports in a response; `None` if the header is missing or
/// malformed.
pub fn reported_load(headers: &HeaderMap) -> Option<ReportedLoad> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
    let running = figures.next()?.ok()?;
    let waiting = figures.next()?.ok()?;
    let _slots = figures.next()?.ok()?;
    let slowdown_percent = figures.next().unwrap_or(Ok(100)).ok()?;
    Some(ReportedLoad {
        running,
        waiting,
        slowdown: f64::from(slowdown_percent) / 100.0,
    })
}

/// Returns true if the response states that the server did not run the request, either by the
/// header `not-run` or by status 421.
pub fn says_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST
}

/// Parses the notice in a server's response: whether the server is leaving, and the backoff (a
/// period without requests from this host) that the server asks for.
pub fn notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    Notice {
        leaves: headers.get(LEAVING).is_some_and(|value| value != "0"),
        backoff_ms: backoff_ms(status, headers),
    }
}

/// Parses the rate limit that a server reports in a response. If the header is missing and the
/// response certainly comes from the server, the server has no limit. A response certainly comes
/// from the server if the response is signed or states that the request was not run. If the header
/// is missing in any other response, the limit is unknown.
pub fn reported_limit(status: StatusCode, headers: &HeaderMap) -> ReportedLimit {
    let Some(value) = headers.get(LIMIT) else {
        let is_from_server = headers.contains_key(SIGNATURE) || says_not_run(status, headers);
        return if is_from_server {
            ReportedLimit::Unlimited
        } else {
            ReportedLimit::Unknown
        };
    };
    let figure = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    match figure {
        Some(per_s) if per_s.is_finite() && per_s >= 0.0 => ReportedLimit::PerS(per_s),
        _ => ReportedLimit::Unknown,
    }
}

/// Parses the backoff (a period without requests from this host) that a server asks for when it
/// rejects a request with 503 or 429, from `Retry-After` in seconds with fractions. HTTP also
/// allows a date there, but the platform's servers never send one.
fn backoff_ms(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let rejected = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !rejected.contains(&status) {
        return None;
    }
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then_some((seconds * 1000.0).ceil() as u64)
}
