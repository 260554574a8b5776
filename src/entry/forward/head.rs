//! Headers of forwarded requests and responses, and the responses that this host generates itself,
//! such as refusals.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Uri, header, response};

use crate::{
    entry::decide::retry_after::Refused,
    platform::headers,
    transport::{ResponseBody, buffered},
};

/// Headers that this host never forwards: hop-by-hop headers, and other headers that concern only
/// one connection.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns true for the statuses that usually mean that a server did not run the request, so that a
/// caller may send even an unrepeatable request again. The status alone is no proof: unless the
/// server also states that it did not run the request (`headers::says_not_run`), the request may
/// have run.
pub fn suggests_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

/// Returns the URI in origin form: path and query only. `None` if the URI has no path.
pub fn origin_form(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str();
    path.parse().ok()
}

/// Removes the headers that concern only one connection, including those named by the `Connection`
/// header.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Builds the response to the caller from a server's response: removes the hop-by-hop headers and
/// sets the version to HTTP/1.1.
pub fn build_response(mut head: response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    strip_hop_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, body)
}

/// Returns a response that this host generates itself, with the message as `text/plain` body.
pub fn plain_text(status: StatusCode, message: &str) -> Response<ResponseBody> {
    buffered(
        status,
        "text/plain",
        Bytes::copy_from_slice(message.as_bytes()),
    )
}

/// Returns a 503 response, with a `Retry-After` header, for a request that has not run.
pub fn refusal(refused: &Refused) -> Response<ResponseBody> {
    with_retry_after(StatusCode::SERVICE_UNAVAILABLE, refused)
}

/// Returns a 429 response for a request that has not run because the caller's workspace has used up
/// its quota. The response has a `Retry-After` header.
pub fn over_quota(refused: &Refused) -> Response<ResponseBody> {
    with_retry_after(StatusCode::TOO_MANY_REQUESTS, refused)
}

/// Returns a 401 response for a request without a valid API key; `WWW-Authenticate` names the
/// scheme in which the key must be sent.
pub fn unauthorized(reason: &'static str) -> Response<ResponseBody> {
    let mut response = plain_text(StatusCode::UNAUTHORIZED, reason);
    let challenge = HeaderValue::from_static(headers::API_KEY_SCHEME);
    let headers = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, challenge);
    response
}

/// Returns a response with this status and the reason of the refusal as text. The `Retry-After`
/// header contains the retry time in seconds.
fn with_retry_after(status: StatusCode, refused: &Refused) -> Response<ResponseBody> {
    let mut response = plain_text(status, refused.reason);
    let seconds = refused.retry_after_ms as f64 / 1000.0;
    match HeaderValue::from_str(&format!("{seconds:.2}")) {
        Ok(after) => {
            response.headers_mut().insert(header::RETRY_AFTER, after);
        }
        Err(error) => log::error!("{seconds} s is not a valid Retry-After header: {error}"),
    }
    response
}
