//! Orders to backend servers: grants of keys and releases.

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use super::{
    error::{DecodeSnafu, Result, StatusSnafu},
    headers::{EXPECTED_SERVER, HANDOVER, SERVER_NAME},
    link::{BufferedResponse, Link},
    wire::{WireGrant, WireRelease},
};
use crate::entry::keys::KeyRange;

const GRANT_PATH: &str = "/grant";
const RELEASE_PATH: &str = "/release";

/// What a server said to a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// It holds the keys for the time asked for, counted from the order's arrival.
    Held,
    /// It has seen a higher fence on one of the keys.
    Superseded,
    /// Another incarnation has the address: the one that was meant has ended.
    OtherServer,
}

/// Keys to be held by one server.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// Name of the server that is meant.
    pub server: &'a str,
    /// Keys.
    pub range: KeyRange,
    /// Fence.
    pub fence: u64,
    /// Length of the lease.
    pub lease_ms: u64,
    /// Token of the last owner.
    pub handover: Option<&'a str>,
}

/// Keys to be given back by one server.
#[derive(Clone, Copy, Debug)]
pub struct Release<'a> {
    /// Name of the server that is meant.
    pub server: &'a str,
    /// Keys.
    pub range: KeyRange,
    /// Fence, above that of the grant.
    pub fence: u64,
}

/// What a server said to a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// All work on the keys has ended; the token warms the next owner.
    Ended {
        /// Token for the next owner.
        handover: Option<String>,
    },
    /// Another incarnation has the address: the one that was meant has ended.
    OtherServer,
}

/// Grants or renews keys.
pub async fn grant(link: &Link, grant: Grant<'_>, timeout_ms: u64) -> Result<GrantOutcome> {
    let body = WireGrant {
        from: grant.range.first,
        to: grant.range.last,
        fence: grant.fence,
        hold_time: format!("{}ms", grant.lease_ms),
        handover: grant.handover,
    };
    let answer = order(link, GRANT_PATH, grant.server, &body, timeout_ms).await?;
    match answer.status {
        StatusCode::OK => Ok(GrantOutcome::Held),
        StatusCode::CONFLICT => Ok(GrantOutcome::Superseded),
        StatusCode::MISDIRECTED_REQUEST => Ok(GrantOutcome::OtherServer),
        status => StatusSnafu {
            address: link.address(),
            status,
        }
        .fail(),
    }
}

/// Takes keys back; the answer comes when work on them has ended.
pub async fn release(link: &Link, release: Release<'_>, timeout_ms: u64) -> Result<ReleaseOutcome> {
    let body = WireRelease {
        from: release.range.first,
        to: release.range.last,
        fence: release.fence,
    };
    let answer = order(link, RELEASE_PATH, release.server, &body, timeout_ms).await?;
    match answer.status {
        StatusCode::OK => {
            let token = answer.headers.get(HANDOVER);
            let handover = token.and_then(|token| token.to_str().ok());
            Ok(ReleaseOutcome::Ended {
                handover: handover.map(str::to_owned),
            })
        }
        StatusCode::MISDIRECTED_REQUEST => Ok(ReleaseOutcome::OtherServer),
        status => StatusSnafu {
            address: link.address(),
            status,
        }
        .fail(),
    }
}

/// Asks a server for its health. The result is true if it is the one that is meant, however it feels:
/// a server that is too busy for the question answers as well.
pub async fn is_alive(
    link: &Link,
    health_path: &str,
    server: &str,
    timeout_ms: u64,
) -> Result<bool> {
    let address = link.address();
    let request = Request::builder()
        .uri(health_path)
        .header(header::HOST, address.to_string())
        .body(Full::default())
        .map_err(|error| {
            DecodeSnafu {
                address,
                message: error.to_string(),
            }
            .build()
        })?;
    let answer = link.call(request, timeout_ms).await?;
    let reported = answer.headers.get(SERVER_NAME);
    Ok(reported.is_none_or(|name| name.as_bytes() == server.as_bytes()))
}

async fn order<B: Serialize>(
    link: &Link,
    path: &str,
    server: &str,
    body: &B,
    timeout_ms: u64,
) -> Result<BufferedResponse> {
    let address = link.address();
    let unsent = |message: String| DecodeSnafu { address, message }.build();
    let body = serde_json::to_vec(body).map_err(|error| unsent(error.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(EXPECTED_SERVER, server)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| unsent(error.to_string()))?;
    link.call(request, timeout_ms).await
}
