//! Connections on which pipelined requests run concurrently. The HTTP library parses the requests,
//! calls the service in their order and writes the responses; this module reads ahead and starts
//! the handlers of requests before their turn. See docs/design/pipelined-requests.md.

pub mod head;
mod read_ahead;

use std::{
    convert::Infallible,
    future::{Future, poll_fn},
    io::{self, IoSlice},
    pin::{Pin, pin},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use http::{HeaderValue, Request, Response, Version, header, request};
use hyper::{
    body::{Body, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::watch,
};

use self::read_ahead::ReadAhead;
use super::{
    ResponseBody,
    connection::{CallerAddress, ListenerLimits, connection_builder},
};

/// Functions that answer the requests of a listener's connections, some of them before their turn.
pub struct PipelinedHandler<C, F> {
    /// Value that is passed to the functions.
    pub context: C,
    /// Answers a request. The time of the call, not that of the first poll of the future, is the time
    /// of arrival. The body is `None` if the request is started ahead; it then has no body, and the
    /// function is called under the lock of the connection, so it must not block.
    pub answer: fn(C, Request<Option<Incoming>>) -> F,
    /// Returns true if the handler may be aborted while it handles the request, and the request
    /// handled again.
    pub is_repeatable: fn(&C, &request::Parts) -> bool,
    /// Returns true once the process stops. From then on, no request is started ahead, and responses
    /// carry `Connection: close` as soon as no started request is left on their connection.
    pub is_stopping: fn(&C) -> bool,
    /// Counts a request that is started ahead.
    pub count_started: fn(&C),
}

impl<C: Clone, F> Clone for PipelinedHandler<C, F> {
    fn clone(&self) -> Self {
        Self {
            context: self.context.clone(),
            ..*self
        }
    }
}

type SharedReadAhead<C, F> = Arc<Mutex<ReadAhead<C, F>>>;

fn lock<C, F>(read_ahead: &SharedReadAhead<C, F>) -> MutexGuard<'_, ReadAhead<C, F>> {
    read_ahead.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Serves one connection until it ends. After `stop` has become true, the connection is closed
/// behind the last request that is in progress or was started ahead.
pub(super) async fn serve_connection<C, F>(
    stream: TcpStream,
    caller: CallerAddress,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    handler: PipelinedHandler<C, F>,
) where
    C: Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let read_ahead = ReadAhead::new(stream, caller, limits, handler.clone());
    let read_ahead = Arc::new(Mutex::new(read_ahead));
    let shared = read_ahead.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(caller);
        let (shared, handler) = (shared.clone(), handler.clone());
        async move { Ok::<_, Infallible>(respond(&shared, &handler, request).await) }
    });
    let io = TokioIo::new(PipelinedStream(read_ahead.clone()));
    let mut connection = pin!(connection_builder(&limits).serve_connection(io, service));
    let mut stopped = pin!(stop.wait_for(|stopped| *stopped));
    let mut is_stopped = false;
    let mut is_closing = false;
    let has_completed = poll_fn(|context| {
        if !is_stopped && stopped.as_mut().poll(context).is_ready() {
            is_stopped = true;
            lock(&read_ahead).stop_scanning();
        }
        lock(&read_ahead).is_reader_waiting = false;
        if let Poll::Ready(served) = connection.as_mut().poll(context) {
            return Poll::Ready(served.is_ok());
        }
        // The HTTP library closes the connection behind the request that it handles now, so it is
        // told to do so only when no started request is left behind this one.
        if is_stopped && !is_closing && !lock(&read_ahead).has_started() {
            is_closing = true;
            connection.as_mut().graceful_shutdown();
            if let Poll::Ready(served) = connection.as_mut().poll(context) {
                return Poll::Ready(served.is_ok());
            }
        }
        lock(&read_ahead).poll_read_ahead(context).map(|()| false)
    })
    .await;
    if has_completed && let Err(error) = lock(&read_ahead).close_in_order() {
        log::debug!("a connection of a caller is reset: {error}");
    }
}

/// Answers the request whose turn has come: with the response of its handler if it was started
/// ahead, otherwise by calling the handler now.
async fn respond<C, F>(
    read_ahead: &SharedReadAhead<C, F>,
    handler: &PipelinedHandler<C, F>,
    request: Request<Incoming>,
) -> Response<ResponseBody>
where
    C: Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let version = request.version();
    let started = lock(read_ahead).begin_request(&request);
    let early = match started {
        Some(mut task) => task.join_next().await.and_then(Result::ok),
        None => None,
    };
    let mut response = match early {
        Some(response) => response,
        None => (handler.answer)(handler.context.clone(), request.map(Some)).await,
    };
    let mut read_ahead = lock(read_ahead);
    read_ahead.finish_request();
    if ends_with_connection(version, &response)
        && let Err(error) = read_ahead.reset_unless_completed()
    {
        log::debug!("a connection of a caller is not reset: {error}");
    }
    if read_ahead.has_started() {
        response.headers_mut().remove(header::CONNECTION);
    } else if (handler.is_stopping)(&handler.context) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns true if the end of the connection is the end of the response: HTTP/1.0 has no other end of
/// a body whose length is not known.
fn ends_with_connection(version: Version, response: &Response<ResponseBody>) -> bool {
    version == Version::HTTP_10 && response.body().size_hint().exact().is_none()
}

/// Byte stream that the HTTP library reads and writes: a connection whose bytes are scanned while
/// they pass.
struct PipelinedStream<C, F>(SharedReadAhead<C, F>);

impl<C, F> AsyncRead for PipelinedStream<C, F>
where
    C: Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        lock(&self.0).poll_read(context, output)
    }
}

impl<C, F> AsyncWrite for PipelinedStream<C, F>
where
    C: Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut lock(&self.0).stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        lock(&self.0).stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut lock(&self.0).stream).poll_shutdown(context)
    }
}
