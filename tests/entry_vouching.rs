//! Hosts that cannot rely on the holder of the duty rely on the relays of their zone.
//!
//! What users saw: 34 calls to the store of each of 985 hosts on a day. Order of events: the store turned the holder away;
//! its word grew old, so each host followed the store by itself until there was another holder.

mod platform_standin;

use std::{
    thread,
    time::{Duration, Instant},
};

use ashroad::entry::{
    bounds::Bounds,
    limits::TimeLimits,
    news::{
        followed::Followed,
        freshness::{Freshness, StoreNews},
    },
};
use tokio::time;

use self::platform_standin::{
    deployment::{Deployment, Disturbance},
    traffic::Workload,
};

/// More than the hosts to which the holder speaks directly.
const HOSTS: usize = 24;
/// Hosts that may follow the store: the relays of the zone, those that watch the duty's row, and holders.
const CALLERS_MAX: usize = 8;

fn limits() -> TimeLimits {
    let text = "{stop_grace: 10s, lease_max: 4s, drain: 3s, configuration: 3s, contact: 3s, \
                retry_window: 10s, retry_ratio: 0.2, retry_allowance: 60}";
    let bounds: Bounds = serde_saphyr::from_str(text).expect("bounds");
    TimeLimits::new(&bounds)
}

fn news(age_ms: u32, changed: u64) -> StoreNews {
    StoreNews {
        age_ms,
        changed: [changed; 3],
        left: changed,
        up_to: [changed; 3],
    }
}

#[test]
fn a_relay_doubts_the_holder_before_the_others_do() {
    let limits = limits();
    let age_ms = (limits.trust_ms * 9 / 10) as u32;
    let [relay, other] = [Freshness::new(&limits), Freshness::new(&limits)];
    relay.set_relay(true);
    for host in [&relay, &other] {
        host.note_told(news(age_ms, 5));
        assert!(host.needs_word());
    }
    assert!(!relay.is_vouched());
    assert!(other.is_vouched());
    // Several questions fit into the time that is left.
    assert!(limits.trust_ms / 4 >= 3 * limits.ask_relay_every_ms);
}

#[test]
fn word_of_a_relay_counts_from_the_question_and_only_once() {
    let limits = limits();
    let host = Freshness::new(&limits);
    let now_ms = ashroad::clock::now_ms();
    host.ask(1, now_ms);
    assert_eq!(host.note_word(2, news(0, 9)), None, "no such question");
    assert_eq!(host.note_word(1, news(300, 9)), Some(now_ms - 300));
    assert!(host.is_vouched());
    assert!(host.is_behind(Followed::Servers, 8));
    assert_eq!(host.note_word(1, news(0, 9)), None, "answered already");
    // An answer that was on its way for as long as the host stood still.
    let frozen = Freshness::new(&limits);
    frozen.ask(1, now_ms - limits.trust_ms);
    frozen.note_word(1, news(0, 9));
    assert!(!frozen.is_vouched());
}

#[test]
fn later_word_keeps_the_changes_that_earlier_word_told() {
    let limits = limits();
    let host = Freshness::new(&limits);
    host.note_told(news(1_000, 20));
    host.ask(1, ashroad::clock::now_ms());
    host.note_word(1, news(100, 10));
    assert!(host.is_behind(Followed::Servers, 19));
    assert!(host.has_left_since(19));
    // Word of the holder that is older than the relay's does not make the host doubt.
    host.note_told(news(limits.trust_ms as u32, 20));
    assert!(host.is_vouched());
}

#[test]
fn a_relay_that_does_not_follow_the_store_tells_nothing() {
    let limits = limits();
    let relay = Freshness::new(&limits);
    let heard_ms = ashroad::clock::now_ms();
    assert_eq!(relay.word(heard_ms), None);
    for followed in [Followed::Servers, Followed::Configuration] {
        relay.note_applied(followed, 7);
        drop(relay.follow(followed));
    }
    let word = relay.word(ashroad::clock::now_ms()).expect("word");
    assert!(word.age_ms < 100);
    assert_eq!(word.up_to[Followed::Servers.index()], 7);
    thread::sleep(Duration::from_millis(50));
    let later = relay.word(ashroad::clock::now_ms()).expect("word");
    assert!(later.age_ms >= 50, "followed no more for 50 ms");
}

#[tokio::test]
async fn few_hosts_call_the_store_while_it_turns_the_holder_away() {
    let mut deployment = Deployment::start_sized(Workload::Orders, HOSTS, 2).await;
    let feeds = |deployment: &Deployment| -> Vec<u64> {
        let hosts = deployment.site.hosts.iter();
        hosts.map(|host| host.store_calls("feed")).collect()
    };
    let before = feeds(&deployment);
    let cut = Instant::now();
    deployment
        .apply_disturbance(
            Disturbance::DutyHolderPartitioned,
            Workload::Orders,
            Duration::from_secs(5),
        )
        .await;
    let after = feeds(&deployment);
    let calls = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after - before);
    let callers = calls.clone().filter(|calls| *calls > 0).count();
    assert!(
        callers <= CALLERS_MAX,
        "{callers} of {HOSTS} hosts called: {:?}",
        calls.collect::<Vec<_>>()
    );
    // What changes meanwhile is known all the same.
    let leaving = &deployment.site.orders[0];
    leaving.write_entry(&deployment.site.store, "draining");
    time::sleep(Duration::from_secs(3)).await;
    let served = leaving.served();
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        leaving.served(),
        served,
        "{:?} after the cut",
        cut.elapsed()
    );
}
