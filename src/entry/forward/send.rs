//! Sends the request of an attempt on its connection, and waits for the head of the response.

use std::{sync::Arc, time::Duration};

use http::{HeaderValue, Request, Response};
use tokio::time;

use super::{
    attempt_outcome::{AttemptOutcome, GivenUp},
    body::Resend,
    forwarded_request::{ATTEMPT_MS_MIN, ForwardedRequest},
};
use crate::{
    entry::{
        Entry,
        pool::{Connection, SendError},
        server::Server,
        server_path::Route,
    },
    platform::headers,
    transport::{IncomingBody, ResponseBody},
};

/// Interval at which a request that waits on a lost connection asks for a token of the retry budget.
const RETRY_TOKEN_EVERY_MS: u64 = 100;

impl ForwardedRequest<'_> {
    /// Sends the request and waits for the head of the response. A server may close an idle
    /// connection at the moment of its reuse: if no part of the request was written, the request is
    /// sent again on a new connection.
    pub(super) async fn send(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<Response<IncomingBody>, AttemptOutcome> {
        let sent = self
            .send_once(entry, server, connection, request, resend)
            .await?;
        if let Some(idle_ms) = connection.unanswered_idle_ms() {
            entry.note_reuse_failed(server, idle_ms);
        }
        let mut request = match sent {
            Err(SendError::NotWritten { request, source }) => {
                log::debug!("request not written to {}: {source}", server.entry.id);
                request
            }
            sent => return sent.map_err(not_answered),
        };
        *connection = self.new_connection(entry, server).await?;
        let left_ms = HeaderValue::from(self.left_ms());
        request.headers_mut().insert(headers::DEADLINE_MS, left_ms);
        let sent = self
            .send_once(entry, server, connection, *request, resend)
            .await?;
        sent.map_err(not_answered)
    }

    /// Sends the request on a connection, unless the caller has left, or was told at the end of the
    /// grace period of a planned stop that it may repeat the request.
    async fn send_once(
        &self,
        entry: &Entry,
        server: &Server,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<Result<Response<IncomingBody>, SendError>, AttemptOutcome> {
        if self.caller.has_left() {
            return Err(AttemptOutcome::CallerLeft);
        }
        let Some(sent_before) = self.send_state.begin_send() else {
            return Err(AttemptOutcome::NotSent("this host stops".to_owned()));
        };
        let sent = if connection.tunnel().is_some() {
            entry.metrics.tunnelled_request();
            connection.send(request).await
        } else {
            self.send_directly(entry, server, connection, request, resend)
                .await?
        };
        if let Err(SendError::NotWritten { .. }) = &sent {
            self.send_state.not_written(sent_before);
        }
        Ok(sent)
    }

    /// Sends the request on a direct connection. Once the direct connections to the server are found
    /// to be lost, waits for the response only until the request can be sent again.
    async fn send_directly(
        &self,
        entry: &Entry,
        server: &Server,
        connection: &mut Connection,
        request: Request<ResponseBody>,
        resend: Resend,
    ) -> Result<Result<Response<IncomingBody>, SendError>, AttemptOutcome> {
        server.path.note_sent();
        tokio::select! {
            biased;
            sent = connection.send(request) => {
                if let Err(SendError::InvalidHead { .. }) = &sent {
                    entry.note_direct_response(server);
                }
                Ok(sent)
            }
            tunnel = self.tunnel_after_loss(entry, server, resend) => {
                Err(AttemptOutcome::PathLost(tunnel))
            }
        }
    }

    /// Waits until the direct connections to the server are found to be lost, a tunnel to the server
    /// is open and the request may be sent again; returns the tunnel. Until then the response may still
    /// come: the path can heal, or the conclusion can be wrong.
    async fn tunnel_after_loss(
        &self,
        entry: &Entry,
        server: &Server,
        resend: Resend,
    ) -> Connection {
        loop {
            server.path.connections_lost().await;
            while server.path.route() == Route::Tunnel {
                if self.could_leave(entry, server, resend)
                    && let Some(tunnel) = entry.open_tunnel_to(server, self.left_ms()).await
                    && self.could_leave(entry, server, resend)
                    && self.may_send_again(entry, self.attempts + 1, resend)
                {
                    return tunnel;
                }
                time::sleep(Duration::from_millis(RETRY_TOKEN_EVERY_MS)).await;
            }
            // The path is usable again, but this connection may be gone: silence shows it.
            server.path.note_sent();
        }
    }

    /// Returns true if the path to the server is lost, the request may be sent there again at present,
    /// and the server can be expected to respond in the time that is left.
    fn could_leave(&self, entry: &Entry, server: &Server, resend: Resend) -> bool {
        let has_time = self.left_ms() > server.run_ms() as u64 + ATTEMPT_MS_MIN;
        let is_suspect = entry.crashes.is_suspect(self.digests)
            || entry.crashes.remaining_ms(self.digests).is_some();
        server.path.route() == Route::Tunnel
            && server.backoff_ms() == 0
            && has_time
            && !is_suspect
            && self.could_send_again(entry, self.attempts + 1, resend)
    }
}

/// Returns the result of an attempt whose connection gave no response.
fn not_answered(error: SendError) -> AttemptOutcome {
    match error {
        SendError::NotWritten { source, .. } => AttemptOutcome::NotSent(source.to_string()),
        SendError::Lost { source } => AttemptOutcome::ConnectionLost(source.to_string()),
        SendError::InvalidHead { source } => AttemptOutcome::Unknown {
            cause: GivenUp::InvalidHead,
            reason: source.to_string(),
        },
    }
}
