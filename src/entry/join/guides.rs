//! The hosts that others may ask, as the holder of the duty names them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    entry::{
        Entry,
        peers::Guide,
        server::tag_of,
        updates::own_rows::{SEED_HOSTS_KEY, TABLE},
    },
    platform::store::{Put, Row, Transaction},
};

/// Interval at which the holder looks whether the guides are still those that it would name.
const GUIDES_EVERY_MS: u64 = 300;
/// Servers up to which a host reads the tables by itself: a few pages come sooner than another host that may be
/// starting too.
const READ_SERVERS_MAX: usize = 1_000;

/// Hosts that hand on what they know.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Guides {
    /// The hosts.
    pub hosts: Vec<Guide>,
    /// True if there are more servers than each host should read.
    pub has_many_servers: bool,
}

impl Guides {
    /// Reads a row; no guides if it cannot be read.
    pub fn decode(row: &Row) -> Self {
        serde_json::from_slice(&row.value).unwrap_or_else(|error| {
            log::warn!("guides cannot be read: {error}");
            Self::default()
        })
    }
}

impl Entry {
    /// True if there are more servers than each host should read.
    pub(super) fn has_many_servers(&self) -> bool {
        self.view.registry().servers().count() > READ_SERVERS_MAX
    }

    /// Names the hosts that others may ask, while this host has the duty.
    pub(in crate::entry) async fn keep_naming_guides(self: Arc<Self>) {
        let mut named = None;
        loop {
            time::sleep(Duration::from_millis(GUIDES_EVERY_MS)).await;
            if !self.duty.is_confirmed() || !self.peers.seal.is_known() {
                named = None;
                continue;
            }
            let guides = Guides {
                hosts: self.guides(),
                has_many_servers: self.has_many_servers(),
            };
            if named.as_ref() != Some(&guides) && self.store_guides(&guides).await {
                named = Some(guides);
            }
        }
    }

    fn guides(&self) -> Vec<Guide> {
        self.peers.guides(Guide {
            address: self.settings.listen.peers,
            zone_tag: tag_of(&self.settings.availability_zone),
        })
    }

    async fn store_guides(&self, guides: &Guides) -> bool {
        let Ok(value) = serde_json::to_vec(guides) else {
            return false;
        };
        let transaction = Transaction {
            puts: vec![Put {
                table: TABLE,
                key: SEED_HOSTS_KEY,
                value: &value,
            }],
            ..Transaction::default()
        };
        let stored = self.store.transact(&transaction).await;
        if let Err(error) = &stored {
            log::debug!("guides are not stored yet: {error}");
        }
        stored.is_ok()
    }
}
