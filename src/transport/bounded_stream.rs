//! Stream that limits the number of bytes that are read while the peer sends no part of a response. A
//! peer in trouble may send bytes without end: a head, interim responses, or the size of a chunk.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of the head of a response, and of the read buffer of a connection.
pub(super) const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of bytes that are read without a complete head or a part of the body. The HTTP library
/// reads up to two buffers ahead of the receiver of a body.
const UNUSED_BYTES_MAX: usize = 3 * HEAD_BYTES_MAX;

/// Number of bytes that were read from a connection since the last part of a response.
#[derive(Clone, Debug, Default)]
pub(super) struct UnusedBytes(Arc<Count>);

#[derive(Debug, Default)]
struct Count {
    bytes: AtomicUsize,
    is_unlimited: AtomicBool,
}

impl UnusedBytes {
    /// Counts bytes that were read; returns false if they are too many.
    fn add(&self, bytes: usize) -> bool {
        let before = self.0.bytes.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= UNUSED_BYTES_MAX || self.0.is_unlimited.load(Ordering::Relaxed)
    }

    /// Notes that a part of a response has arrived, or that a request is sent.
    pub(super) fn reset(&self) {
        self.0.bytes.store(0, Ordering::Relaxed);
    }

    /// Ends the limit, because the connection has become a tunnel.
    pub(super) fn end_limit(&self) {
        self.0.is_unlimited.store(true, Ordering::Relaxed);
    }
}

/// Stream whose reads fail after [`UNUSED_BYTES_MAX`] bytes without a part of a response.
#[derive(Debug)]
pub struct BoundedStream<S> {
    inner: S,
    unused: UnusedBytes,
}

impl<S> BoundedStream<S> {
    /// Limits the reads from a stream. The receiver of responses resets the count.
    pub(super) fn new(inner: S, unused: UnusedBytes) -> Self {
        Self { inner, unused }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = output.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, output))?;
        if self.unused.add(output.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "too many bytes without a response",
        )))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
