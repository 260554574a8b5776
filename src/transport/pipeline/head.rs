//! Parses the heads of pipelined requests.

use http::{HeaderName, HeaderValue, Method, Request, Uri, request};

/// Maximum number of headers of a request, which is that of the HTTP library.
const HEADERS_MAX: usize = 100;

/// Result of parsing the head of a request.
pub enum Parsed {
    /// The head is not complete yet.
    Partial,
    /// The position of the next request is not certain: the head is invalid, or what follows it
    /// depends on more than a `Content-Length`.
    Unclear,
    /// The head is complete.
    Complete(Head),
}

/// Properties of a request that decide whether requests are started ahead.
pub struct Head {
    /// Length of the head in bytes.
    pub head_bytes: usize,
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// True if no request behind this one may be started ahead while this one is unanswered.
    pub is_blocking: bool,
    /// Method, target and headers, if they were asked for and the request is a GET or HEAD without a
    /// body.
    pub request: Option<Box<request::Parts>>,
}

/// Returns false if the head at the beginning of `bytes` cannot be complete, because its first
/// `partial_bytes` bytes were parsed as incomplete and no end of a head has come since. Parsing a
/// large head that arrives in small pieces again for each piece takes quadratic time.
pub fn may_be_complete(bytes: &[u8], partial_bytes: usize) -> bool {
    if partial_bytes == 0 {
        return true;
    }
    if bytes.len() <= partial_bytes {
        return false;
    }
    // The end of the head may have begun in the bytes that were parsed.
    let added = &bytes[partial_bytes.saturating_sub(3)..];
    added.windows(2).any(|window| window == b"\n\n")
        || added.windows(3).any(|window| window == b"\n\r\n")
}

/// Parses the head at the beginning of `bytes`, and copies it if `with_request` is true.
pub fn parse(bytes: &[u8], with_request: bool) -> Parsed {
    // Each further empty line looks like the end of a head, so that it would be parsed again.
    if let [
        b'\r' | b'\n',
        b'\r' | b'\n',
        b'\r' | b'\n',
        b'\r' | b'\n',
        ..,
    ] = bytes
    {
        return Parsed::Unclear;
    }
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let head_bytes = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Unclear,
    };
    let method = request.method.unwrap_or_default();
    if request.version != Some(1) || method == "CONNECT" {
        return Parsed::Unclear;
    }
    let mut body_bytes = 0;
    let mut closes = false;
    for header in request.headers.iter() {
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("transfer-encoding") || is("expect") || is("upgrade") {
            return Parsed::Unclear;
        } else if is("content-length") {
            let Some(bytes) = content_length(header.value) else {
                return Parsed::Unclear;
            };
            if body_bytes != 0 && body_bytes != bytes {
                return Parsed::Unclear;
            }
            body_bytes = bytes;
        } else if is("connection") {
            let mut options = header.value.split(|byte| *byte == b',');
            closes |= options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"));
        }
    }
    let is_eligible = matches!(method, "GET" | "HEAD") && body_bytes == 0;
    let copied = if with_request && is_eligible {
        let Some(copied) = copy(&request) else {
            return Parsed::Unclear;
        };
        Some(Box::new(copied))
    } else {
        None
    };
    Parsed::Complete(Head {
        head_bytes,
        body_bytes,
        is_blocking: !is_eligible || closes,
        request: copied,
    })
}

fn content_length(value: &[u8]) -> Option<u64> {
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    str::from_utf8(value).ok()?.parse().ok()
}

fn copy(request: &httparse::Request<'_, '_>) -> Option<request::Parts> {
    let method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    let target = Uri::try_from(request.path?).ok()?;
    let (mut parts, ()) = Request::new(()).into_parts();
    parts.method = method;
    parts.uri = target;
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        parts.headers.append(name, value);
    }
    Some(parts)
}
