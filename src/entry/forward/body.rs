//! Request and response bodies. Bodies up to a size limit are buffered in memory; larger ones are
//! streamed. The memory of all bodies together is bounded, so that callers and servers that read or
//! write slowly cannot exhaust the memory of a small host.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{
    entry::pool::Connection,
    transport::{BodyError, ResponseBody},
};

/// Size up to which a body is buffered whole, so that a request can be retried, and so that a
/// truncated response is detected before any part of that response is sent to the caller.
const BUFFERED_BYTES_MAX: usize = 256 * 1024;
/// Fraction of a host's memory that all bodies together may use.
const MEMORY_SHARE: f64 = 0.25;
/// Unit in which body memory is counted. Bodies below this size are not counted.
const UNIT_BYTES: usize = 16 * 1024;

/// Size above which memory is reserved for a body before the body is read.
const LARGE_BODY_BYTES: u64 = 64 * 1024;
/// Maximum memory that is reserved for a large body before the body is read.
const LARGE_BODY_RESERVED_BYTES: u64 = 192 * 1024;

/// Memory budget for bodies, shared by all requests of a host.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// Returns the budget of a host: the fraction [`MEMORY_SHARE`] of the host's memory, which is
    /// `memory_bytes`.
    pub fn of_host(memory_bytes: u64) -> Self {
        let units = memory_bytes as f64 * MEMORY_SHARE / UNIT_BYTES as f64;
        Self(Arc::new(Semaphore::new(units as usize)))
    }

    /// Reserves the memory needed to start reading a body of this size; `None` if the budget is
    /// exhausted. Bodies up to [`LARGE_BODY_BYTES`] need no reservation at first.
    pub fn reserve(&self, body_bytes: u64) -> Option<MemoryReservation> {
        let mut reservation = MemoryReservation::default();
        if body_bytes <= LARGE_BODY_BYTES {
            return Some(reservation);
        }
        let begun_bytes = body_bytes.min(LARGE_BODY_RESERVED_BYTES);
        reservation
            .grow(begun_bytes as usize, self)
            .then_some(reservation)
    }
}

/// Part of the memory budget that is reserved for one body. Dropping the reservation returns the
/// memory to the budget.
#[derive(Debug, Default)]
pub struct MemoryReservation(Option<OwnedSemaphorePermit>);

impl MemoryReservation {
    /// Extends the reservation to `bytes`, rounded down to whole units of [`UNIT_BYTES`]; returns
    /// false if the budget is exhausted.
    fn grow(&mut self, bytes: usize, memory: &BodyMemory) -> bool {
        let held = self.0.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = (bytes / UNIT_BYTES).saturating_sub(held);
        if missing == 0 {
            return true;
        }
        let Ok(permit) = memory.0.clone().try_acquire_many_owned(missing as u32) else {
            return false;
        };
        match &mut self.0 {
            Some(held) => held.merge(permit),
            None => self.0 = Some(permit),
        }
        true
    }

    /// Reduces the reservation to `bytes`, rounded up to whole units of [`UNIT_BYTES`], and returns
    /// the remainder to the budget.
    fn shrink(&mut self, bytes: usize) {
        let Some(held) = &mut self.0 else { return };
        let surplus = held
            .num_permits()
            .saturating_sub(bytes.div_ceil(UNIT_BYTES));
        drop(held.split(surplus));
    }
}

/// A body, or the beginning of a body, that is buffered in memory, with the memory reserved for it.
#[derive(Debug, Default)]
pub struct BufferedBody {
    bytes: Bytes,
    reservation: MemoryReservation,
}

/// Body of a request, which is kept for further attempts unless it is streamed.
pub enum Payload {
    Whole(BufferedBody),
    /// The buffered beginning and the unread remainder. `None` once an attempt has taken both
    /// parts, because a streamed body can be sent only once.
    Stream(Option<(BufferedBody, Incoming)>),
}

/// Whether another attempt can send the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resend {
    /// The body is buffered whole, or no attempt has streamed it yet.
    Possible,
    /// An attempt has streamed the body.
    Impossible,
}

/// Body read so far: complete, or a buffered beginning and the unread remainder.
pub enum Received<B> {
    Whole(BufferedBody),
    Partial(BufferedBody, B),
}

/// Reads a body into memory until it is complete, exceeds [`BUFFERED_BYTES_MAX`], or no memory is
/// left to extend the reservation.
pub async fn receive<B>(
    mut body: B,
    mut reservation: MemoryReservation,
    memory: &BodyMemory,
) -> Result<Received<B>, B::Error>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(Received::Whole(BufferedBody {
                bytes: data,
                reservation,
            }));
        }
        buffer.extend_from_slice(&data);
        if buffer.len() > BUFFERED_BYTES_MAX || !reservation.grow(buffer.len(), memory) {
            let bytes = buffer.freeze();
            return Ok(Received::Partial(BufferedBody { bytes, reservation }, body));
        }
    }
    let bytes = buffer.freeze();
    Ok(Received::Whole(BufferedBody { bytes, reservation }))
}

/// Reads the body of a caller's request into memory. A body that exceeds [`BUFFERED_BYTES_MAX`] or
/// the memory budget is left partly unread, to be streamed to the server. `reserved` is the memory
/// that was reserved for the body according to the size that the request announced. `None` is the
/// body of a request that was started ahead, which is empty.
pub async fn read_payload(
    body: Option<Incoming>,
    reserved: MemoryReservation,
    memory: &BodyMemory,
) -> hyper::Result<Payload> {
    let Some(body) = body.filter(|body| !body.is_end_stream()) else {
        return Ok(Payload::Whole(BufferedBody::default()));
    };
    match receive(body, reserved, memory).await? {
        Received::Whole(bytes) => Ok(Payload::Whole(bytes)),
        Received::Partial(first, rest) => Ok(Payload::Stream(Some((first, rest)))),
    }
}

impl Payload {
    /// Returns whether another attempt can send the body.
    pub fn resend(&self) -> Resend {
        match self {
            Self::Whole(_) | Self::Stream(Some(_)) => Resend::Possible,
            Self::Stream(None) => Resend::Impossible,
        }
    }

    /// Returns true if the request has no body, or an empty one.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Whole(buffered) if buffered.bytes.is_empty())
    }

    /// Returns the bytes of the body that are in memory: the whole body, the beginning of a
    /// streamed body, or nothing once an attempt has taken the streamed body.
    pub fn buffered_bytes(&self) -> &[u8] {
        match self {
            Self::Whole(buffered) | Self::Stream(Some((buffered, _))) => &buffered.bytes,
            Self::Stream(None) => &[],
        }
    }

    /// Returns the body for one attempt; `None` if an earlier attempt has streamed the body.
    pub fn body(&mut self) -> Option<ResponseBody> {
        match self {
            Self::Whole(buffered) => {
                let body = Full::new(buffered.bytes.clone());
                Some(body.map_err(|never| match never {}).boxed())
            }
            Self::Stream(stream) => {
                let (first, rest) = stream.take()?;
                let streamed = StreamedBody {
                    first,
                    rest,
                    connection: None,
                };
                Some(streamed.boxed())
            }
        }
    }
}

impl BufferedBody {
    /// Returns the next piece of the body, at most [`UNIT_BYTES`], and releases the memory reserved
    /// for the piece: the sender of the body asks for another piece only after it has sent this
    /// piece. `None` once all buffered bytes were returned.
    fn next(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            return None;
        }
        let length = self.bytes.len().min(UNIT_BYTES);
        let piece = self.bytes.split_to(length);
        self.reservation.shrink(self.bytes.len());
        Some(piece)
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Poll::Ready(self.next().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// Body whose beginning is buffered, and whose remainder is read from the network while the body is
/// sent.
pub struct StreamedBody<B> {
    /// Beginning of the body, which is sent before `rest`.
    pub first: BufferedBody,
    /// Remainder of the body, which is read from the network only as fast as the receiver takes the
    /// data.
    pub rest: B,
    /// Connection to the server from which `rest` is read, kept open until the body is dropped.
    /// `None` for the body of a caller's request.
    #[allow(dead_code, reason = "closed when the body is dropped")]
    pub connection: Option<Connection>,
}

impl<B> Body for StreamedBody<B>
where
    B: Body<Data = Bytes, Error: Into<BodyError>> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(piece) = self.first.next() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let frame = Pin::new(&mut self.rest).poll_frame(context);
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_end_stream() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.bytes.len() as u64;
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
