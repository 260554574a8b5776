//! Timeouts and rests that follow from the bounds which the users set.
//!
//! Whatever lies on the path of a promise (a resting feed, a heartbeat of the holder that is relied on, a
//! call of this host's own) has its share here, and the sum of each path stays under the bound.

use std::fmt;

use super::{bounds::Bounds, watch::RETRY_PAUSE_LONGEST_MS};
use crate::platform::store::FEED_SLACK_MS;

/// Time for a call to the store after a wait: a connection, one lost packet, and the answer.
const CALL_MS: u64 = 350;
/// Timers that fire late, and the path of a request that was sent just before.
const LATE_MS: u64 = 150;
/// Interval at which a resting or waiting feed looks whether it must hurry.
pub const POLL_EVERY_MS: u64 = 100;
/// Least time that must be left for relying on the holder of the duty. With less, its heartbeat would
/// be too old whenever it arrives.
const TRUST_MIN_MS: u64 = 200;
/// Longest time for which the holder is relied on. More would save no calls: it confirms its duty
/// and speaks several times in it.
const TRUST_MAX_MS: u64 = 2_000;
/// Longest interval at which the holder speaks.
const HOLDER_HEARTBEAT_MAX_MS: u64 = 300;
/// Longest time for which a host may be behind what the holder tells.
const LAG_GRACE_MAX_MS: u64 = 400;
/// Longest rest of the holder's feed of servers' entries, so that changes that come together cost
/// one call.
const HOLDER_REST_MAX_MS: u64 = 250;
/// Longest wait of the holder's feeds. Calls are priced, and the holder makes them all the time.
const HOLDER_WAIT_MAX_MS: u64 = 3_000;
/// Longest rest of the feeds of a host that hears no holder, and of the configuration's feed.
const SERVERS_REST_MAX_MS: u64 = 1_500;
const CONFIGURATION_REST_MAX_MS: u64 = 500;

/// Longest time for which keys are served in an evacuated zone. Moves end within a few work times.
const EVACUATION_HOLD_MAX_MS: u64 = 2_500;

/// Timeouts and rests of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Age of what the holder of the duty tells up to which it is relied on: a holder may be lost
    /// just after it spoke, and just before it could pass on that a server leaves.
    pub trust_ms: u64,
    /// Interval at which the holder speaks; several fit into the time for which it is relied on.
    pub holder_heartbeat_ms: u64,
    /// Rest of the holder's feed of servers' entries.
    pub holder_rest_ms: u64,
    /// Longest wait of the holder's feed at the store: it has nobody who tells it that its
    /// connection has fallen silent.
    pub holder_wait_ms: u64,
    /// Wait of the feeds of a relay that answers for the holder: the others ask it often.
    pub relay_wait_ms: u64,
    /// Interval at which a host asks the relays of its zone while it doubts the holder: several fit into the time from the
    /// doubt until the holder is no longer relied on.
    pub ask_relay_every_ms: u64,
    /// Pause of a host among many between its own calls while neither the holder nor a relay vouches for the store: two
    /// fit into the time in which nobody is owed a bound.
    pub alone_pause_ms: u64,
    /// Time in which other hosts may tell a host what it has missed, before it asks the store.
    pub catch_up_ms: u64,
    /// Longest rest of the feed of servers' entries while no holder is heard.
    pub servers_rest_ms: u64,
    /// Longest rest of the configuration's feed.
    pub configuration_rest_ms: u64,
    /// Time for which a host may be behind what the holder tells before it asks the store: an answer
    /// or what the holder passes on may be on its way.
    pub lag_grace_ms: u64,
    /// Time after its start, or after the store has forgotten its history, for which a host waits to hear a holder.
    pub start_rest_ms: u64,
    /// Time for which keys of an evacuated zone are served there, after a host has learned of the
    /// evacuation: they go to other servers meanwhile.
    pub evacuation_hold_ms: u64,
    /// Time for which requests go to a server for its keys after it has told this host in an answer that it
    /// leaves: they go to other servers meanwhile, unless the store is away.
    pub notice_hold_ms: u64,
}

/// One path on which a promise is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingPath {
    /// What happens.
    pub name: &'static str,
    /// The bound's name in the settings.
    pub bound: &'static str,
    /// Longest time that it takes.
    pub worst_ms: u64,
    /// Time that the users allow.
    pub bound_ms: u64,
}

impl fmt::Display for TimingPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            bound,
            worst_ms,
            bound_ms,
        } = self;
        write!(
            formatter,
            "bounds.{bound} of {bound_ms} ms cannot be kept when {name}: that takes {worst_ms} ms"
        )
    }
}

impl TimingPath {
    /// True if the promise is kept on this path.
    pub fn is_met(&self) -> bool {
        self.worst_ms <= self.bound_ms
    }
}

impl TimeLimits {
    /// The limits for bounds; [`Self::paths`] tells whether they keep them.
    pub fn new(bounds: &Bounds) -> Self {
        let after_wait_ms = POLL_EVERY_MS + CALL_MS + LATE_MS;
        let room = |bound_ms: u64| bound_ms.saturating_sub(after_wait_ms).max(TRUST_MIN_MS);
        let drain_room_ms = room(bounds.drain_ms);
        let configuration_room_ms = room(bounds.configuration_ms);
        let trust_ms = drain_room_ms
            .min(configuration_room_ms)
            .min(room(bounds.evacuation_ms))
            .min(TRUST_MAX_MS);
        let evacuation_known_ms = trust_ms + after_wait_ms;
        Self {
            trust_ms,
            holder_heartbeat_ms: (trust_ms / 4).min(HOLDER_HEARTBEAT_MAX_MS),
            holder_rest_ms: (trust_ms / 4).min(HOLDER_REST_MAX_MS),
            holder_wait_ms: (bounds.contact_ms + drain_room_ms.min(configuration_room_ms))
                .saturating_sub(FEED_SLACK_MS)
                .clamp(TRUST_MIN_MS, HOLDER_WAIT_MAX_MS),
            relay_wait_ms: trust_ms / 16,
            ask_relay_every_ms: trust_ms / 16,
            catch_up_ms: trust_ms / 5,
            alone_pause_ms: bounds.contact_ms / 2,
            servers_rest_ms: drain_room_ms.min(SERVERS_REST_MAX_MS),
            configuration_rest_ms: configuration_room_ms.min(CONFIGURATION_REST_MAX_MS),
            lag_grace_ms: (trust_ms * 3 / 10).min(LAG_GRACE_MAX_MS),
            start_rest_ms: bounds.contact_ms.saturating_sub(CALL_MS),
            evacuation_hold_ms: bounds
                .evacuation_ms
                .saturating_sub(evacuation_known_ms + LATE_MS)
                .min(EVACUATION_HOLD_MAX_MS),
            notice_hold_ms: bounds.drain_ms.saturating_sub(LATE_MS),
        }
    }

    /// Interval of the holder's confirmations: the store's last answer to it must be young enough
    /// to be relied on until the next heartbeat but one.
    pub fn confirm_every_ms(&self, wanted_ms: u64) -> u64 {
        wanted_ms.min(self.trust_ms / 2)
    }

    /// All paths on which hosts learn of leaving servers and of configurations.
    pub fn paths(&self, bounds: &Bounds) -> [TimingPath; 12] {
        let drain = |name, wait_ms| TimingPath {
            name,
            bound: "drain",
            worst_ms: wait_ms + CALL_MS + LATE_MS,
            bound_ms: bounds.drain_ms,
        };
        let configuration = |name, wait_ms| TimingPath {
            name,
            bound: "configuration",
            worst_ms: wait_ms + CALL_MS + LATE_MS,
            bound_ms: bounds.configuration_ms,
        };
        let evacuation = |name, wait_ms| TimingPath {
            name,
            bound: "evacuation",
            worst_ms: wait_ms + self.evacuation_hold_ms + CALL_MS + 2 * LATE_MS,
            bound_ms: bounds.evacuation_ms,
        };
        let next_heartbeat_ms = self.holder_rest_ms + 2 * self.holder_heartbeat_ms + POLL_EVERY_MS;
        [
            drain(
                "the holder is lost before it passes on that a server leaves",
                self.trust_ms + POLL_EVERY_MS,
            ),
            drain(
                "the message that a server leaves is lost, and the holder's next heartbeat shows it",
                next_heartbeat_ms + self.catch_up_ms,
            ),
            TimingPath {
                name: "the holder's connection to the store has fallen silent",
                bound: "contact",
                worst_ms: self.holder_wait_ms + FEED_SLACK_MS + CALL_MS + LATE_MS,
                bound_ms: bounds.contact_ms + bounds.drain_ms.min(bounds.configuration_ms),
            },
            drain("no holder is heard", self.servers_rest_ms),
            TimingPath {
                name: "neither the holder nor a relay is heard as the store comes back",
                bound: "contact",
                worst_ms: self.alone_pause_ms + RETRY_PAUSE_LONGEST_MS + CALL_MS + LATE_MS,
                bound_ms: bounds.contact_ms + bounds.drain_ms.min(bounds.configuration_ms),
            },
            TimingPath {
                name: "a server says in its answers that it leaves",
                bound: "drain",
                worst_ms: self.notice_hold_ms + LATE_MS,
                bound_ms: bounds.drain_ms,
            },
            configuration(
                "the holder is lost before it passes the configuration on",
                self.trust_ms + POLL_EVERY_MS,
            ),
            configuration(
                "a piece of the configuration is lost, and the holder's next heartbeat shows it",
                self.holder_rest_ms
                    + self.holder_heartbeat_ms
                    + self.lag_grace_ms
                    + POLL_EVERY_MS
                    + self.catch_up_ms,
            ),
            evacuation(
                "the holder is lost before it passes on that a zone is evacuated",
                self.trust_ms + POLL_EVERY_MS,
            ),
            evacuation(
                "no holder is heard as a zone is evacuated",
                self.configuration_rest_ms,
            ),
            TimingPath {
                name: "a zone is evacuated while the holder's connection to the store is silent",
                bound: "evacuation",
                worst_ms: self.holder_wait_ms
                    + FEED_SLACK_MS
                    + self.evacuation_hold_ms
                    + CALL_MS
                    + 2 * LATE_MS,
                bound_ms: bounds.contact_ms + bounds.evacuation_ms,
            },
            configuration(
                "the configuration changes while its feed rests",
                self.configuration_rest_ms,
            ),
        ]
    }
}
