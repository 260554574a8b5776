//! Stream through a tunnel to a server.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use hyper::upgrade::Upgraded;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Meaning of the end of a tunnel's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOfTunnel {
    /// The server has ended its stream, and all of its bytes have arrived. After anything else, such
    /// as a reset by the server or the death of the carrier, the tunnel is reset.
    ServerEnded,
    /// The server's stream may have been cut.
    Unknown,
}

/// Stream through a tunnel to a server. It ends only if the server has certainly ended its own stream;
/// otherwise the last read fails, because a response without a length would look whole.
#[derive(Debug)]
pub struct TunnelStream {
    inner: TokioIo<Upgraded>,
    end: EndOfTunnel,
}

impl TunnelStream {
    /// Wraps the connection to the carrier once it has become the tunnel.
    pub fn new(tunnel: Upgraded, end: EndOfTunnel) -> Self {
        let inner = TokioIo::new(tunnel);
        Self { inner, end }
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = output.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, output))?;
        let is_end = output.filled().len() == before && output.remaining() > 0;
        if is_end && self.end == EndOfTunnel::Unknown {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TunnelStream {
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
