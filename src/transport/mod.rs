//! HTTP code shared by all modules: HTTP/1 listeners with connection limits, client connections with
//! limits, a client for JSON calls, and the streams of tunnels.

mod bounded_stream;
mod client;
mod client_connection;
mod connection;
mod incoming_body;
mod listener;
pub mod pipeline;
mod pooled_client;
mod response_head;
mod tunnel_client;
mod tunnel_stream;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

pub use self::{
    client::{CallError, JsonClient},
    client_connection::{ClientConnection, RequestSender, SendError, start_client},
    connection::{CallerAddress, ListenerLimits},
    incoming_body::{BodyError, IncomingBody},
    listener::{serve, serve_pipelined},
    pooled_client::{ClientLimits, PooledClient, RequestError},
    response_head::InvalidHead,
    tunnel_client::{TunnelResponse, request_tunnel},
    tunnel_stream::{EndOfTunnel, TunnelStream},
};

/// Body of a response, either complete in memory or streamed as it arrives.
pub type ResponseBody = BoxBody<Bytes, BodyError>;

/// Returns the value of the header `name`, or `None` if the header is absent or not valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of the header `name`, or `None` if the header is absent or not a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Builds a response whose body is complete in memory.
pub fn buffered(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body).map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => buffered(status, "application/json", body.into()),
        Err(error) => buffered(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string().into(),
        ),
    }
}

/// Parses the JSON body of a request. Returns a response with status 400 as the error if the body
/// has more than `body_bytes` bytes, cannot be received or is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    body_bytes: usize,
) -> Result<T, Response<ResponseBody>> {
    let bad = |message: String| buffered(StatusCode::BAD_REQUEST, "text/plain", message.into());
    let body = Limited::new(request.into_body(), body_bytes);
    let body = body
        .collect()
        .await
        .map_err(|error| bad(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| bad(error.to_string()))
}
