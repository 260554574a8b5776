//! HTTP/1.1 client connections. All responses that a host reads come through here, so that they are
//! understood as a whole before any part of them is passed on.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use http::{Request, Response};
use hyper::{
    body::Body,
    client::conn::{
        TrySendError,
        http1::{Builder, Connection, Parts, SendRequest},
    },
    rt::{Read, ReadBuf},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncWrite};

use super::{
    bounded_stream::{BoundedStream, HEAD_BYTES_MAX, UnusedBytes},
    incoming_body::{IncomingBody, Surplus},
    response_head::{self, InvalidHead},
};

/// Reason why a request got no usable response.
#[derive(Debug, Snafu)]
pub enum SendError<B> {
    /// The connection closed before the HTTP library wrote any part of the request.
    #[snafu(display("{source}"))]
    NotWritten {
        /// The request, which can be sent on another connection.
        request: Box<Request<B>>,
        /// Error that the HTTP library returned with the request.
        source: hyper::Error,
    },
    /// The connection failed after the request may have been written.
    #[snafu(display("{source}"))]
    Lost {
        /// Error that the HTTP library returned.
        source: hyper::Error,
    },
    /// The peer has responded, but the head of the response is not understood.
    #[snafu(display("{source}"))]
    InvalidHead {
        /// What is wrong with the head.
        source: InvalidHead,
    },
}

impl<B> From<TrySendError<Request<B>>> for SendError<B> {
    fn from(mut error: TrySendError<Request<B>>) -> Self {
        // The library returns the request only if it has written no part of it.
        match error.take_message() {
            Some(request) => Self::NotWritten {
                request: Box::new(request),
                source: error.into_error(),
            },
            None => Self::Lost {
                source: error.into_error(),
            },
        }
    }
}

/// Performs the HTTP/1.1 handshake on a stream to a peer. The returned connection must be polled.
pub async fn start_client<S, B>(
    stream: S,
) -> hyper::Result<(RequestSender<B>, ClientConnection<S, B>)>
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    let unused = UnusedBytes::default();
    let surplus = Surplus::default();
    let stream = BoundedStream::new(stream, unused.clone());
    let mut builder = Builder::new();
    builder.max_buf_size(HEAD_BYTES_MAX);
    let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    let connection = ClientConnection {
        connection: Some(connection),
        surplus: surplus.clone(),
    };
    let sender = RequestSender {
        sender,
        unused,
        surplus,
    };
    Ok((sender, connection))
}

/// Sender of the requests of one connection.
#[derive(Debug)]
pub struct RequestSender<B> {
    sender: SendRequest<B>,
    unused: UnusedBytes,
    surplus: Surplus,
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

    /// Sends a request and waits for the head of the response. After an error the connection must not be
    /// used again.
    pub async fn send(
        &mut self,
        request: Request<B>,
    ) -> Result<Response<IncomingBody>, SendError<B>> {
        self.unused.reset();
        let response = self.sender.try_send_request(request).await?;
        self.unused.reset();
        let (head, incoming) = response.into_parts();
        if let Err(source) = response_head::check(&head) {
            return Err(SendError::InvalidHead { source });
        }
        let body = IncomingBody {
            incoming,
            unused: self.unused.clone(),
            surplus: self.surplus.clone(),
            is_forbidden: response_head::forbids_body(head.status),
            has_ended: false,
        };
        Ok(Response::from_parts(head, body))
    }
}

/// Connection of a [`RequestSender`], which reads and writes while it is polled, and ends with the
/// connection.
pub struct ClientConnection<S, B>
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
    B: Body + 'static,
{
    /// `None` once the connection has ended.
    connection: Option<Connection<TokioIo<BoundedStream<S>>, B>>,
    surplus: Surplus,
}

impl<S, B> Future for ClientConnection<S, B>
where
    S: AsyncRead + AsyncWrite + Unpin + Send,
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
{
    type Output = hyper::Result<()>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<hyper::Result<()>> {
        let surplus = self.surplus.clone();
        let mut has_surplus = surplus.lock();
        let Some(connection) = &mut self.connection else {
            return Poll::Ready(Ok(()));
        };
        let ended = ready!(connection.poll_without_shutdown(context));
        if let Some(connection) = self.connection.take() {
            *has_surplus = holds_bytes(connection.into_parts(), context);
        }
        Poll::Ready(ended)
    }
}

/// Returns true if a connection that has ended holds bytes that belong to no response, as far as they have
/// arrived.
fn holds_bytes<S>(parts: Parts<TokioIo<BoundedStream<S>>>, context: &mut Context<'_>) -> bool
where
    S: AsyncRead + Unpin,
{
    let Parts {
        mut io, read_buf, ..
    } = parts;
    if !read_buf.is_empty() {
        return true;
    }
    let mut byte = [0];
    let mut more = ReadBuf::new(&mut byte);
    let read = Pin::new(&mut io).poll_read(context, more.unfilled());
    matches!(read, Poll::Ready(Ok(()))) && !more.filled().is_empty()
}
