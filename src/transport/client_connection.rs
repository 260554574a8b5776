//! HTTP/1.1 client connections that read a bounded number of bytes while the peer sends no part of a
//! response. A peer in trouble may send bytes without end: a head, interim responses, or the size of a
//! chunk.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::{
        TrySendError,
        http1::{Builder, Connection, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of the head of a response, and of the read buffer of a connection.
const HEAD_BYTES_MAX: usize = 16 * 1024;
/// Maximum number of bytes that are read without a complete head or a part of the body. The HTTP library
/// reads up to two buffers ahead of the receiver of a body.
const UNUSED_BYTES_MAX: usize = 3 * HEAD_BYTES_MAX;

/// Number of bytes that were read from a connection since the last part of a response.
#[derive(Clone, Debug, Default)]
struct UnusedBytes(Arc<AtomicUsize>);

impl UnusedBytes {
    /// Counts bytes that were read; returns false if they are too many.
    fn add(&self, bytes: usize) -> bool {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= UNUSED_BYTES_MAX
    }

    /// Notes that a part of a response has arrived, or that a request is sent.
    fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// Performs the HTTP/1.1 handshake on a stream to a peer. The returned connection must be polled.
pub async fn start_client<S, B>(
    stream: S,
) -> hyper::Result<(RequestSender<B>, Connection<TokioIo<BoundedStream<S>>, B>)>
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    let unused = UnusedBytes::default();
    let stream = BoundedStream {
        inner: stream,
        unused: unused.clone(),
    };
    let mut builder = Builder::new();
    builder.max_buf_size(HEAD_BYTES_MAX);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    Ok((RequestSender { sender, unused }, connection))
}

/// Sender of the requests of one connection.
#[derive(Debug)]
pub struct RequestSender<B> {
    sender: SendRequest<B>,
    unused: UnusedBytes,
}

impl<B: Body + 'static> RequestSender<B> {
    /// Returns true if a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns true if the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until a request can be sent.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Sends a request and waits for the head of the response. The error contains the request if no part
    /// of it was written.
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<IncomingBody>, TrySendError<Request<B>>> {
        self.unused.reset();
        let response = self.sender.try_send_request(request).await?;
        self.unused.reset();
        let unused = self.unused.clone();
        Ok(response.map(|incoming| IncomingBody { incoming, unused }))
    }
}

/// Body of a response while it arrives.
#[derive(Debug)]
pub struct IncomingBody {
    incoming: Incoming,
    unused: UnusedBytes,
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.incoming).poll_frame(context));
        self.unused.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Stream whose reads fail after [`UNUSED_BYTES_MAX`] bytes without a part of a response.
#[derive(Debug)]
pub struct BoundedStream<S> {
    inner: S,
    unused: UnusedBytes,
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
