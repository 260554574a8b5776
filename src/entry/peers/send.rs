//! Sends messages to all hosts, and the loads of a zone to the other zones, to the recipients that
//! [`fanout`] chooses.

use std::{net::SocketAddr, sync::PoisonError};

use super::{
    Peers,
    fanout::{self, Fanout, RelayCandidate},
    intervals::report_age_max_ms,
    message::{Message, RunTime, ServerLoad, ServerSummary},
    peer::{Peer, ReportedLoad, add_report, of_zone, relay_candidates},
    zone_loads::parts,
};
use crate::{clock, entry::tag::TagMap};

impl Peers {
    /// Sends a message to all other hosts, through relays if there are many hosts.
    pub(in crate::entry) fn send_to_all(&self, message: Message) {
        let Fanout { direct, relays } = self.fanout();
        if !direct.is_empty() {
            self.send(&message, &direct);
        }
        if !relays.is_empty() {
            self.send(&Message::Relay(Box::new(message)), &relays);
        }
    }

    /// Forwards a message from the host at `origin` to the other hosts of this zone.
    pub(super) fn forward_to_zone(&self, origin: SocketAddr, message: Message) {
        let mut to = self.same_zone_addresses();
        to.retain(|address| *address != origin);
        let message = Box::new(message);
        self.send(&Message::Relayed { origin, message }, &to);
    }

    /// Sends the summed loads of this zone to the other zones, if this host is the zone aggregator.
    pub(super) fn send_zone_loads(
        &self,
        own: RelayCandidate,
        own_report: impl FnOnce() -> (Vec<ServerLoad>, Vec<RunTime>),
    ) {
        let now_ms = clock::now_ms();
        let age_max_ms = report_age_max_ms(self.reporting_hosts());
        let mut sums: TagMap<ReportedLoad> = TagMap::default();
        let mut relays = Vec::new();
        {
            let peers = self.peers();
            let is_heard = |peer: &Peer| now_ms <= peer.heard_ms + age_max_ms;
            let heard = of_zone(&peers, true).filter(|(_, peer)| is_heard(peer));
            let heard: Vec<_> = heard.collect();
            let others = relay_candidates(heard.iter().copied(), now_ms);
            let zone: Vec<RelayCandidate> = std::iter::once(own).chain(others).collect();
            if fanout::zone_aggregator(&zone) != Some(own.address) {
                return;
            }
            heard.iter().for_each(|(_, peer)| peer.add_to(&mut sums));
            let mut others: Vec<RelayCandidate> =
                relay_candidates(of_zone(&peers, false), now_ms).collect();
            relays.extend(fanout::one_relay_per_zone(&mut others));
        }
        self.expect_relay_acks(&relays);
        let (own_loads, own_run_times) = own_report();
        add_report(&mut sums, &own_loads, &own_run_times);
        let mut summaries: Vec<ServerSummary> = sums
            .iter()
            .map(|(server_tag, sum)| ServerSummary {
                server_tag: *server_tag,
                in_flight: sum.in_flight.min(u32::from(u16::MAX)) as u16,
                run_ms: (sum.run_ms_sum / sum.reporters.max(1.0)) as u16,
            })
            .collect();
        summaries.sort_unstable_by_key(|summary| summary.server_tag);
        let summaries = self
            .zone_load_changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .updates(summaries, now_ms);
        for summaries in parts(&summaries) {
            let zone_tag = own.zone_tag;
            let message = Message::ZoneLoads {
                zone_tag,
                summaries,
            };
            self.send(&Message::Relay(Box::new(message)), &relays);
        }
    }
}
