//! Tests of the work that a host with thousands of servers has, counted in servers that a step
//! visits or copies.

use std::sync::Arc;

use ashroad::entry::{
    digest::{RequestDigest, RequestDigests},
    model::{Notice, ServerEntry, incarnation_id},
    registry::Registry,
    shared_collections::{SharedList, SharedMap},
};
use quickcheck::quickcheck;

/// Number of servers of the largest known site.
const SERVERS: usize = 10_003;
const SERVICES: usize = 4;
const STARTED_MS: u64 = 1_791_000_000_000;

fn entry(number: usize) -> ServerEntry {
    let name = format!("i-{number:010x}");
    ServerEntry {
        id: incarnation_id(&name, STARTED_MS),
        name: name.into(),
        started_ms: STARTED_MS,
        service: format!("service-{}", number % SERVICES).into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: "z".into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

fn registry(servers: usize) -> Registry {
    let mut registry = Registry::default();
    registry.put_all((0..servers).map(entry));
    registry
}

fn digests() -> RequestDigests {
    let digest = RequestDigest(1);
    RequestDigests {
        whole: digest,
        path: digest,
        content: digest,
        any_path: digest,
        caller_tag: 1,
    }
}

/// Returns the number of servers that the latest copy of a registry does not share with the others.
fn copied(registry: &Registry, references: usize) -> usize {
    let servers = registry.servers();
    let is_copied = |server: &&Arc<_>| Arc::strong_count(server) > references;
    servers.filter(is_copied).count()
}

#[test]
fn a_change_of_one_server_copies_few_others() {
    let before = registry(SERVERS);
    let references = before.servers().map(Arc::strong_count).max();
    let references = references.expect("servers");
    let mut after = before.clone();
    after.put(entry(SERVERS));
    after.drop_server("i-0000000007");
    let copied = copied(&before, references);
    assert!(copied <= SERVERS / 20, "{copied} of {SERVERS} servers");
    assert_eq!(after.servers_count(), SERVERS);
    assert_eq!(after.servers().count(), SERVERS);
    assert_eq!(before.servers().count(), SERVERS);
}

#[test]
fn only_servers_with_requests_of_the_host_are_visited() {
    let mut registry = registry(SERVERS);
    assert!(registry.engaged().is_empty());
    let server = registry.server(&entry(3).id).expect("server").clone();
    let noticed = registry.server(&entry(4).id).expect("server").clone();
    let removed = registry.server(&entry(5).id).expect("server").clone();
    for server in [&server, &noticed, &removed] {
        let in_flight = server.begin_request(digests());
        assert!(
            registry
                .engaged()
                .iter()
                .any(|engaged| Arc::ptr_eq(engaged, server))
        );
        drop(in_flight);
    }
    noticed.note_notice(Notice {
        leaves: true,
        backoff_ms: None,
    });
    registry.drop_server(&entry(5).name);
    assert_eq!(
        registry.engaged().len(),
        2,
        "the removed server is not visited"
    );
    registry.sweep_engaged();
    let engaged = registry.engaged();
    assert_eq!(
        engaged.len(),
        1,
        "a server without state of requests is not visited"
    );
    assert!(Arc::ptr_eq(&engaged[0], &noticed));
    // The next request engages the server again.
    let _in_flight = server.begin_request(digests());
    assert_eq!(registry.engaged().len(), 2);
    registry.sweep_engaged();
    assert_eq!(registry.engaged().len(), 2, "a request is in flight");
}

quickcheck! {
    fn shared_collections_equal_plain_ones(changes: Vec<(bool, u8)>) -> bool {
        let mut map = SharedMap::default();
        let mut list = SharedList::default();
        let mut expected: Vec<u8> = Vec::new();
        let mut copies = Vec::new();
        for (is_added, value) in changes {
            copies.push((map.clone(), list.clone(), expected.clone()));
            let key: Arc<str> = value.to_string().into();
            let is_known = expected.contains(&value);
            if is_added && !is_known {
                map.insert(key, value);
                list.push(value);
                expected.push(value);
            } else if !is_added {
                let removed = map.remove(&key);
                assert_eq!(removed.is_some(), is_known);
                assert_eq!(list.remove(|known| *known == value), removed);
                expected.retain(|known| *known != value);
            }
        }
        copies.push((map, list, expected));
        copies.iter().all(|(map, list, expected)| {
            let mut keys: Vec<u8> = map.keys().filter_map(|key| key.parse().ok()).collect();
            let mut sorted = expected.clone();
            keys.sort_unstable();
            sorted.sort_unstable();
            let has_all = expected.iter().all(|value| map.get(&value.to_string()) == Some(value));
            let sizes = [map.len(), list.len()] == [expected.len(); 2];
            has_all && sizes && keys == sorted && list.iter().eq(expected)
        })
    }
}
