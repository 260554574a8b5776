//! Commands to backend servers. With a grant command, an entry host makes a server hold a range of
//! keys. With a release command, an entry host makes a server release a range of keys. The module
//! also sends health checks.

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::Serialize;

use super::{
    error::{DecodeSnafu, Result, StatusSnafu},
    headers::{EXPECTED_SERVER, HANDOVER, SERVER_NAME, says_not_run},
    link::{BufferedResponse, Connection, Link},
    wire::{WireGrant, WireRelease},
};
use crate::entry::keys::KeyRange;

const GRANT_PATH: &str = "/grant";
const RELEASE_PATH: &str = "/release";

/// Response of a server to a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The server holds the keys for the requested time, counted from the arrival of the grant at
    /// the server.
    Held,
    /// The server refused the grant, because it has seen a higher fence for one of the keys.
    Superseded,
    /// Another server uses the address, which means that the process of the intended server has
    /// ended.
    OtherServer,
}

/// Command that makes one server hold a range of keys: the server serves the keys until the lease
/// ends.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// Name of the server that the command is for; another server process at the address refuses
    /// the command.
    pub server: &'a str,
    /// Range of keys, both ends included.
    pub range: KeyRange,
    /// Fencing token of the grant. The server refuses the grant if it has seen a higher fencing
    /// token for one of the keys.
    pub fence: u64,
    /// Length of the lease in milliseconds, counted from the arrival of the grant at the server,
    /// which stops serving the keys when the lease ends.
    pub lease_ms: u64,
    /// Token that the previous owner of the keys returned at their release and that lets the server
    /// start warm; `None` if there is no such token.
    pub handover: Option<&'a str>,
}

/// Command that makes one server release a range of keys.
#[derive(Clone, Copy, Debug)]
pub struct Release<'a> {
    /// Name of the server that the command is for; another server process at the address refuses
    /// the command.
    pub server: &'a str,
    /// Range of keys, both ends included.
    pub range: KeyRange,
    /// Fencing token of the release, which is higher than the fencing token of the grant, so that
    /// the server refuses a delayed renewal of the grant.
    pub fence: u64,
}

/// Response of a server to a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// All requests for the keys have ended on the server.
    Ended {
        /// Token that lets the next owner of the keys start warm; `None` if the server sent no
        /// token.
        handover: Option<String>,
    },
    /// Another server uses the address, which means that the process of the intended server has
    /// ended.
    OtherServer,
}

/// Grants a range of keys to a server, or renews the server's lease on the range, over a connection
/// that the link has opened. The grant is not sent again over another connection.
pub async fn grant(
    link: &Link,
    connection: Connection,
    grant: Grant<'_>,
    timeout_ms: u64,
) -> Result<GrantOutcome> {
    let body = WireGrant {
        from: grant.range.first,
        to: grant.range.last,
        fence: grant.fence,
        hold_time: format!("{}ms", grant.lease_ms),
        handover: grant.handover,
    };
    let request = order(link, GRANT_PATH, grant.server, &body)?;
    let response = link.call_on(connection, request, timeout_ms).await?;
    match response.status {
        StatusCode::OK => Ok(GrantOutcome::Held),
        StatusCode::CONFLICT => Ok(GrantOutcome::Superseded),
        _ if is_from_other_server(&response) => Ok(GrantOutcome::OtherServer),
        status => StatusSnafu {
            address: link.address(),
            status,
        }
        .fail(),
    }
}

/// Makes a server release a range of keys. The server responds once all its requests for the keys
/// have ended.
pub async fn release(link: &Link, release: Release<'_>, timeout_ms: u64) -> Result<ReleaseOutcome> {
    let body = WireRelease {
        from: release.range.first,
        to: release.range.last,
        fence: release.fence,
    };
    let request = order(link, RELEASE_PATH, release.server, &body)?;
    let response = link.call(request, timeout_ms).await?;
    match response.status {
        StatusCode::OK => {
            let token = response.headers.get(HANDOVER);
            let handover = token.and_then(|token| token.to_str().ok());
            Ok(ReleaseOutcome::Ended {
                handover: handover.map(str::to_owned),
            })
        }
        _ if is_from_other_server(&response) => Ok(ReleaseOutcome::OtherServer),
        status => StatusSnafu {
            address: link.address(),
            status,
        }
        .fail(),
    }
}

/// Sends a health check and returns true if the expected server responded. The status of the
/// response does not matter, because an overloaded server is alive as well. A response without a
/// server name counts as a response from the expected server.
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

/// Returns true if another server process than the intended one answered a command. A server of a
/// service without keys does not know commands: it treats a command as a caller's request without an
/// identifier, and answers 400 with the statement that it did not run this request.
fn is_from_other_server(response: &BufferedResponse) -> bool {
    let statuses = [StatusCode::MISDIRECTED_REQUEST, StatusCode::BAD_REQUEST];
    statuses.contains(&response.status) && says_not_run(response.status, &response.headers)
}

/// Builds the request of a command.
fn order<B: Serialize>(
    link: &Link,
    path: &str,
    server: &str,
    body: &B,
) -> Result<Request<Full<Bytes>>> {
    let address = link.address();
    let encode_error = |message: String| DecodeSnafu { address, message }.build();
    let body = serde_json::to_vec(body).map_err(|error| encode_error(error.to_string()))?;
    Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(EXPECTED_SERVER, server)
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| encode_error(error.to_string()))
}
