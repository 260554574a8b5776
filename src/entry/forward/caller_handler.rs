//! Handler of the callers' requests.

use std::{future::Future, sync::Arc};

use http::{Request, Response, request};
use hyper::body::Incoming;

use super::{
    route,
    stop_response::{SendState, respond_before_exit},
};
use crate::{
    clock,
    entry::Entry,
    platform::headers,
    transport::{ResponseBody, header_text, pipeline::PipelinedHandler},
};

/// Returns the handler of the callers' requests of the host `entry`.
pub fn caller_handler(
    entry: Arc<Entry>,
) -> PipelinedHandler<Arc<Entry>, impl Future<Output = Response<ResponseBody>> + Send + 'static> {
    PipelinedHandler {
        context: entry,
        answer,
        is_repeatable,
        is_stopping: |entry| entry.stopping(),
        count_started: |entry| entry.metrics.pipelined_request(),
    }
}

fn answer(
    entry: Arc<Entry>,
    request: Request<Option<Incoming>>,
) -> impl Future<Output = Response<ResponseBody>> + Send + 'static {
    // A request that is started ahead runs in a task, which may be polled much later on a host with
    // little processor time.
    let arrived_ms = clock::now_ms();
    async move {
        let request_guard = entry.track_request();
        let request_id = header_text(request.headers(), headers::REQUEST_ID.as_str());
        let request_id = request_id.unwrap_or_default().to_owned();
        let send_state = Arc::new(SendState::default());
        let routing = route(entry.clone(), request, arrived_ms, send_state.clone());
        let response = respond_before_exit(&entry, &send_state, request_id, routing).await;
        drop(request_guard);
        response
    }
}

fn is_repeatable(entry: &Arc<Entry>, head: &request::Parts) -> bool {
    let Some(configuration) = entry.view.configuration() else {
        return false;
    };
    let host = header_text(&head.headers, "host").unwrap_or_default();
    let route = configuration.route(host, head.uri.path());
    route.is_some_and(|route| route.repeatable)
}
