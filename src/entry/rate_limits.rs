//! Rates that servers take from all hosts together: each host tells the holder of the duty what servers have named
//! and what its callers ask of them; the holder tells all hosts the latest word and the sum, by which each takes its
//! part.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    decide::rate_limit::LimitWord,
    events::Event,
    model::ReportedLimit,
    peers::message::{Message, RATES_MAX, ServerRate, ToldRate},
    server::Server,
};
use crate::clock;

/// Interval of reports among few hosts.
const TELL_EVERY_MS: u64 = 150;
/// The same for each host, among many: the holder hears all of them.
const TELL_EVERY_MS_BY_HOST: u64 = 2;

impl Entry {
    /// Takes in what a server's answer to a request of this host said of the rate that it takes.
    pub(in crate::entry) fn note_told_limit(&self, server: &Server, told: ReportedLimit) {
        let per_s = match told {
            ReportedLimit::Unlimited => None,
            ReportedLimit::PerS(per_s) => Some(per_s),
            ReportedLimit::Unknown => return,
        };
        let at_ms = clock::now_ms();
        let is_change = server.rate.note_own_word(LimitWord { per_s, at_ms });
        log_change(server, is_change, "its answer");
    }

    /// Tells the holder what this host knows of servers' rates; as the holder, tells all hosts.
    pub(in crate::entry) async fn keep_telling_rates(self: Arc<Self>) {
        loop {
            let every_ms = TELL_EVERY_MS.max(TELL_EVERY_MS_BY_HOST * self.peers.hosts() as u64);
            time::sleep(Duration::from_millis(every_ms)).await;
            let rates = self.own_rates();
            if self.duty.term() == 0 {
                self.report_rates(rates);
            } else {
                self.take_rates(self.settings.listen.peers, &rates);
                self.tell_rates();
            }
        }
    }

    /// What servers told this host of their rates, with what its own callers ask for.
    fn own_rates(&self) -> Vec<ServerRate> {
        let now_ms = clock::now_ms();
        let registry = self.view.registry();
        let limited = registry.servers().filter(|s| s.rate.is_news(now_ms));
        let rates = limited.map(|server| ServerRate {
            server_tag: server.tag,
            told: told(server.rate.own(), now_ms),
            asked: server.rate.report_asked(now_ms),
        });
        rates.collect()
    }

    fn report_rates(&self, rates: Vec<ServerRate>) {
        for rates in rates.chunks(RATES_MAX) {
            if !self.peers.send_to_holder(&Message::Asked(rates.to_vec())) {
                log::debug!("no holder hears what is asked of limited servers");
            }
        }
    }

    /// Takes in, as the holder, what a host knows of the rates of servers.
    pub(in crate::entry) fn take_rates(&self, host: SocketAddr, rates: &[ServerRate]) {
        if self.duty.term() == 0 {
            return;
        }
        let now_ms = clock::now_ms();
        self.note_words(rates, now_ms);
        let mut asked = self.asked_by_host();
        for rate in rates {
            asked.note(rate.server_tag, host, rate.asked, now_ms);
        }
    }

    /// Tells all hosts, as the holder, the rates of servers, and what the callers of all hosts ask for.
    fn tell_rates(&self) {
        let now_ms = clock::now_ms();
        let rates: Vec<ServerRate> = {
            let registry = self.view.registry();
            let limited = registry.servers().filter(|s| s.rate.is_news(now_ms));
            let mut asked = self.asked_by_host();
            let rates = limited.map(|server| ServerRate {
                server_tag: server.tag,
                told: told(server.rate.latest(), now_ms),
                asked: asked.sum(server.tag, now_ms),
            });
            rates.collect()
        };
        let is_limited = |tag| rates.iter().any(|rate| rate.server_tag == tag);
        self.asked_by_host().retain(is_limited);
        self.take_sums(&rates);
        for rates in rates.chunks(RATES_MAX) {
            self.peers.send_to_all(Message::Rates(rates.to_vec()));
        }
    }

    /// Takes in what the holder knows of the rates of servers, and what the callers of all hosts ask for.
    pub(in crate::entry) fn take_sums(&self, rates: &[ServerRate]) {
        let now_ms = clock::now_ms();
        self.note_words(rates, now_ms);
        let registry = self.view.registry();
        for rate in rates {
            let named = registry.servers().filter(|s| s.tag == rate.server_tag);
            named.for_each(|server| server.rate.note_asked_sum(rate.asked, now_ms));
        }
    }

    fn note_words(&self, rates: &[ServerRate], now_ms: u64) {
        let registry = self.view.registry();
        for rate in rates {
            let Some(told) = rate.told else { continue };
            let word = LimitWord {
                per_s: told.limit_per_s,
                at_ms: now_ms.saturating_sub(u64::from(told.age_ms)),
            };
            for server in registry.servers().filter(|s| s.tag == rate.server_tag) {
                log_change(server, server.rate.note_relay_report(word), "another host");
            }
        }
    }
}

fn told(word: Option<LimitWord>, now_ms: u64) -> Option<ToldRate> {
    let word = word?;
    Some(ToldRate {
        limit_per_s: word.per_s,
        age_ms: now_ms.saturating_sub(word.at_ms) as u32,
    })
}

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
