//! Decides whether the head of a response is understood as a whole. The HTTP library accepts heads
//! whose meaning is uncertain, as a client may that shows a response to a person: it reads a body of an
//! unknown transfer coding until the connection ends. Whoever passes the response on must not guess.

use std::ops::RangeInclusive;

use http::{HeaderMap, StatusCode, header, response};
use snafu::{OptionExt, Snafu, ensure};

/// The only transfer coding that is understood; its name is not case-sensitive.
const CHUNKED: &str = "chunked";
/// Statuses that a final response can have.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Reason why the head of a response is not understood.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum InvalidHead {
    /// The status is none of a final response: 101 was not asked for, and 600 and above have no
    /// meaning.
    #[snafu(display("the status {status} is none of a final response"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// The transfer coding is unknown, or there is more than one.
    #[snafu(display("the transfer coding is not `chunked`"))]
    TransferCoding,
    /// The response has no length, and the transfer coding stands in an unknown field, so the body would
    /// contain the sizes of its chunks.
    #[snafu(display("an unknown field names the transfer coding `chunked`"))]
    MisnamedCoding,
    /// The response has both a length and a transfer coding, which contradict each other.
    #[snafu(display("the response has both a length and a transfer coding"))]
    LengthAndCoding,
    /// The length is no number, or the response states several.
    #[snafu(display("the length of the response is uncertain"))]
    Length,
    /// The response announces a body, which its status forbids.
    #[snafu(display("a response with status {status} has no body"))]
    ForbiddenBody {
        /// Status of the response.
        status: StatusCode,
    },
}

/// Returns the reason if a response with this head must not be passed on.
pub(super) fn check(head: &response::Parts) -> Result<(), InvalidHead> {
    let status = head.status;
    let is_final = FINAL_STATUSES.contains(&status.as_u16());
    ensure!(is_final, StatusSnafu { status });
    let has_coding = head.headers.contains_key(header::TRANSFER_ENCODING);
    ensure!(
        !has_coding || is_chunked(&head.headers),
        TransferCodingSnafu
    );
    let length = length(&head.headers)?;
    ensure!(!has_coding || length.is_none(), LengthAndCodingSnafu);
    let is_unframed = !has_coding && length.is_none();
    ensure!(
        !is_unframed || !names_chunked(&head.headers),
        MisnamedCodingSnafu
    );
    let is_length_of_body = length.unwrap_or(0) > 0;
    let announces_body = is_length_of_body || has_coding && status == StatusCode::NO_CONTENT;
    ensure!(
        !announces_body || !forbids_body(status),
        ForbiddenBodySnafu { status }
    );
    Ok(())
}

/// Returns true for statuses whose responses have no body, also if the request was not `HEAD`. A
/// response with status 304 has none either, but states the length that another response would have.
pub(super) fn forbids_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT)
}

/// Returns true if the only transfer coding is `chunked`.
fn is_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let only = codings.next().filter(|_| codings.next().is_none());
    let only = only.and_then(|value| value.to_str().ok());
    only.is_some_and(|coding| coding.trim().eq_ignore_ascii_case(CHUNKED))
}

/// Returns true if any field has the value `chunked`, which has a meaning only as a transfer coding.
fn names_chunked(headers: &HeaderMap) -> bool {
    let mut values = headers.values();
    values.any(|value| value.as_bytes().eq_ignore_ascii_case(CHUNKED.as_bytes()))
}

/// Returns the stated length of the body; `None` if none is stated. The HTTP library does not look at the
/// length of a response that has no body.
fn length(headers: &HeaderMap) -> Result<Option<u64>, InvalidHead> {
    let mut stated = None;
    for value in headers.get_all(header::CONTENT_LENGTH) {
        let text = value.to_str().ok().context(LengthSnafu)?;
        for length in text.split(',') {
            let length = digits(length.trim()).context(LengthSnafu)?;
            ensure!(*stated.get_or_insert(length) == length, LengthSnafu);
        }
    }
    Ok(stated)
}

/// Returns a number that is written in digits only; the parser of numbers also accepts a sign.
fn digits(text: &str) -> Option<u64> {
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| is_number)
}
