//! HTTP/1 listeners with limits on connections, heads and time.

use std::{
    convert::Infallible, future::Future, net::SocketAddr, pin::pin, sync::Arc, time::Duration,
};

use http::{Request, Response};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    time,
};

use super::{
    ResponseBody,
    connection::{CallerAddress, ListenerLimits, connection_builder},
    pipeline::{PipelinedHandler, serve_connection},
};

/// Accepts connections on `listener` and answers each request with `handler` until `stop` becomes
/// true. Then [`serve`] closes the listener, lets the requests in flight complete for at most
/// [`ListenerLimits::drain_ms`], and returns. Nothing is read ahead on the connections. A connection
/// that the handler upgrades no longer counts.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let stopping = stop.clone();
    accept(listener, &permits, stop, |stream, caller, permit| {
        let handler = handler.clone();
        let mut stopping = stopping.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(CallerAddress(caller.ip()));
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection =
            connection_builder(&limits).serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let mut connection = pin!(connection.with_upgrades());
            let ended = tokio::select! {
                ended = &mut connection => Some(ended),
                _ = stopping.wait_for(|stopped| *stopped) => None,
            };
            if ended.is_none() {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
            drop(permit);
        });
    })
    .await;
    await_connections(&permits, &limits).await;
}

/// Does the same as [`serve`], and starts pipelined requests before their turn, within
/// [`ListenerLimits::pipelined_requests`] and [`ListenerLimits::pipelined_bytes`].
pub async fn serve_pipelined<C, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    stop: watch::Receiver<bool>,
    handler: PipelinedHandler<C, F>,
) where
    C: Clone + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.connections));
    let stopping = stop.clone();
    accept(listener, &permits, stop, |stream, caller, permit| {
        let address = CallerAddress(caller.ip());
        let connection =
            serve_connection(stream, address, limits, stopping.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    })
    .await;
    await_connections(&permits, &limits).await;
}

/// Waits until all connections have ended, at most for [`ListenerLimits::drain_ms`].
async fn await_connections(permits: &Semaphore, limits: &ListenerLimits) {
    // All permits are back when all connections have ended.
    let all = u32::try_from(limits.connections).unwrap_or(u32::MAX);
    let drain = Duration::from_millis(limits.drain_ms);
    let _ = time::timeout(drain, permits.acquire_many(all)).await;
}

/// Accepts connections until `stop` becomes true, passes each to `serve_connection` with one of the
/// `permits`, and closes the listener.
async fn accept(
    listener: TcpListener,
    permits: &Arc<Semaphore>,
    mut stop: watch::Receiver<bool>,
    serve_connection: impl Fn(TcpStream, SocketAddr, OwnedSemaphorePermit),
) {
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => return,
        };
        let Ok((stream, caller)) = accepted else {
            // `accept` usually fails because of a lack of file descriptors. The delay before the
            // next attempt gives open connections time to close.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        serve_connection(stream, caller, permit);
    }
}
