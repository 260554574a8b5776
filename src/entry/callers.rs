//! Which workspace a request is for, by the API key of its caller, and the proof that this host knows the latest
//! keys.

use std::{sync::Arc, sync::atomic::AtomicBool, time::Duration};

use http::HeaderMap;
use tokio::time;

use super::{
    Entry,
    decide::trust::{self, TrustLimits, Verdict},
    model::{Configuration, Route},
    peers::message::Message,
    updates::followed::FollowedTable,
    watch,
    workspaces::WorkspaceKey,
};
use crate::{
    clock,
    platform::{headers, store::Feed},
};

/// Intervals of questions to the holder of the duty that fit into the bound of revocations.
const ASKED_IN_BOUND: u64 = 8;
/// Share of the bound after which a host without proof asks the store itself, in hundredths.
const OWN_QUESTION_PERCENT: u64 = 40;

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Its key is missing or not known.
    Unauthorized,
    /// This host cannot tell now whether its key is good.
    Unproved,
}

impl Entry {
    /// The workspace that a request is for; `None` if it needs none.
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
        let limits = TrustLimits {
            revocation_ms: self.settings.bounds.revocation_ms,
            configuration_ms: self.settings.bounds.configuration_ms,
        };
        match trust::judge(workspace.is_some(), self.configuration_age_ms(), limits) {
            Verdict::Honoured => Ok(workspace),
            Verdict::Unknown => Err(Denied::Unauthorized),
            Verdict::Unproved => Err(Denied::Unproved),
        }
    }

    /// Time since the configuration in force was surely the latest one. Without a bound of revocations the word of
    /// the holder of the duty is proof enough.
    fn configuration_age_ms(&self) -> Option<u64> {
        let followed = FollowedTable::Configuration;
        let is_told = self.freshness.is_store_confirmed()
            && !self
                .freshness
                .is_behind(followed, self.freshness.applied(followed));
        if is_told && self.settings.bounds.revocation_ms.is_none() {
            return Some(0);
        }
        self.proof.age_ms(clock::now_ms())
    }

    /// Keeps the proof that the configuration in force is the latest one, where operators bound revocations.
    pub(super) async fn keep_proving(self: Arc<Self>) {
        let Some(bound_ms) = self.settings.bounds.revocation_ms else {
            return;
        };
        let every_ms = bound_ms / ASKED_IN_BOUND;
        loop {
            time::sleep(Duration::from_millis(every_ms)).await;
            let due_ms = if self.duty.term() > 0 {
                every_ms
            } else {
                self.ask_holder_for_proof();
                bound_ms * OWN_QUESTION_PERCENT / 100
            };
            let age_ms = self.proof.age_ms(clock::now_ms());
            if age_ms.is_none_or(|age_ms| age_ms >= due_ms) && !self.ask_store_for_proof().await {
                watch::pause().await;
            }
        }
    }

    fn ask_holder_for_proof(&self) {
        let nonce = rand::random();
        self.proof.ask(nonce, clock::now_ms());
        if !self.peers.send_to_holder(&Message::AskProof { nonce }) {
            log::debug!("no holder proves the configuration");
        }
    }

    /// Asks the store whether the configuration has changed; false if it did not answer.
    async fn ask_store_for_proof(&self) -> bool {
        let followed = FollowedTable::Configuration;
        let after = self.freshness.applied(followed);
        if after == 0 {
            return false;
        }
        let asked_ms = clock::now_ms();
        let begun = AtomicBool::new(false);
        match self.store.feed(followed.table(), after, 0, &begun).await {
            Ok(Feed::Changes(changes)) => {
                self.apply_changes(followed, after, changes);
                self.proof.note(asked_ms);
                true
            }
            // The feed that follows the table reads it as a whole.
            Ok(Feed::HistoryGone) => true,
            Err(error) => {
                log::debug!("the store does not prove the configuration: {error}");
                false
            }
        }
    }

    /// What this host can prove of the configuration, for another host that has the same one.
    pub(super) fn proof_for(&self, nonce: u64) -> Option<Message> {
        let age_ms = self.proof.age_ms(clock::now_ms())?;
        Some(Message::Proof {
            nonce,
            age_ms: u32::try_from(age_ms).ok()?,
            changed: self.freshness.changed(FollowedTable::Configuration),
        })
    }

    /// Takes in another host's proof. It counts only for a host that knows no earlier configuration.
    pub(super) fn note_proof(&self, nonce: u64, age_ms: u32, changed: u64) {
        if self.freshness.changed(FollowedTable::Configuration) >= changed {
            self.proof.note_answer(nonce, u64::from(age_ms));
        }
    }
}
