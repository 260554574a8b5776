//! Tests messages between many hosts: choice of relays, age of delayed messages, configurations
//! sent in pieces, loads by zone, and sizes of datagrams.

use std::{io::Write, net::SocketAddr};

use ashroad::entry::{
    decide::{
        path_tally::{DigestScope, SharedSuspect},
        rate_shares::DemandRates,
    },
    digest::RequestDigest,
    peers::{
        fanout::{
            DIRECT_HOSTS_MAX, OneWayDelay, RelayCandidate, fanout, one_relay_per_zone,
            zone_aggregator,
        },
        message::{
            AdvertisedRate, DATAGRAM_BYTES_MAX, ENTRIES_MAX, Message, RATES_MAX, RunTime,
            SHARED_SUSPECTS_MAX, SLOWDOWNS_MAX, Sender, ServerLoad, ServerRate, ServerSlowdown,
            ServerSummary,
        },
        zone_loads::{ZoneLoadChanges, ZoneLoads, parts},
    },
    tag::tag_of,
    updates::configuration_pieces::{
        Piece, PieceAssembly, PieceEncoding, Pieces, decode_content, split_into_pieces,
    },
};
use flate2::{Compression, write::DeflateEncoder};
use quickcheck::quickcheck;

fn host(zone_tag: u32, number: usize) -> RelayCandidate {
    let address = format!("10.{zone_tag}.{}.{}:7620", number / 250, number % 250);
    RelayCandidate {
        address: address.parse().expect("address"),
        zone_tag,
        processor_share: 0.1,
        is_silent: false,
    }
}

fn hosts(zones: u32, hosts_per_zone: usize) -> Vec<RelayCandidate> {
    let zone = |zone_tag| (0..hosts_per_zone).map(move |number| host(zone_tag, number));
    (0..zones).flat_map(zone).collect()
}

fn zone_of(hosts: &[RelayCandidate], address: SocketAddr) -> u32 {
    let found = hosts.iter().find(|host| host.address == address);
    found.expect("a known host").zone_tag
}

#[test]
fn many_hosts_get_messages_through_two_relays_per_zone() {
    struct Case {
        zones: u32,
        hosts_per_zone: usize,
        direct: usize,
        relays: usize,
    }
    let cases = [
        Case {
            zones: 3,
            hosts_per_zone: 4,
            direct: 12,
            relays: 0,
        },
        Case {
            zones: 5,
            hosts_per_zone: 59,
            direct: 0,
            relays: 10,
        },
        // The number of messages per sender does not grow with the number of hosts.
        Case {
            zones: 5,
            hosts_per_zone: 880,
            direct: 0,
            relays: 10,
        },
        Case {
            zones: 1,
            hosts_per_zone: DIRECT_HOSTS_MAX,
            direct: 0,
            relays: 2,
        },
    ];
    for case in cases {
        let hosts = hosts(case.zones, case.hosts_per_zone);
        let fanout = fanout(&hosts, 1);
        assert_eq!(fanout.direct.len(), case.direct);
        assert_eq!(fanout.relays.len(), case.relays);
        let mut zones: Vec<u32> = fanout.relays.iter().map(|r| zone_of(&hosts, *r)).collect();
        zones.sort_unstable();
        zones.dedup();
        assert_eq!(zones.len() * 2, case.relays);
    }
}

#[test]
fn strong_responsive_hosts_are_chosen_as_relays() {
    let mut hosts = hosts(2, 30);
    hosts[7].processor_share = 0.5;
    hosts[11].processor_share = 0.5;
    hosts[13].processor_share = 0.4;
    let chosen = |hosts: &[RelayCandidate]| {
        let mut relays = fanout(hosts, 3).relays;
        relays.retain(|relay| zone_of(hosts, *relay) == 0);
        relays.sort_unstable();
        relays
    };
    assert_eq!(chosen(&hosts), [hosts[7].address, hosts[11].address]);
    // A relay that does not acknowledge messages is replaced at once.
    hosts[7].is_silent = true;
    assert_eq!(chosen(&hosts), [hosts[11].address, hosts[13].address]);
    // If no host responds, messages are still sent to relays.
    for host in &mut hosts {
        host.is_silent = true;
    }
    assert_eq!(chosen(&hosts), [hosts[7].address, hosts[11].address]);
}

#[test]
fn relays_among_equal_hosts_vary_by_term() {
    let hosts = hosts(1, 60);
    let choices: std::collections::HashSet<Vec<SocketAddr>> =
        (1..20).map(|term| fanout(&hosts, term).relays).collect();
    assert!(choices.len() > 10, "{} choices", choices.len());
}

#[test]
fn messages_that_a_relay_delayed_count_as_old() {
    let mut one_way_delay = OneWayDelay::default();
    // The clocks of the two hosts are unrelated.
    assert_eq!(one_way_delay.delay_ms(4, 9_000_000, 1_000_003), 0);
    assert_eq!(one_way_delay.delay_ms(4, 9_000_300, 1_000_301), 0);
    // A relay that was suspended for 6 s forwards an old message after the other relay has
    // forwarded a newer message.
    assert_eq!(one_way_delay.delay_ms(4, 9_006_300, 1_006_301), 0);
    assert_eq!(one_way_delay.delay_ms(4, 9_000_600, 1_006_600), 5_999);
    // Clocks may drift apart by 1 ms per second.
    assert_eq!(one_way_delay.delay_ms(4, 9_600_300, 1_600_600), 0);
    // The leader of a later term has another clock, so the shortest delay is determined anew.
    assert_eq!(one_way_delay.delay_ms(5, 100, 1_600_900), 0);
    assert_eq!(one_way_delay.delay_ms(5, 400, 1_601_250), 50);
    // A late message of the previous leader does not change the shortest delay of the current
    // leader.
    assert_eq!(one_way_delay.delay_ms(4, 9_600_400, 1_601_300), u64::MAX);
    assert_eq!(one_way_delay.delay_ms(5, 700, 1_601_550), 50);
}

quickcheck! {
    fn a_configuration_arrives_whole_in_any_order_and_twice(
        content: Vec<u8>, order: Vec<u16>
    ) -> bool {
        let content = content.repeat(400);
        let Pieces { encoding, mut pieces } = split_into_pieces(7, 3, &content);
        let is_small = content.len() <= 12 * 1_200;
        if pieces.is_empty() || (encoding == PieceEncoding::Plain) != is_small {
            return content.is_empty();
        }
        for (place, key) in order.iter().enumerate() {
            let count = pieces.len();
            pieces.swap(place % count, usize::from(*key) % count);
        }
        let mut assembly = PieceAssembly::default();
        let last = pieces.len() - 1;
        for piece in &pieces[..last] {
            // Both relays of the zone forward the same piece.
            if assembly.take(piece.clone()).is_some() || assembly.take(piece.clone()).is_some() {
                return false;
            }
        }
        let whole = assembly.take(pieces[last].clone()).expect("the content");
        decode_content(encoding, whole).expect("decoded") == content
    }
}

#[test]
fn damaged_or_oversized_compressed_configurations_are_refused() {
    let random: Vec<u8> = (0..20_000).map(|_| rand::random()).collect();
    // Random content does not become smaller, and needs too many pieces.
    assert_eq!(split_into_pieces(7, 3, &random).pieces, Vec::new());
    let decode = |content: &[u8]| decode_content(PieceEncoding::Compressed, content.to_vec());
    assert!(decode(&[0xff; 100]).is_err());
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(&vec![0; 17 << 20]).expect("written");
    assert!(decode(&encoder.finish().expect("compressed")).is_err());
}

#[test]
fn pieces_of_two_configurations_are_not_mixed() {
    let piece = |version, index, bytes: &str| Piece {
        evacuations: 0,
        version,
        index,
        count: 2,
        bytes: bytes.as_bytes().to_vec(),
    };
    let mut assembly = PieceAssembly::default();
    assert_eq!(assembly.take(piece(5, 0, "old ")), None);
    assert_eq!(assembly.take(piece(6, 1, "end")), None);
    assert_eq!(assembly.take(piece(5, 1, "one")), None);
    assert_eq!(
        assembly.take(piece(6, 0, "new ")),
        Some(b"new end".to_vec())
    );
    // A piece whose index is out of range is ignored.
    assert_eq!(assembly.take(piece(6, 9, "x")), None);
}

fn summary(server_tag: u32, in_flight: u16) -> ServerSummary {
    ServerSummary {
        server_tag,
        in_flight,
        run_ms: 100,
    }
}

#[test]
fn zone_sums_replace_earlier_ones_and_expire() {
    let mut loads = ZoneLoads::default();
    let total = |loads: &ZoneLoads, now_ms: u64| -> u16 {
        loads.latest(now_ms).map(|summary| summary.in_flight).sum()
    };
    loads.note(1, vec![summary(7, 3), summary(8, 1)], 1_000);
    loads.note(2, vec![summary(7, 5)], 1_100);
    assert_eq!(total(&loads, 1_200), 9);
    // If two hosts act as aggregator of a zone, their sums replace each other and are not added.
    loads.note(1, vec![summary(7, 2)], 1_400);
    loads.note(1, vec![summary(7, 2)], 1_410);
    assert_eq!(total(&loads, 1_500), 8);
    // The loss of one part does not affect the others; sums of a silent zone expire.
    assert_eq!(total(&loads, 2_800), 2);
    assert_eq!(total(&loads, 3_100), 0);
}

#[test]
fn a_zone_sends_only_changed_sums_to_the_others() {
    /// Servers of a zone that have run requests lately; only a few of them run requests now.
    const SERVERS: u32 = 3_000;
    const BUSY: u32 = 300;
    const SUM_EVERY_MS: u64 = 250;
    let mut updates = ZoneLoadChanges::default();
    let mut receiver = ZoneLoads::default();
    let mut reported = 0;
    let rounds = 40;
    for round in 0..rounds {
        let now_ms = 10_000 + u64::from(round) * SUM_EVERY_MS;
        let busy = |tag: u32| (tag + round * 60) % SERVERS < BUSY;
        let sums = (0..SERVERS).map(|tag| summary(tag, u16::from(busy(tag))));
        let sums: Vec<ServerSummary> = sums.collect();
        let new = updates.updates(sums.clone(), now_ms);
        if round > 0 {
            reported += new.len();
        }
        for part in parts(&new) {
            receiver.note(1, part, now_ms);
        }
        // A receiver of all changes has the same state as if all sums had been sent.
        let mut known: Vec<ServerSummary> = receiver.latest(now_ms).collect();
        known.sort_unstable_by_key(|sum| sum.server_tag);
        assert_eq!(known, sums, "round {round}");
    }
    let all = SERVERS as usize * (rounds as usize - 1);
    assert!(reported * 8 < all, "{reported} of {all} sums were sent");
}

#[test]
fn servers_do_not_share_a_tag() {
    // With tags of 16 bits, 10,003 servers had 700 pairs with the same tag, whose loads were added
    // up.
    let tags: std::collections::HashSet<u32> = (0..10_003u32)
        .map(|number| tag_of(&format!("i-{number:010x}@19abcdef012")))
        .collect();
    assert!(tags.len() >= 10_000, "{} names", tags.len());
    let load = ServerLoad {
        server_tag: u32::MAX,
        in_flight: 1,
    };
    let bytes = postcard::to_stdvec(&load).expect("encoded");
    let reported: ServerLoad = postcard::from_bytes(&bytes).expect("decoded");
    assert_eq!(reported.server_tag, u32::MAX);
}

#[test]
fn an_aggregator_sends_to_one_relay_of_each_other_zone() {
    let mut hosts = hosts(4, 50);
    hosts[20].processor_share = 0.5;
    hosts[70].processor_share = 0.5;
    assert_eq!(zone_aggregator(&hosts[..50]), Some(hosts[20].address));
    let mut others = hosts[50..].to_vec();
    let relays = one_relay_per_zone(&mut others);
    assert_eq!(relays.len(), 3);
    assert!(relays.contains(&hosts[70].address));
    hosts[70].is_silent = true;
    let relays = one_relay_per_zone(&mut hosts[50..].to_vec());
    assert!(!relays.contains(&hosts[70].address));
}

#[test]
fn messages_with_the_most_entries_fit_a_datagram() {
    let rate = ServerRate {
        server_tag: u32::MAX,
        reported: Some(AdvertisedRate {
            limit_per_s: Some(1.0 / 3.0),
            age_ms: u32::MAX,
        }),
        demand: DemandRates {
            all_per_s: 1.0 / 3.0,
            urgent_per_s: 1.0 / 3.0,
        },
    };
    let suspect = SharedSuspect {
        digest: RequestDigest(u64::MAX),
        scope: DigestScope::Path,
        caller_tag: u32::MAX,
        is_trial: true,
    };
    let load = ServerLoad {
        server_tag: u32::MAX,
        in_flight: u8::MAX,
    };
    let slowdown = ServerSlowdown {
        server_tag: u32::MAX,
        percent: u16::MAX,
        age_ms: u16::MAX,
    };
    let run_time = RunTime {
        server_tag: u32::MAX,
        run_ms: u16::MAX,
    };
    let sum = ServerSummary {
        server_tag: u32::MAX,
        in_flight: u16::MAX,
        run_ms: u16::MAX,
    };
    let messages = [
        Message::Report {
            sender: Sender {
                zone_tag: u32::MAX,
                processor_share: 1.0,
            },
            servers: vec![load; ENTRIES_MAX],
            slowdowns: vec![slowdown; SLOWDOWNS_MAX],
        },
        Message::RunTimes(vec![run_time; ENTRIES_MAX]),
        Message::ZoneLoads {
            zone_tag: u32::MAX,
            summaries: parts(&vec![sum; 1_000]).next().expect("a part"),
        },
        Message::RateTotals(vec![rate; RATES_MAX]),
        Message::ServerEnded {
            server_tag: u32::MAX,
            digests: Vec::new(),
            shared: vec![suspect; SHARED_SUSPECTS_MAX],
        },
    ];
    /// Overhead of version, seal and relaying, in bytes.
    const OVERHEAD_BYTES: usize = 100;
    for message in messages {
        let bytes = postcard::to_stdvec(&message).expect("encoded").len();
        assert!(
            bytes + OVERHEAD_BYTES <= DATAGRAM_BYTES_MAX,
            "{bytes} bytes"
        );
    }
}
