//! Tests when a service counts as short of capacity, and what applies to its requests then.

use ashroad::entry::decide::{
    Policy,
    hot_keys::HotKey,
    retry_after::{BlockedBy, Refused},
    shortage::{self, ServiceLoad, Shortage, ShortageChange},
};

/// Guards against shortages that begin below the threshold, flap between the thresholds or do not
/// end, also without servers, and against a hot server that counts as a shortage of the service.
#[test]
fn a_shortage_begins_and_ends_at_its_thresholds() {
    struct Case {
        name: &'static str,
        /// Requests in flight at each server, in the order of the sums.
        sums: &'static [&'static [u32]],
        slots: u32,
        changes: &'static [Option<ShortageChange>],
    }
    const BEGIN: Option<ShortageChange> = Some(ShortageChange::Begin);
    const END: Option<ShortageChange> = Some(ShortageChange::End);
    let cases = [
        Case {
            name: "begins above the threshold only",
            sums: &[&[10, 10], &[16, 16], &[16, 17]],
            slots: 10,
            changes: &[None, None, BEGIN],
        },
        Case {
            name: "stays between the thresholds",
            sums: &[
                &[30, 30],
                &[12, 12],
                &[16, 17],
                &[12, 13],
                &[12, 11],
                &[16, 16],
            ],
            slots: 10,
            changes: &[BEGIN, None, None, None, END, None],
        },
        Case {
            name: "a hot server among idle ones counts up to four times its slots",
            sums: &[&[u32::MAX, 0, 0], &[u32::MAX, 5, 4]],
            slots: 10,
            changes: &[None, BEGIN],
        },
        Case {
            name: "no server gets new work",
            sums: &[&[], &[40], &[], &[]],
            slots: 10,
            changes: &[None, BEGIN, END, None],
        },
        Case {
            name: "servers without slots",
            sums: &[&[7, 9], &[u32::MAX]],
            slots: 0,
            changes: &[None, None],
        },
        Case {
            name: "as many slots as a number holds",
            sums: &[&[u32::MAX; 3], &[0; 3]],
            slots: u32::MAX,
            changes: &[None, None],
        },
    ];
    let policy = Policy::default();
    for case in cases {
        let mut shortage = Shortage::default();
        let mut is_short = false;
        for (sum, change) in case.sums.iter().zip(case.changes) {
            let mut load = ServiceLoad::default();
            sum.iter().for_each(|own| load.add(case.slots, *own));
            let found = shortage.update(load, &policy);
            assert_eq!(found, *change, "{}: {load:?}", case.name);
            is_short = change.map_or(is_short, |change| change == ShortageChange::Begin);
            assert_eq!(shortage.is_short(), is_short, "{}", case.name);
        }
    }
}

/// Guards against late retries of callers that a hot key blocks: their key stays hot or moves,
/// whatever the load of the service.
#[test]
fn a_hot_key_is_no_queue() {
    let hot = HotKey {
        service_tag: 1,
        key: 7,
        load_per_s: 40.0,
        capacity_per_s: 20.0,
    };
    let refused = Refused::hot_key(hot, 200.0, &Policy::default());
    assert_eq!(refused.blocked_by, BlockedBy::HotKey);
}

/// Guards against a sum over hundreds of servers for each request.
#[test]
fn the_sum_is_due_every_100_ms() {
    let mut shortage = Shortage::default();
    let due = [0, 99, 100, 150, 200, 900].map(|now_ms| shortage.take_due(now_ms));
    assert_eq!(due, [true, false, true, false, true, true]);
}

/// Guards against retry times beyond what callers honour, and against a setting that lengthens
/// queues during a shortage.
#[test]
fn callers_wait_longer_and_queues_are_shorter_in_a_shortage() {
    let times_ms = [0.0, 0.5, 0.999].map(|random| shortage::retry_after_ms(1_975, random));
    assert_eq!(times_ms, [987, 1_481, 1_974]);
    assert_eq!(shortage::retry_after_ms(0, 0.5), 0);
    for (queue_share, short_share, expected) in [(1.0, 0.85, 0.85), (0.5, 0.85, 0.5)] {
        let policy = Policy {
            queue_share,
            shortage_queue_share: short_share,
            ..Policy::default()
        };
        let found = shortage::admission_policy(&policy);
        assert_eq!(found.queue_share, expected);
        assert!(!found.late_may_queue && found.free_slot_admits);
    }
}
