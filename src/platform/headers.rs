//! Header names of the platform's protocol.

use http::{HeaderMap, HeaderName, StatusCode, header};

use crate::entry::model::{Notice, ToldLimit, ToldLoad};

/// Identifier of one attempt of a caller; returned in the answer.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");
/// Milliseconds that the caller still waits.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Name of the only server that may run the request.
pub const EXPECTED_SERVER: HeaderName = HeaderName::from_static("expect-instance");
/// Name of the server that answers.
pub const SERVER_NAME: HeaderName = HeaderName::from_static("instance-id");
/// Present if the server did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("not-run");
/// Key of a request to a service divided by key: a number from 0 to 65535.
pub const KEY: HeaderName = HeaderName::from_static("shard-key");
/// Signature of the server over its answer.
pub const SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Load of the server that answers: requests running, requests waiting, slots and, where servers share
/// machines, the present pace in hundredths.
const LOAD: HeaderName = HeaderName::from_static("server-load");
/// Present in every answer of a server that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests a second that a server in need takes from all hosts together; absent once it needs no limit.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Name of the workspace that the caller's key belongs to.
pub const WORKSPACE: HeaderName = HeaderName::from_static("tenant");
/// Scheme of the header that carries a caller's key.
pub const API_KEY_SCHEME: &str = "Token";
/// Token by which a server's next owner of keys starts warm.
pub const HANDOVER: HeaderName = HeaderName::from_static("handover");

/// API key of a caller; `None` if it sends none that can be read.
pub fn api_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(API_KEY_SCHEME) && !key.is_empty()).then_some(key)
}

/// What an answer tells of its server's load; `None` if it tells nothing that can be read.
pub fn reported_load(headers: &HeaderMap) -> Option<ToldLoad> {
    let text = headers.get(LOAD)?.to_str().ok()?;
    let mut figures = text.split(',').map(|figure| figure.trim().parse::<u32>());
    let running = figures.next()?.ok()?;
    let waiting = figures.next()?.ok()?;
    let _slots = figures.next()?.ok()?;
    let pace_percent = figures.next().unwrap_or(Ok(100)).ok()?;
    Some(ToldLoad {
        running,
        waiting,
        pace: f64::from(pace_percent) / 100.0,
    })
}

/// True if an answer says that its server did not run the request.
pub fn says_not_run(status: StatusCode, headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_RUN) || status == StatusCode::MISDIRECTED_REQUEST
}

/// What an answer says of its server's wish for further requests of this host.
pub fn notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    Notice {
        leaves: headers.get(LEAVING).is_some_and(|value| value != "0"),
        rest_ms: rest_ms(status, headers),
    }
}

/// What an answer says of the rate that its server takes from all hosts together. Only an answer that is surely its
/// server's shows by a missing header that there is no limit.
pub fn reported_limit(status: StatusCode, headers: &HeaderMap) -> ToldLimit {
    let Some(value) = headers.get(LIMIT) else {
        let is_of_server = headers.contains_key(SIGNATURE) || says_not_run(status, headers);
        return if is_of_server {
            ToldLimit::Unlimited
        } else {
            ToldLimit::Unknown
        };
    };
    let figure = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse::<f64>().ok());
    match figure {
        Some(per_s) if per_s.is_finite() && per_s >= 0.0 => ToldLimit::PerS(per_s),
        _ => ToldLimit::Unknown,
    }
}

/// Rest that a server asks for as it turns a request away: seconds, fractions included. A date, which HTTP
/// allows here, is none that the platform's servers send.
fn rest_ms(status: StatusCode, headers: &HeaderMap) -> Option<u64> {
    let turned_away = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !turned_away.contains(&status) {
        return None;
    }
    let text = headers.get(header::RETRY_AFTER)?.to_str().ok()?;
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then_some((seconds * 1000.0).ceil() as u64)
}
