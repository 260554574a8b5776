//! Timeouts and pauses derived from the bounds in the settings.
//!
//! A bound covers a chain of delays, such as the pause of a feed, a heartbeat interval of the
//! leader and a call from this host to the store. Each delay gets a part of the bound, and the
//! delays of each chain must add up to no more than the bound.

use std::fmt;

use super::{bounds::Bounds, pauses::RETRY_PAUSE_LONGEST_MS};
use crate::platform::store::FEED_SLACK_MS;

/// Time for a call to the store, not counting the wait of a feed call for changes: connecting, the
/// retransmission of one lost packet, and the response.
const CALL_MS: u64 = 350;
/// Allowance for timers that fire late, and for the delivery of a request that a host sent to a
/// server right before the host learned of a change.
pub const LATE_MS: u64 = 150;
/// Interval at which a feed (a task that reads the changes of a table) checks during a pause or a
/// wait whether it must call the store at once.
pub const POLL_EVERY_MS: u64 = 100;
/// Shortest trust period, which is the age up to which a host trusts the leader's reports on the
/// store. With a shorter period, every heartbeat from the leader would be too old on arrival.
const TRUST_MIN_MS: u64 = 200;
/// Longest trust period, which is the age up to which a host trusts the leader's reports on the
/// store. A longer period would save no calls to the store, because the leader confirms its
/// leadership and sends several heartbeats within 2 s.
const TRUST_MAX_MS: u64 = 2_000;
/// Longest heartbeat interval of the leader; it applies if a quarter of the trust period is longer.
const LEADER_HEARTBEAT_MAX_MS: u64 = 300;
/// Longest time for which a host may lag behind the versions reported by the leader before it
/// queries the store itself.
const LAG_GRACE_MAX_MS: u64 = 400;
/// Longest pause of the feeds of servers' entries and the configuration on the leader and on
/// relays, which lets changes in quick succession share one call.
const LEADER_PAUSE_MAX_MS: u64 = 250;
/// Longest wait of the leader's feed calls at the store. Calls are billed, and the leader makes
/// them continuously.
const LEADER_WAIT_MAX_MS: u64 = 3_000;
/// Longest pause of the feed of servers' entries on a host that receives no heartbeats from a
/// leader.
const SERVERS_PAUSE_MAX_MS: u64 = 1_500;
/// Longest pause of the configuration's feed on hosts other than the leader and relays.
const CONFIGURATION_PAUSE_MAX_MS: u64 = 500;

/// Longest time for which the servers of an evacuated zone still serve their keys. Moves of keys to
/// other servers complete within a few run times of requests.
const EVACUATION_HOLD_MAX_MS: u64 = 2_500;

/// Timeouts and pauses of one host, all derived from the bounds in its settings. A feed is a task
/// that reads the changes of a table of the store by repeated calls. The store holds each call for
/// the wait of the feed or until there are changes, and the pause of the feed is the time between
/// two calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// Trust period: age up to which a host trusts the leader's report on the store and need not
    /// call the store itself. The period is limited because a leader may fail right after a
    /// heartbeat, before it broadcasts that a server leaves.
    pub trust_ms: u64,
    /// Heartbeat interval of the leader; several heartbeats fit into the trust period.
    pub leader_heartbeat_ms: u64,
    /// Pause of the feeds of servers' entries and the configuration on the leader and on relays.
    pub leader_pause_ms: u64,
    /// Longest wait of the leader's feed calls at the store. The wait is short because no other
    /// host can tell the leader that its connection has failed silently.
    pub leader_wait_ms: u64,
    /// Wait of a relay's feed calls while the relay reports the state of the store in place of the
    /// leader. The wait is short because the other hosts of the zone query the relay often.
    pub relay_wait_ms: u64,
    /// Interval at which a host queries the relays of its zone once the latest report on the store
    /// is nearly too old to be trusted. Several queries fit into the rest of the report's trust
    /// period.
    pub relay_query_every_ms: u64,
    /// Pause between two calls of a host to the store while neither the leader nor a relay reports
    /// that the store responds. It applies only while the hosts use relays, so that a large number
    /// of hosts does not overload the store. Two pauses fit into the contact grace period.
    pub alone_pause_ms: u64,
    /// Timeout for fetching missed changes from other hosts. A host that still misses changes after
    /// the timeout reads them from the store.
    pub catch_up_ms: u64,
    /// Longest pause of the feed of servers' entries while no heartbeats from a leader arrive.
    pub servers_pause_ms: u64,
    /// Longest pause of the configuration's feed on hosts other than the leader and relays.
    pub configuration_pause_ms: u64,
    /// Time for which a host may lag behind the versions reported by the leader before the host
    /// calls the store. A response from the store or a broadcast by the leader may still be on its
    /// way.
    pub lag_grace_ms: u64,
    /// Time for which a host waits for a heartbeat from the leader after the host has started, or
    /// has read a whole table because the store no longer has the changes that the host missed.
    pub start_wait_ms: u64,
    /// Time for which a host, after it has learned of an evacuation, still sends requests for keys
    /// to the servers of the evacuated zone that hold the keys. The keys are moved to other servers
    /// meanwhile.
    pub evacuation_hold_ms: u64,
    /// Time for which a host still sends a server requests for the server's keys after the server
    /// has announced to this host, in a response, that it leaves. The keys are moved to other
    /// servers meanwhile, unless the store is unavailable.
    pub notice_hold_ms: u64,
}

/// Chain of events by which hosts learn of a change, with the longest delay of the chain and the
/// bound that applies to the delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimingPath {
    /// Description of the chain of events, used in error messages.
    pub name: &'static str,
    /// Name of the bound that applies, as in the settings.
    pub bound: &'static str,
    /// Longest time that the events of the chain take together.
    pub worst_ms: u64,
    /// Bound from the settings, plus the contact grace period on paths to which the grace period
    /// applies.
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
    /// Returns true if the longest delay on this path does not exceed the bound.
    pub fn is_met(&self) -> bool {
        self.worst_ms <= self.bound_ms
    }
}

impl Timings {
    /// Derives the timeouts and pauses from the bounds. [`Self::paths`] shows whether the bounds
    /// are kept.
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
            leader_heartbeat_ms: (trust_ms / 4).min(LEADER_HEARTBEAT_MAX_MS),
            leader_pause_ms: (trust_ms / 4).min(LEADER_PAUSE_MAX_MS),
            leader_wait_ms: (bounds.contact_ms + drain_room_ms.min(configuration_room_ms))
                .saturating_sub(FEED_SLACK_MS)
                .clamp(TRUST_MIN_MS, LEADER_WAIT_MAX_MS),
            relay_wait_ms: trust_ms / 16,
            relay_query_every_ms: trust_ms / 16,
            catch_up_ms: trust_ms / 5,
            alone_pause_ms: bounds.contact_ms / 2,
            servers_pause_ms: drain_room_ms.min(SERVERS_PAUSE_MAX_MS),
            configuration_pause_ms: configuration_room_ms.min(CONFIGURATION_PAUSE_MAX_MS),
            lag_grace_ms: (trust_ms * 3 / 10).min(LAG_GRACE_MAX_MS),
            start_wait_ms: bounds.contact_ms.saturating_sub(CALL_MS),
            evacuation_hold_ms: bounds
                .evacuation_ms
                .saturating_sub(evacuation_known_ms + LATE_MS)
                .min(EVACUATION_HOLD_MAX_MS),
            notice_hold_ms: bounds.drain_ms.saturating_sub(LATE_MS),
        }
    }

    /// Returns the interval at which the leader confirms at the store that it is still the leader.
    /// The interval is `wanted_ms`, but at most half of the trust period, so that the store's last
    /// response is still trusted two heartbeats later.
    pub fn confirm_every_ms(&self, wanted_ms: u64) -> u64 {
        wanted_ms.min(self.trust_ms / 2)
    }

    /// Returns all paths by which hosts learn of leaving servers, configurations and evacuations.
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
        let next_heartbeat_ms = self.leader_pause_ms + 2 * self.leader_heartbeat_ms + POLL_EVERY_MS;
        [
            drain(
                "the leader fails before it broadcasts that a server leaves",
                self.trust_ms + POLL_EVERY_MS,
            ),
            drain(
                "the broadcast that a server leaves is lost and detected by the leader's next heartbeat",
                next_heartbeat_ms + self.catch_up_ms,
            ),
            TimingPath {
                name: "the leader's connection to the store has failed silently",
                bound: "contact",
                worst_ms: self.leader_wait_ms + FEED_SLACK_MS + CALL_MS + LATE_MS,
                bound_ms: bounds.contact_ms + bounds.drain_ms.min(bounds.configuration_ms),
            },
            drain("no leader is heard", self.servers_pause_ms),
            TimingPath {
                name: "neither the leader nor a relay is heard when the store comes back",
                bound: "contact",
                worst_ms: self.alone_pause_ms + RETRY_PAUSE_LONGEST_MS + CALL_MS + LATE_MS,
                bound_ms: bounds.contact_ms + bounds.drain_ms.min(bounds.configuration_ms),
            },
            TimingPath {
                name: "a server announces in its answers that it leaves",
                bound: "drain",
                worst_ms: self.notice_hold_ms + LATE_MS,
                bound_ms: bounds.drain_ms,
            },
            configuration(
                "the leader fails before it broadcasts the configuration",
                self.trust_ms + POLL_EVERY_MS,
            ),
            configuration(
                "a piece of the configuration is lost and detected by the leader's next heartbeat",
                self.leader_pause_ms
                    + self.leader_heartbeat_ms
                    + self.lag_grace_ms
                    + POLL_EVERY_MS
                    + self.catch_up_ms,
            ),
            evacuation(
                "the leader fails before it broadcasts that a zone is evacuated",
                self.trust_ms + POLL_EVERY_MS,
            ),
            evacuation(
                "no leader is heard when a zone is evacuated",
                self.configuration_pause_ms,
            ),
            TimingPath {
                name: "a zone is evacuated while the leader's connection to the store has failed silently",
                bound: "evacuation",
                worst_ms: self.leader_wait_ms
                    + FEED_SLACK_MS
                    + self.evacuation_hold_ms
                    + CALL_MS
                    + 2 * LATE_MS,
                bound_ms: bounds.contact_ms + bounds.evacuation_ms,
            },
            configuration(
                "the configuration changes while its feed pauses",
                self.configuration_pause_ms,
            ),
        ]
    }
}
