//! Bodies: held in memory up to a size, passed on as they come beyond it. What all bodies together hold is bounded too:
//! callers and servers that read or write slowly must not fill the memory of a small host.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::{entry::pool::Connection, transport::ResponseBody};

/// Bodies up to this size are held in memory, so that a request can be repeated and a broken
/// answer be noticed before any of it is passed on.
const BUFFERED_BYTES_MAX: usize = 256 * 1024;
/// Share of a host's memory that bodies may take.
const MEMORY_SHARE: f64 = 0.25;
/// Unit in which memory is counted. Smaller bodies are not counted at all.
const UNIT_BYTES: usize = 16 * 1024;

/// Size from which a body is large.
const LARGE_BODY_BYTES: u64 = 64 * 1024;
/// Memory that a large body takes as long as it is read.
const BEGUN_BYTES: u64 = 192 * 1024;

/// Memory for bodies, shared by all requests of a host.
#[derive(Clone, Debug)]
pub struct BodyMemory(Arc<Semaphore>);

impl BodyMemory {
    /// The part for bodies of a host's whole memory.
    pub fn of_host(memory_bytes: u64) -> Self {
        let units = memory_bytes as f64 * MEMORY_SHARE / UNIT_BYTES as f64;
        Self(Arc::new(Semaphore::new(units as usize)))
    }

    /// Takes what a body of so many bytes needs to be begun; `None` if there is no more. Even one that is passed on as it
    /// comes needs some buffers.
    pub fn reserve(&self, body_bytes: u64) -> Option<Taken> {
        let mut taken = Taken::default();
        if body_bytes <= LARGE_BODY_BYTES {
            return Some(taken);
        }
        let begun_bytes = body_bytes.min(BEGUN_BYTES);
        taken.grow(begun_bytes as usize, self).then_some(taken)
    }
}

/// Memory that one body takes; given back when dropped.
#[derive(Debug, Default)]
pub struct Taken(Option<OwnedSemaphorePermit>);

impl Taken {
    /// Takes what is missing for a body of so many bytes; false if there is no more.
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

    /// Gives back what a body of so many bytes does not need.
    fn shrink(&mut self, bytes: usize) {
        let Some(held) = &mut self.0 else { return };
        let surplus = held
            .num_permits()
            .saturating_sub(bytes.div_ceil(UNIT_BYTES));
        drop(held.split(surplus));
    }
}

/// Bytes in memory.
#[derive(Debug, Default)]
pub struct Buffered {
    bytes: Bytes,
    taken: Taken,
}

/// A request's body as it is passed on.
pub enum Payload {
    Whole(Buffered),
    /// Its beginning, and the rest as it comes; can be sent only once.
    Stream(Option<(Buffered, Incoming)>),
}

/// An answer's body as far as it was read.
pub enum Received {
    Whole(Buffered),
    Begun(Buffered, Incoming),
}

/// Reads a body as long as there is memory for it beside what was reserved.
pub async fn receive(
    mut body: Incoming,
    mut taken: Taken,
    memory: &BodyMemory,
) -> hyper::Result<Received> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.is_empty() && body.is_end_stream() {
            return Ok(Received::Whole(Buffered { bytes: data, taken }));
        }
        buffer.extend_from_slice(&data);
        if buffer.len() > BUFFERED_BYTES_MAX || !taken.grow(buffer.len(), memory) {
            let bytes = buffer.freeze();
            return Ok(Received::Begun(Buffered { bytes, taken }, body));
        }
    }
    let bytes = buffer.freeze();
    Ok(Received::Whole(Buffered { bytes, taken }))
}

pub async fn read_payload(
    body: Incoming,
    reserved: Taken,
    memory: &BodyMemory,
) -> hyper::Result<Payload> {
    if body.is_end_stream() {
        return Ok(Payload::Whole(Buffered::default()));
    }
    match receive(body, reserved, memory).await? {
        Received::Whole(bytes) => Ok(Payload::Whole(bytes)),
        Received::Begun(first, rest) => Ok(Payload::Stream(Some((first, rest)))),
    }
}

impl Payload {
    pub fn can_repeat(&self) -> bool {
        !matches!(self, Self::Stream(None))
    }

    /// True if there is none.
    pub fn is_empty(&self) -> bool {
        matches!(self, Self::Whole(buffered) if buffered.bytes.is_empty())
    }

    /// What of it is in memory: all, or its beginning.
    pub fn known(&self) -> &[u8] {
        match self {
            Self::Whole(buffered) | Self::Stream(Some((buffered, _))) => &buffered.bytes,
            Self::Stream(None) => &[],
        }
    }

    pub fn body(&mut self) -> Option<ResponseBody> {
        match self {
            Self::Whole(buffered) => {
                let body = Full::new(buffered.bytes.clone());
                Some(body.map_err(|never| match never {}).boxed())
            }
            Self::Stream(stream) => {
                let (first, rest) = stream.take()?;
                let streamed = Streamed {
                    first,
                    rest,
                    connection: None,
                };
                Some(streamed.boxed())
            }
        }
    }
}

impl Buffered {
    /// The next piece of it, whose memory is given back: the reader takes the next one when it has sent this one.
    fn next(&mut self) -> Option<Bytes> {
        if self.bytes.is_empty() {
            return None;
        }
        let length = self.bytes.len().min(UNIT_BYTES);
        let piece = self.bytes.split_to(length);
        self.taken.shrink(self.bytes.len());
        Some(piece)
    }
}

impl Body for Buffered {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Poll::Ready(self.next().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64)
    }
}

/// A body whose beginning is in memory and whose rest is passed on as it comes.
pub struct Streamed {
    pub first: Buffered,
    pub rest: Incoming,
    #[allow(dead_code, reason = "closed when the body is dropped")]
    pub connection: Option<Connection>,
}

impl Body for Streamed {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(piece) = self.first.next() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        Pin::new(&mut self.rest).poll_frame(context)
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
