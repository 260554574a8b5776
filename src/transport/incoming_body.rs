//! Body of a response while it arrives, which ends in an error unless it is certainly whole.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use snafu::Snafu;

use super::bounded_stream::UnusedBytes;

/// Reason why a body is not whole, or may not be.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The connection failed, or the framing of the body is invalid.
    #[snafu(context(false), display("{source}"))]
    Broken {
        /// Error that the HTTP library returned.
        source: hyper::Error,
    },
    /// Bytes follow the end of the response, so its length may be wrong.
    #[snafu(display("bytes follow the end of the response"))]
    Surplus,
    /// The response has a body, which its status forbids.
    #[snafu(display("the status of the response forbids a body"))]
    Forbidden,
}

/// Whether bytes were left over behind a response when its connection ended. The driver of the
/// connection holds the lock while it reads, so that the receiver of a body finds out what it has read
/// up to the body's end.
#[derive(Clone, Debug, Default)]
pub(super) struct Surplus(Arc<Mutex<bool>>);

impl Surplus {
    /// Locks the state, which is true if bytes were left over.
    pub(super) fn lock(&self) -> MutexGuard<'_, bool> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Body of a response while it arrives. Its last part is withheld if bytes follow the response, as far as
/// they have arrived and the request is sent: they may be the rest of the body.
#[derive(Debug)]
pub struct IncomingBody {
    pub(super) incoming: Incoming,
    pub(super) unused: UnusedBytes,
    pub(super) surplus: Surplus,
    /// True if the status of the response forbids a body.
    pub(super) is_forbidden: bool,
    /// True once the end of the body was checked.
    pub(super) has_ended: bool,
}

impl IncomingBody {
    /// Returns the reason if the frame must not be passed on.
    fn check(&mut self, frame: Option<&Frame<Bytes>>) -> Result<(), BodyError> {
        let has_data = frame
            .and_then(Frame::data_ref)
            .is_some_and(|data| !data.is_empty());
        if has_data && self.is_forbidden {
            return ForbiddenSnafu.fail();
        }
        if frame.is_some() && !self.incoming.is_end_stream() {
            return Ok(());
        }
        self.has_ended = true;
        if *self.surplus.lock() {
            return SurplusSnafu.fail();
        }
        Ok(())
    }
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        self.unused.reset();
        let frame = frame.transpose()?;
        Poll::Ready(match self.check(frame.as_ref()) {
            Ok(()) => frame.map(Ok),
            Err(error) => Some(Err(error)),
        })
    }

    fn is_end_stream(&self) -> bool {
        self.has_ended && self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
