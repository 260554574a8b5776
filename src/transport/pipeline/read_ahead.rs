//! Reads the requests of one connection ahead and starts those that may be started before their
//! turn.

use std::{
    collections::VecDeque,
    future::Future,
    io, mem,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BufMut, BytesMut};
use http::{HeaderMap, Method, Request, Response, Uri};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, ReadBuf},
    net::TcpStream,
    task::JoinSet,
};

use super::{
    PipelinedHandler,
    head::{self, Head, Parsed},
};
use crate::transport::{CallerAddress, ListenerLimits, ResponseBody};

/// Maximum number of bytes that one read from the socket adds to the buffer. Most heads fit.
const READ_BYTES: usize = 4_096;

/// Task that handles a request which was started ahead. Dropping it aborts the handler.
pub(super) type HandlerTask = JoinSet<Response<ResponseBody>>;

/// What the next unscanned byte of the connection belongs to.
enum Position {
    /// The head of a request.
    Head,
    /// The body of a request, of which this number of bytes is left.
    Body(u64),
    /// Anything: reading ahead has ended, and all bytes are passed on.
    Unscanned,
}

/// Request whose head was scanned, and which the HTTP library has not passed to the service yet.
struct WaitingRequest {
    is_blocking: bool,
    started: Option<Box<StartedRequest>>,
}

struct StartedRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    task: HandlerTask,
}

/// State of one connection. The HTTP library reads the connection's bytes from here; it gets the
/// bytes of a head only when the head is complete and scanned.
pub(super) struct ReadAhead<C, F> {
    pub(super) stream: TcpStream,
    /// True if the HTTP library waits for bytes since it was last polled. It then reads the socket
    /// itself.
    pub(super) is_reader_waiting: bool,
    handler: PipelinedHandler<C, F>,
    caller: CallerAddress,
    limits: ListenerLimits,
    position: Position,
    /// Bytes that were read and not passed on yet. Without capacity while there are none.
    buffer: BytesMut,
    /// Number of bytes at the beginning of `buffer` that were scanned.
    scanned_bytes: usize,
    /// Length of the incomplete head behind the scanned bytes when it was last parsed; 0 if there is
    /// none.
    partial_bytes: usize,
    /// True if the caller has closed its side of the connection.
    is_eof: bool,
    /// Requests that were scanned and not passed to the service yet, in their order.
    waiting: VecDeque<WaitingRequest>,
    /// Request that the service handles; the value tells whether it is blocking.
    current: Option<bool>,
}

impl<C, F> ReadAhead<C, F>
where
    C: Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    pub(super) fn new(
        stream: TcpStream,
        caller: CallerAddress,
        limits: ListenerLimits,
        handler: PipelinedHandler<C, F>,
    ) -> Self {
        let is_on = limits.pipelined_requests > 0 && limits.pipelined_bytes > 0;
        Self {
            stream,
            is_reader_waiting: false,
            handler,
            caller,
            limits,
            position: if is_on {
                Position::Head
            } else {
                Position::Unscanned
            },
            buffer: BytesMut::new(),
            scanned_bytes: 0,
            partial_bytes: 0,
            is_eof: false,
            waiting: VecDeque::new(),
            current: None,
        }
    }

    /// Stops scanning: from now on, all bytes are passed on, and no request is started ahead.
    pub(super) fn stop_scanning(&mut self) {
        self.position = Position::Unscanned;
        self.scanned_bytes = self.buffer.len();
        self.partial_bytes = 0;
    }

    /// Returns true if requests were started ahead whose turn has not come.
    pub(super) fn has_started(&self) -> bool {
        self.waiting.iter().any(|request| request.started.is_some())
    }

    /// Notes that the HTTP library has passed a request to the service. Returns its handler if the
    /// request was started ahead.
    pub(super) fn begin_request<B>(&mut self, request: &Request<B>) -> Option<HandlerTask> {
        let Some(scanned) = self.waiting.pop_front() else {
            // The HTTP library found a request where the scan found none.
            self.stop_scanning();
            self.current = Some(true);
            return None;
        };
        self.current = Some(scanned.is_blocking);
        let started = scanned.started?;
        if started.method == request.method()
            && started.target == *request.uri()
            && started.headers == *request.headers()
        {
            return Some(started.task);
        }
        // The HTTP library judges this head differently, so it may disagree about later ones too.
        self.waiting.clear();
        self.stop_scanning();
        None
    }

    /// Notes that the request that was passed to the service last has a response.
    pub(super) fn finish_request(&mut self) {
        self.current = None;
    }

    /// Makes the operating system reset the connection whenever it is closed, also by the death of this
    /// process, until [`Self::close_in_order`] is called: its end would make a response that ends with
    /// the connection look whole.
    pub(super) fn reset_unless_completed(&self) -> io::Result<()> {
        self.stream.set_zero_linger()
    }

    /// Makes the operating system close the connection in order.
    pub(super) fn close_in_order(&self) -> io::Result<()> {
        SockRef::from(&self.stream).set_linger(None)
    }

    /// Passes on the next bytes of the connection.
    pub(super) fn poll_read(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.poll_scanned(context, output);
        self.is_reader_waiting = read.is_pending();
        read
    }

    fn poll_scanned(
        &mut self,
        context: &mut Context<'_>,
        output: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            self.scan_buffer();
            if self.is_eof {
                // Nothing will complete the last head.
                self.scanned_bytes = self.buffer.len();
                self.partial_bytes = 0;
            }
            if self.scanned_bytes > 0 || self.is_eof {
                self.pass_on(output);
                return Poll::Ready(Ok(()));
            }
            if self.buffer.is_empty() {
                let before = output.filled().len();
                ready!(Pin::new(&mut self.stream).poll_read(context, output))?;
                let bytes = &output.filled()[before..];
                self.is_eof = bytes.is_empty();
                let scanned_bytes = self.scan(bytes);
                self.buffer.extend_from_slice(&bytes[scanned_bytes..]);
                output.set_filled(before + scanned_bytes);
                if scanned_bytes > 0 {
                    return Poll::Ready(Ok(()));
                }
            } else if self.waiting.len() >= self.limits.pipelined_requests {
                // The HTTP library has all bytes of the waiting requests and reads on, so it takes
                // them for something else.
                self.stop_scanning();
            } else {
                ready!(self.poll_fill(context))?;
            }
        }
    }

    fn pass_on(&mut self, output: &mut ReadBuf<'_>) {
        let bytes = self.scanned_bytes.min(output.remaining());
        output.put_slice(&self.buffer[..bytes]);
        self.buffer.advance(bytes);
        self.scanned_bytes -= bytes;
        if self.buffer.is_empty() {
            // Returns the memory, since thousands of connections are open.
            self.buffer = BytesMut::new();
        }
    }

    /// Reads ahead while the HTTP library does not read. Returns `Ready` if the connection has
    /// ended, so that its unanswered requests are cancelled.
    pub(super) fn poll_read_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            self.scan_buffer();
            if !self.reads_ahead() {
                return Poll::Pending;
            }
            if self.is_eof || ready!(self.poll_fill(context)).is_err() {
                return Poll::Ready(());
            }
        }
    }

    /// Returns true if the socket is read ahead: nothing else reads it, and further requests could
    /// be started or started ones wait for their turn. The latter are cancelled when the caller
    /// disconnects, which only a read shows.
    fn reads_ahead(&self) -> bool {
        let is_scanned = !matches!(self.position, Position::Unscanned);
        !self.is_reader_waiting
            && self.buffer.len() + READ_BYTES <= self.limits.pipelined_bytes
            && (self.has_started() || (is_scanned && self.allows_start()))
    }

    /// Returns true if there are unanswered requests, and none of them is blocking.
    fn allows_start(&self) -> bool {
        let is_unanswered = self.current.is_some() || !self.waiting.is_empty();
        let is_blocked =
            self.current == Some(true) || self.waiting.iter().any(|request| request.is_blocking);
        is_unanswered && !is_blocked
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            self.buffer.reserve(READ_BYTES);
            match self
                .stream
                .try_read_buf(&mut (&mut self.buffer).limit(READ_BYTES))
            {
                Ok(bytes) => {
                    self.is_eof = bytes == 0;
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if self.buffer.is_empty() {
                        self.buffer = BytesMut::new();
                    }
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn scan_buffer(&mut self) {
        if self.scanned_bytes == self.buffer.len() {
            return;
        }
        let mut buffer = mem::take(&mut self.buffer);
        let scanned_bytes = self.scan(&buffer[self.scanned_bytes..]);
        self.scanned_bytes += scanned_bytes;
        mem::swap(&mut self.buffer, &mut buffer);
    }

    /// Scans bytes that follow those scanned before, and starts requests. Returns the number of
    /// bytes that may be passed on: it ends before a head that is not complete or that exceeds the
    /// limit of waiting requests.
    fn scan(&mut self, bytes: &[u8]) -> usize {
        let mut scanned_bytes = 0;
        loop {
            let rest = &bytes[scanned_bytes..];
            match self.position {
                Position::Unscanned => return bytes.len(),
                Position::Body(left) => {
                    let skipped = left.min(rest.len() as u64);
                    scanned_bytes += skipped as usize;
                    if skipped < left {
                        self.position = Position::Body(left - skipped);
                        return scanned_bytes;
                    }
                    self.position = Position::Head;
                }
                Position::Head => {
                    let is_full = self.waiting.len() >= self.limits.pipelined_requests;
                    if rest.is_empty() || is_full {
                        return scanned_bytes;
                    }
                    let is_at_limit = rest.len() >= self.limits.head_bytes;
                    if !is_at_limit && !head::may_be_complete(rest, self.partial_bytes) {
                        return scanned_bytes;
                    }
                    let parsed = head::parse(rest, self.allows_start());
                    self.partial_bytes = 0;
                    match parsed {
                        Parsed::Partial if !is_at_limit => {
                            self.partial_bytes = rest.len();
                            return scanned_bytes;
                        }
                        Parsed::Partial | Parsed::Unclear => self.position = Position::Unscanned,
                        Parsed::Complete(head) => {
                            scanned_bytes += head.head_bytes;
                            self.position = Position::Body(head.body_bytes);
                            self.add(head);
                        }
                    }
                }
            }
        }
    }

    /// Adds a request to those that wait for their turn, and starts it if it may be started.
    fn add(&mut self, head: Head) {
        let started = head.request.and_then(|parts| {
            let handler = &self.handler;
            let context = &handler.context;
            if (handler.is_stopping)(context) || !(handler.is_repeatable)(context, &parts) {
                return None;
            }
            let (method, target) = (parts.method.clone(), parts.uri.clone());
            let headers = parts.headers.clone();
            let mut request = Request::from_parts(*parts, None);
            request.extensions_mut().insert(self.caller);
            let mut task = JoinSet::new();
            task.spawn((handler.answer)(context.clone(), request));
            (handler.count_started)(context);
            Some(Box::new(StartedRequest {
                method,
                target,
                headers,
                task,
            }))
        });
        self.waiting.push_back(WaitingRequest {
            is_blocking: head.is_blocking,
            started,
        });
    }
}
