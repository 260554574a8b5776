//! Authenticates callers by API key, and confirms that this host's configuration, which contains
//! the keys, is recent enough to honour revocations.

use std::{sync::Arc, sync::atomic::AtomicBool, time::Duration};

use http::HeaderMap;
use tokio::time;

use super::{
    Entry,
    decide::api_key_status::{self, ApiKeyLimits, ApiKeyStatus},
    model::{Configuration, Route},
    pauses,
    peers::message::Message,
    updates::followed::FollowedTable,
    workspaces::WorkspaceKey,
};
use crate::{
    clock,
    platform::{headers, store::Feed},
};

/// Number of queries that a host sends to the leader within the bound on revocations, which is the
/// time after which a revoked API key must no longer be accepted. Each response refreshes the
/// confirmation of the configuration before the confirmation exceeds the bound.
const CONFIRMATIONS_PER_BOUND: u64 = 8;
/// Age of the confirmation of the configuration, in percent of the bound on revocations, from which
/// a host that is not the leader queries the store itself.
const STORE_QUERY_PERCENT: u64 = 40;

/// Reason why a caller is refused at authentication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The request has no API key, or an API key that the configuration does not contain.
    Unauthorized,
    /// This host cannot verify the API key, because its configuration may be out of date.
    Unverified,
}

impl Entry {
    /// Finds the workspace of a request by the API key in the request's headers. Returns `None` if
    /// the route is public or the configuration has no workspaces.
    pub(super) fn workspace_of(
        &self,
        configuration: &Configuration,
        route: &Route,
        headers: &HeaderMap,
    ) -> Result<Option<WorkspaceKey>, Denied> {
        let Some(workspaces) = configuration.workspaces().filter(|_| !route.is_public) else {
            return Ok(None);
        };
        let api_key = headers::api_key(headers);
        let workspace = api_key.and_then(|api_key| workspaces.by_api_key(api_key));
        let limits = ApiKeyLimits {
            revocation_ms: self.settings.bounds.revocation_ms,
            configuration_ms: self.settings.bounds.configuration_ms,
        };
        match api_key_status::check_api_key(
            workspace.is_some(),
            self.configuration_age_ms(),
            limits,
        ) {
            ApiKeyStatus::Accepted => Ok(workspace),
            ApiKeyStatus::Unknown => Err(Denied::Unauthorized),
            ApiKeyStatus::Unverified => Err(Denied::Unverified),
        }
    }

    /// Returns the time since the configuration in force was confirmed to be the latest one, in
    /// milliseconds. Returns `None` if no configuration was ever confirmed, or if the latest
    /// configuration cannot be decoded. Without a bound on revocations, a recent report from the
    /// leader or a relay that shows no later change counts as confirmation.
    fn configuration_age_ms(&self) -> Option<u64> {
        let followed = FollowedTable::Configuration;
        let is_confirmed_by_leader = self.freshness.is_store_confirmed()
            && !self
                .freshness
                .is_behind(followed, self.freshness.versions.applied(followed));
        if is_confirmed_by_leader && self.settings.bounds.revocation_ms.is_none() {
            return Some(0);
        }
        self.confirmation.age_ms(clock::now_ms())
    }

    /// Repeatedly confirms that the configuration in force is the latest one, if the operators have
    /// set a bound on revocations. The leader queries the store; the other hosts query the leader,
    /// and query the store if the leader does not respond.
    pub(super) async fn keep_configuration_confirmed(self: Arc<Self>) {
        let Some(bound_ms) = self.settings.bounds.revocation_ms else {
            return;
        };
        let every_ms = bound_ms / CONFIRMATIONS_PER_BOUND;
        loop {
            time::sleep(Duration::from_millis(every_ms)).await;
            let due_ms = if self.leadership.term() > 0 {
                every_ms
            } else {
                self.query_confirmation();
                bound_ms * STORE_QUERY_PERCENT / 100
            };
            let age_ms = self.confirmation.age_ms(clock::now_ms());
            if age_ms.is_none_or(|age_ms| age_ms >= due_ms) && !self.confirm_with_store().await {
                pauses::pause().await;
            }
        }
    }

    /// Queries the leader for the age of the leader's own confirmation of the configuration. The
    /// response repeats the nonce, by which this host finds the time of the query.
    fn query_confirmation(&self) {
        let nonce = rand::random();
        self.confirmation.start_query(nonce, clock::now_ms());
        if !self
            .peers
            .send_to_leader(&Message::QueryConfigurationAge { nonce })
        {
            log::debug!("configuration not confirmed: no leader can be reached");
        }
    }

    /// Queries the store for changes of the configuration since the version that this host has
    /// applied. Returns false if the store did not answer, or the configuration was never read.
    async fn confirm_with_store(&self) -> bool {
        let followed = FollowedTable::Configuration;
        let after = self.freshness.versions.applied(followed);
        if after == 0 {
            return false;
        }
        let sent_ms = clock::now_ms();
        let begun = AtomicBool::new(false);
        match self.store.feed(followed.table(), after, 0, &begun).await {
            Ok(Feed::Changes(changes)) => {
                self.apply_changes(followed, after, changes);
                self.confirmation.note(sent_ms);
                true
            }
            // The store no longer has the changes since `after`. The task that follows the feed of
            // the table reads the whole table instead.
            Ok(Feed::HistoryGone) => true,
            Err(error) => {
                log::debug!("configuration not confirmed by the store: {error}");
                false
            }
        }
    }

    /// Returns the age of this host's latest confirmation of its configuration, as the response to
    /// another host's query. Returns `None` if the configuration was never confirmed, or the latest
    /// one cannot be decoded.
    pub(super) fn confirmation_for(&self, nonce: u64) -> Option<Message> {
        let age_ms = self.confirmation.age_ms(clock::now_ms())?;
        Some(Message::ConfigurationAge {
            nonce,
            age_ms: u32::try_from(age_ms).ok()?,
            changed: self
                .freshness
                .versions
                .changed(FollowedTable::Configuration),
        })
    }

    /// Records another host's response to a query that this host sent. The response is ignored if
    /// the other host knows a later change of the configuration than this host.
    pub(super) fn note_confirmation(&self, nonce: u64, age_ms: u32, changed: u64) {
        if self
            .freshness
            .versions
            .changed(FollowedTable::Configuration)
            >= changed
        {
            self.confirmation.note_response(nonce, u64::from(age_ms));
        }
    }
}
