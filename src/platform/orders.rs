//! Orders to backend servers. An order is a request by which an entry host makes a server hold keys
//! (grant) or give them up (release); health checks are sent here as well.

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

/// Response of a server to a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The server holds the keys for the requested time, counted from the arrival of the order.
    Held,
    /// The server has seen a higher fence for one of the keys.
    Superseded,
    /// Another server has the address now: the process of the intended one has ended.
    OtherServer,
}

/// Order that makes one server hold a range of keys.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// Name of the server that the order is for; another process at the address refuses it.
    pub server: &'a str,
    /// Range of keys, both ends included.
    pub range: KeyRange,
    /// Fencing token of the grant; the server refuses it after a higher one.
    pub fence: u64,
    /// Length of the lease; the server stops serving the keys when it ends.
    pub lease_ms: u64,
    /// Token of the previous owner, by which the server starts warm; `None` if there is none.
    pub handover: Option<&'a str>,
}

/// Order that makes one server release a range of keys.
#[derive(Clone, Copy, Debug)]
pub struct Release<'a> {
    /// Name of the server that the order is for; another process at the address refuses it.
    pub server: &'a str,
    /// Range of keys, both ends included.
    pub range: KeyRange,
    /// Fencing token of the release; it is higher than that of the grant, so that the server
    /// refuses a delayed renewal of the grant.
    pub fence: u64,
}

/// Response of a server to a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// All requests for the keys have ended on the server.
    Ended {
        /// Token by which the next owner starts warm; `None` if the server sent none.
        handover: Option<String>,
    },
    /// Another server has the address now: the process of the intended one has ended.
    OtherServer,
}

/// Grants keys to a server, or renews its lease on them.
pub async fn grant(link: &Link, grant: Grant<'_>, timeout_ms: u64) -> Result<GrantOutcome> {
    let body = WireGrant {
        from: grant.range.first,
        to: grant.range.last,
        fence: grant.fence,
        hold_time: format!("{}ms", grant.lease_ms),
        handover: grant.handover,
    };
    let response = order(link, GRANT_PATH, grant.server, &body, timeout_ms).await?;
    match response.status {
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

/// Makes a server release keys; it responds once all requests for them have ended.
pub async fn release(link: &Link, release: Release<'_>, timeout_ms: u64) -> Result<ReleaseOutcome> {
    let body = WireRelease {
        from: release.range.first,
        to: release.range.last,
        fence: release.fence,
    };
    let response = order(link, RELEASE_PATH, release.server, &body, timeout_ms).await?;
    match response.status {
        StatusCode::OK => {
            let token = response.headers.get(HANDOVER);
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

/// Sends a health check and returns true if the expected server responded, whatever the status: an
/// overloaded server is alive as well. A response without a server name counts as the expected
/// server's.
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
    let response = link.call(request, timeout_ms).await?;
    let reported = response.headers.get(SERVER_NAME);
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
    let encode_error = |message: String| DecodeSnafu { address, message }.build();
    let body = serde_json::to_vec(body).map_err(|error| encode_error(error.to_string()))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(EXPECTED_SERVER, server)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| encode_error(error.to_string()))?;
    link.call(request, timeout_ms).await
}
