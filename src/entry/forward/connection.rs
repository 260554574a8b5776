//! Connection of an attempt: an idle one to the server, or a new one.

use std::sync::Arc;

use super::{attempt_outcome::AttemptOutcome, forwarded_request::ForwardedRequest};
use crate::entry::{
    Entry,
    pool::{ConnectError, Connection},
    server::Server,
    server_path::Route,
};

impl ForwardedRequest<'_> {
    /// Returns an idle connection to the server, or opens a connection. Returns
    /// [`AttemptOutcome::InBackoff`] if the server has asked this host for a backoff. The backoff
    /// is checked before and after connecting, because the server may ask for a backoff while the
    /// request waits for competing trial claims from other hosts, or while the connection is being
    /// opened.
    pub(super) async fn connection(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, AttemptOutcome> {
        if server.backoff_ms() > 0 {
            return Err(AttemptOutcome::InBackoff);
        }
        let repeatable = self.route.repeatable;
        let bound_ms = entry.idle_reuses.bound_ms(&self.service, repeatable);
        let bound_ms = bound_ms.filter(|_| entry.settings.policy.bounds_idle_reuse);
        if let Some(connection) = server.pool.take(bound_ms) {
            return Ok(connection);
        }
        self.new_connection(entry, server).await
    }

    /// Opens a connection to the server, unless the server has asked this host for a backoff.
    pub(super) async fn new_connection(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, AttemptOutcome> {
        let connection = self.connect(entry, server).await?;
        if server.backoff_ms() > 0 {
            if is_kept(&connection, server) {
                server.pool.keep(connection);
            }
            return Err(AttemptOutcome::InBackoff);
        }
        Ok(connection)
    }

    /// Opens a connection to the server, and starts a liveness probe of the server if the
    /// connection is refused.
    async fn connect(
        &self,
        entry: &Arc<Entry>,
        server: &Arc<Server>,
    ) -> Result<Connection, AttemptOutcome> {
        let connected = entry.connect(server, self.left_ms()).await;
        connected.map_err(|error| {
            if matches!(error, ConnectError::Refused { .. }) {
                // A refused connection may be the only sign of a crash: if the callers of all
                // requests at the server had disconnected before the crash, no request fails on a
                // broken connection.
                entry.probe_liveness(server);
            }
            AttemptOutcome::NotSent(error.to_string())
        })
    }
}

/// Returns true if a connection may be reused. A tunnel is used only while the path to the server is
/// lost, because it breaks when its host stops.
pub(super) fn is_kept(connection: &Connection, server: &Server) -> bool {
    connection.tunnel().is_none() || server.path.route() == Route::Tunnel
}
