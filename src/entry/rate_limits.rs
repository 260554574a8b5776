//! Rate limits that servers advertise for all hosts together. Each host reports to the leader the
//! limits that servers have sent it, and the request rates of its callers. The leader announces the
//! latest limits and the total rates, from which each host computes its share.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    decide::rate_limit::AdvertisedLimit,
    events::Event,
    model::ReportedLimit,
    peers::message::{AdvertisedRate, Message, RATES_MAX, ServerRate},
    server::Server,
};
use crate::clock;

/// Interval of reports and announcements of rate limits and request rates among few hosts.
const REPORT_INTERVAL_MS: u64 = 150;
/// Part of the interval of reports for each host: the interval is this value multiplied by the
/// number of hosts, but at least [`REPORT_INTERVAL_MS`]. The growth bounds the number of messages
/// that the leader receives from many hosts.
const REPORT_INTERVAL_MS_PER_HOST: u64 = 2;

impl Entry {
    /// Records the rate limit that a server advertised in a response to this host.
    pub(in crate::entry) fn note_advertised_limit(
        &self,
        server: &Server,
        advertised: ReportedLimit,
    ) {
        let per_s = match advertised {
            ReportedLimit::Unlimited => None,
            ReportedLimit::PerS(per_s) => Some(per_s),
            ReportedLimit::Unknown => return,
        };
        let at_ms = clock::now_ms();
        let is_change = server.rate.note_own_limit(AdvertisedLimit { per_s, at_ms });
        log_change(server, is_change, "its answer");
    }

    /// Reports the limits known to this host and the request rates of its callers to the leader; as
    /// the leader, announces the latest limits and total rates to all hosts.
    pub(in crate::entry) async fn exchange_rate_limits(self: Arc<Self>) {
        loop {
            let every_ms =
                REPORT_INTERVAL_MS.max(REPORT_INTERVAL_MS_PER_HOST * self.peers.hosts() as u64);
            time::sleep(Duration::from_millis(every_ms)).await;
            let rates = self.own_rates();
            if self.leadership.term() == 0 {
                self.report_rates(rates);
            } else {
                self.handle_rate_report(self.settings.listen.peers, &rates);
                self.announce_rates();
            }
        }
    }

    /// Returns the limits that servers have advertised to this host, with the request rates of this
    /// host's callers.
    fn own_rates(&self) -> Vec<ServerRate> {
        let now_ms = clock::now_ms();
        let registry = self.view.registry();
        let limited = registry
            .servers()
            .filter(|s| s.rate.should_announce(now_ms));
        let rates = limited.map(|server| ServerRate {
            server_tag: server.tag,
            reported: advertised_rate(server.rate.own(), now_ms),
            demand: server.rate.report_demand(now_ms),
        });
        rates.collect()
    }

    /// Sends the limits that servers advertised to this host, and the request rates of this host's
    /// callers, to the leader.
    fn report_rates(&self, rates: Vec<ServerRate>) {
        for rates in rates.chunks(RATES_MAX) {
            if !self
                .peers
                .send_to_leader(&Message::ReportRates(rates.to_vec()))
            {
                log::debug!("rate report not sent: no leader can be reached");
            }
        }
    }

    /// Records the limits and request rates that a host reported if this host is the leader;
    /// otherwise ignores the report.
    pub(in crate::entry) fn handle_rate_report(&self, host: SocketAddr, rates: &[ServerRate]) {
        if self.leadership.term() == 0 {
            return;
        }
        let now_ms = clock::now_ms();
        self.note_limits(rates, now_ms);
        let mut demand = self.demand_by_host();
        for rate in rates {
            demand.note(rate.server_tag, host, rate.demand, now_ms);
        }
    }

    /// Announces, as the leader, the latest limits and the total request rates to all hosts.
    fn announce_rates(&self) {
        let now_ms = clock::now_ms();
        let rates: Vec<ServerRate> = {
            let registry = self.view.registry();
            let limited = registry
                .servers()
                .filter(|s| s.rate.should_announce(now_ms));
            let mut demand = self.demand_by_host();
            let rates = limited.map(|server| ServerRate {
                server_tag: server.tag,
                reported: advertised_rate(server.rate.latest(), now_ms),
                demand: demand.sum(server.tag, now_ms),
            });
            rates.collect()
        };
        let is_limited = |tag| rates.iter().any(|rate| rate.server_tag == tag);
        self.demand_by_host().retain(is_limited);
        self.apply_rate_totals(&rates);
        for rates in rates.chunks(RATES_MAX) {
            self.peers.send_to_all(Message::RateTotals(rates.to_vec()));
        }
    }

    /// Applies an announcement by the leader: the latest limits and the total request rates.
    pub(in crate::entry) fn apply_rate_totals(&self, rates: &[ServerRate]) {
        let now_ms = clock::now_ms();
        self.note_limits(rates, now_ms);
        let registry = self.view.registry();
        for rate in rates {
            let named = registry.servers().filter(|s| s.tag == rate.server_tag);
            named.for_each(|server| server.rate.note_demand_sum(rate.demand, now_ms));
        }
    }

    /// Records the limits that a host reported to the leader or that the leader announced, dated by
    /// the age in the message.
    fn note_limits(&self, rates: &[ServerRate], now_ms: u64) {
        let registry = self.view.registry();
        for rate in rates {
            let Some(reported) = rate.reported else {
                continue;
            };
            let limit = AdvertisedLimit {
                per_s: reported.limit_per_s,
                at_ms: now_ms.saturating_sub(u64::from(reported.age_ms)),
            };
            for server in registry.servers().filter(|s| s.tag == rate.server_tag) {
                log_change(server, server.rate.note_limit(limit), "another host");
            }
        }
    }
}

/// Converts an advertised limit into the form in which messages contain the limit, with the age of
/// the advertisement.
fn advertised_rate(limit: Option<AdvertisedLimit>, now_ms: u64) -> Option<AdvertisedRate> {
    let limit = limit?;
    Some(AdvertisedRate {
        limit_per_s: limit.per_s,
        age_ms: now_ms.saturating_sub(limit.at_ms) as u32,
    })
}

/// Logs the rate limit of a server if `is_change` is true; `source` says in the log event from
/// where this host learned the limit.
fn log_change(server: &Server, is_change: bool, source: &'static str) {
    if !is_change {
        return;
    }
    Event::ServerRateLimit {
        server: server.entry.id.clone(),
        service: server.entry.service.clone(),
        per_s: server.rate.limit_per_s(),
        sent_per_s: server.rate.sent_per_s(),
        source,
    }
    .log();
}
