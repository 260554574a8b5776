//! Rules of ownership, each with the sequence of events that it guards against.

use ashroad::{
    id::{Epoch, HostKey, Incarnation, LeaseEpoch, Revision, Slot},
    membership::{
        registry::{ChangeTracker, quorum_members},
        staleness::{HeartbeatReply, HostProcess, StalenessTracker},
    },
    ownership::{
        expiry::{HorizonReport, RenewingHosts, expired_at_ms},
        message::{LeaseRequest, LeaseResponse, SlotGrant},
        renewal::RenewalState,
    },
    standin::grants::{ClockReading, Grants},
    state::{Change, State},
};

const EXPIRY_BOUND_MS: u64 = 2_000;

fn host_process(number: u32) -> HostProcess {
    HostProcess {
        host: HostKey(number),
        incarnation: Incarnation(number.into()),
    }
}

fn report(number: u32, applied_ms: u64, horizon_ms: u64) -> HorizonReport {
    HorizonReport {
        host: HostKey(number),
        incarnation: Incarnation(number.into()),
        applied_ms,
        horizon_ms,
    }
}

struct ExpiryCase {
    name: &'static str,
    quorum_members: &'static [u32],
    previous: &'static [u32],
    majority_since_ms: u64,
    change_complete: bool,
    reports: &'static [(u32, u64, u64)],
    expired_at_ms: Option<u64>,
}

#[test]
fn a_lease_expires_only_when_no_host_can_have_renewed_it() {
    let cases = [
        ExpiryCase {
            name: "all hosts report when their last renewal ends",
            quorum_members: &[0, 1, 2],
            previous: &[],
            majority_since_ms: 0,
            change_complete: true,
            reports: &[(0, 5_000, 5_900), (1, 5_010, 5_500), (2, 5_020, 5_600)],
            expired_at_ms: Some(5_900),
        },
        ExpiryCase {
            name: "a majority has applied the loss; the views of the others become too stale",
            quorum_members: &[0, 1, 2],
            previous: &[],
            majority_since_ms: 0,
            change_complete: true,
            reports: &[(0, 5_000, 5_900), (1, 5_010, 5_500)],
            expired_at_ms: Some(7_010),
        },
        ExpiryCase {
            name: "half of the quorum members are no majority",
            quorum_members: &[0, 1, 2, 3],
            previous: &[],
            majority_since_ms: 0,
            change_complete: true,
            reports: &[(0, 5_000, 5_900), (1, 5_010, 5_500)],
            expired_at_ms: None,
        },
        ExpiryCase {
            name: "hosts 1 and 2 were promoted after they had applied the loss, while host 0, \
                   alone in the registry before, still acted on it",
            quorum_members: &[0, 1, 2],
            previous: &[0, 1],
            majority_since_ms: 8_000,
            change_complete: false,
            reports: &[(1, 5_000, 5_000), (2, 5_000, 5_000)],
            expired_at_ms: None,
        },
        ExpiryCase {
            name: "the majority counts only from the change of the registry on",
            quorum_members: &[0, 1, 2],
            previous: &[0, 1],
            majority_since_ms: 8_000,
            change_complete: false,
            reports: &[(0, 5_500, 5_000), (1, 5_000, 5_000), (2, 5_000, 5_000)],
            expired_at_ms: Some(10_000),
        },
    ];
    for case in cases {
        let quorum_members: Vec<HostProcess> = case
            .quorum_members
            .iter()
            .copied()
            .map(host_process)
            .collect();
        let previous: Vec<HostProcess> = case.previous.iter().copied().map(host_process).collect();
        let reports = case.reports.iter();
        let reports: Vec<HorizonReport> = reports.map(|r| report(r.0, r.1, r.2)).collect();
        let renewing_hosts = RenewingHosts {
            registered: &quorum_members,
            quorum_members: &quorum_members,
            previous: &previous,
            majority_since_ms: case.majority_since_ms,
            change_complete: case.change_complete,
        };
        let expired = expired_at_ms(renewing_hosts, &reports, EXPIRY_BOUND_MS);
        assert_eq!(expired, case.expired_at_ms, "{}", case.name);
    }
}

#[test]
fn a_renewal_is_valid_for_its_lease_plus_the_margin() {
    let mut renewal_state = RenewalState::default();
    let (epoch, process) = (LeaseEpoch(1), Incarnation(4));
    renewal_state.start_lease_epoch(epoch, 1_000);
    let response = LeaseResponse {
        incarnation: process,
        clock_ms: 50,
        lease_epoch: epoch,
        accepted: false,
        draining: false,
        grants_digest: 0,
    };
    renewal_state.record_response(&response, process, false, 1_000, 300);
    assert_eq!(renewal_state.order(process, 1_010, 1_200), Some(50 + 1_210));
    assert_eq!(renewal_state.remaining_ms(epoch, 2_210, 100), 100);
    // The remaining time must reach 0 at a later query, or the lease would never count as expired.
    assert_eq!(renewal_state.remaining_ms(epoch, 2_310, 100), 0);
    assert_eq!(renewal_state.remaining_ms(LeaseEpoch(2), 1_010, 100), 0);
}

fn apply(state: &mut State, change: Change) {
    state.apply_dry_run(change).expect("the change fits");
}

fn register(state: &mut State, number: u32, port: u16) {
    let change = Change::HostRegistered {
        name: format!("host-{number}"),
        incarnation: Incarnation(number.into()),
        peer_address: ([10, 0, 0, 1], port).into(),
        availability_zone: "z".to_owned(),
    };
    apply(state, change);
}

fn promote(state: &mut State, number: u32) {
    let incarnation = Incarnation(number.into());
    let host = state.host_key(incarnation).expect("registered");
    apply(state, Change::HostPromoted { host, incarnation });
    let registry = state.revision;
    apply(state, Change::RegistrySettled { registry });
}

#[test]
fn the_removal_of_the_only_quorum_member_is_not_complete_without_it() {
    let mut state = State::default();
    register(&mut state, 0, 1);
    register(&mut state, 1, 2);
    promote(&mut state, 0);
    let host = HostKey(0);
    let incarnation = Incarnation(0);
    apply(&mut state, Change::HostRemoved { host, incarnation });
    let mut tracker = ChangeTracker::default();
    assert!(tracker.pending(&state));
    tracker.record_applied(&state, &[host_process(1)], 5_000, EXPIRY_BOUND_MS);
    let completion = tracker.completion(&state, 60_000);
    assert!(
        completion.is_none(),
        "host 0 alone is a majority and may still act"
    );
}

#[test]
fn a_process_restarted_at_its_address_replaces_its_predecessor() {
    let mut state = State::default();
    register(&mut state, 0, 1);
    promote(&mut state, 0);
    register(&mut state, 7, 1);
    let successor = HostProcess {
        host: HostKey(0),
        incarnation: Incarnation(7),
    };
    assert_eq!(quorum_members(&state), [successor]);
    let mut tracker = ChangeTracker::default();
    assert!(tracker.pending(&state));
    tracker.record_applied(&state, &[successor], 5_000, EXPIRY_BOUND_MS);
    let early = tracker.completion(&state, 5_000);
    assert!(
        early.is_none(),
        "a late order of the previous process may arrive"
    );
    assert!(
        tracker
            .completion(&state, 5_000 + EXPIRY_BOUND_MS)
            .is_some()
    );
}

#[test]
fn a_heartbeat_reply_counts_from_its_ping_and_only_at_an_applied_revision() {
    struct Case {
        name: &'static str,
        revision: u64,
        staleness_ms: Option<u64>,
        quorum_members: u32,
        up_to_date_ms: Option<u64>,
    }
    let cases = [
        Case {
            name: "a peer's reply counts from its ping, less the staleness of the peer",
            revision: 5,
            staleness_ms: Some(40),
            quorum_members: 5,
            up_to_date_ms: Some(960),
        },
        Case {
            name: "two of three hosts are a majority",
            revision: 5,
            staleness_ms: None,
            quorum_members: 3,
            up_to_date_ms: Some(1_000),
        },
        Case {
            name: "a revision that is not applied yet does not count",
            revision: 6,
            staleness_ms: Some(0),
            quorum_members: 3,
            up_to_date_ms: None,
        },
    ];
    for case in cases {
        let mut staleness = StalenessTracker::default();
        let response = HeartbeatReply {
            host: HostKey(1),
            incarnation: Incarnation(1),
            sent_ms: 1_000,
            revision: Revision(case.revision),
            staleness_ms: case.staleness_ms,
        };
        let quorum_members: Vec<HostProcess> = (0..case.quorum_members).map(host_process).collect();
        staleness.record_heartbeat_reply(response, Revision(5), host_process(0), &quorum_members);
        assert_eq!(
            staleness.up_to_date_ms(),
            case.up_to_date_ms,
            "{}",
            case.name
        );
    }
}

fn reading(clock_ms: u64) -> ClockReading {
    ClockReading {
        clock_ms,
        unix_us: clock_ms * 1_000,
    }
}

fn slot_grant(epoch: u64) -> SlotGrant {
    SlotGrant {
        service: "w/s".to_owned(),
        slot: Slot(0),
        epoch: Epoch(epoch),
    }
}

fn order(lease_epoch: u64, not_after_ms: u64, epochs: &[u64]) -> LeaseRequest {
    LeaseRequest {
        incarnation: None,
        lease_epoch: LeaseEpoch(lease_epoch),
        not_after_ms,
        grants: epochs.iter().copied().map(slot_grant).collect(),
    }
}

#[test]
fn a_server_holds_a_slot_only_under_a_valid_lease_and_the_latest_epoch() {
    let admits =
        |grants: &Grants, epoch, clock_ms| grants.admits("w/s", Slot(0), Epoch(epoch), clock_ms);
    let mut grants = Grants::default();
    assert!(grants.renew(&order(1, 1_000, &[3]), reading(0)));
    assert!(admits(&grants, 3, 999));
    assert!(!admits(&grants, 3, 1_000), "the lease has expired");
    assert!(!admits(&grants, 2, 500), "an older lease epoch");
    grants.revoke(&slot_grant(4), reading(500));
    assert!(!admits(&grants, 3, 500), "revoked");
    grants.renew(&order(1, 1_500, &[3]), reading(600));
    assert!(
        !admits(&grants, 3, 700),
        "a delayed grant of an older epoch"
    );
    grants.renew(&order(1, 1_500, &[4]), reading(600));
    assert!(admits(&grants, 4, 700), "the slot was granted again");
    // The server was declared lost, its slot moved to another server, and it joined again.
    grants.renew(&order(2, 9_000, &[]), reading(8_000));
    assert!(
        !admits(&grants, 4, 8_500),
        "a grant of the last lease epoch"
    );
    assert!(!grants.renew(&order(1, 9_900, &[4]), reading(8_600)));
}
