//! Heads of requests and answers: what is passed on, and the host's own answers.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Uri, header, response};

use crate::{
    entry::decide::return_time::Refused,
    platform::headers,
    transport::{ResponseBody, whole},
};

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

/// True for statuses that tell a caller that its request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

pub fn origin_form(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str();
    path.parse().ok()
}

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

pub fn build_answer(mut head: response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    strip_hop_headers(&mut head.headers);
    head.version = http::Version::HTTP_11;
    Response::from_parts(head, body)
}

pub fn plain(status: StatusCode, message: &str) -> Response<ResponseBody> {
    whole(
        status,
        "text/plain",
        Bytes::copy_from_slice(message.as_bytes()),
    )
}

/// Answer to a request that has not run, with the time to come back.
pub fn refusal(refused: &Refused) -> Response<ResponseBody> {
    come_back(StatusCode::SERVICE_UNAVAILABLE, refused)
}

/// Answer to a request beyond the quota of its workspace, which has not run.
pub fn over_quota(refused: &Refused) -> Response<ResponseBody> {
    come_back(StatusCode::TOO_MANY_REQUESTS, refused)
}

/// Answer to a request without a known API key.
pub fn unauthorized(reason: &'static str) -> Response<ResponseBody> {
    let mut response = plain(StatusCode::UNAUTHORIZED, reason);
    let challenge = HeaderValue::from_static(headers::API_KEY_SCHEME);
    let headers = response.headers_mut();
    headers.insert(header::WWW_AUTHENTICATE, challenge);
    response
}

fn come_back(status: StatusCode, refused: &Refused) -> Response<ResponseBody> {
    let mut response = plain(status, refused.reason);
    let seconds = refused.return_ms as f64 / 1000.0;
    match HeaderValue::from_str(&format!("{seconds:.2}")) {
        Ok(after) => {
            response.headers_mut().insert(header::RETRY_AFTER, after);
        }
        Err(error) => log::error!("{seconds} s cannot be told: {error}"),
    }
    response
}
