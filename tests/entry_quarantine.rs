//! Tests how hosts find and quarantine requests that crash servers, without processes and sockets:
//! the evidence against suspects, trials of suspects, crash reports and the quarantine.

use std::net::SocketAddr;

use ashroad::entry::{
    crashes::reports::Reports,
    decide::{
        crash_tally::{CrashTally, SERVERS_NEEDED},
        path_tally::{DigestScope, PathTally, SharedSuspect},
        quarantine::{ANY_CALLER_QUARANTINE_MS, QUARANTINE_MS, Quarantine},
        trials::{CLAIM_MS, ClaimSubject, TrialClaims},
    },
    digest::{RequestDigest, RequestDigests},
    explain::{Source, explain},
    running_requests::RunningRequests,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const CRASHING: RequestDigest = RequestDigest(1);
const HARMLESS: RequestDigest = RequestDigest(2);
const MINUTE_MS: u64 = 60_000;

#[test]
fn a_request_is_the_cause_once_enough_servers_have_crashed_under_it() {
    struct Case {
        what: &'static str,
        /// Crashes as `(server tag, time in ms)`.
        crashes: &'static [(u32, u64)],
        reached: bool,
    }
    let cases = [
        Case {
            what: "one server",
            crashes: &[(1, 0)],
            reached: false,
        },
        Case {
            what: "two servers",
            crashes: &[(1, 0), (2, 3_500)],
            reached: true,
        },
        Case {
            what: "two servers, by a host that retries at once",
            crashes: &[(1, 0), (2, 40)],
            reached: true,
        },
        Case {
            what: "one server, reported by three hosts",
            crashes: &[(1, 0), (1, 1), (1, 2)],
            reached: false,
        },
        Case {
            what: "two servers, the first one long ago",
            crashes: &[(1, 0), (2, 16 * MINUTE_MS)],
            reached: false,
        },
        Case {
            what: "two servers after one long ago",
            crashes: &[(1, 0), (2, 16 * MINUTE_MS), (3, 17 * MINUTE_MS)],
            reached: true,
        },
    ];
    for case in cases {
        let mut tally = CrashTally::default();
        let mut reached = Vec::new();
        for (server_tag, at_ms) in case.crashes {
            reached.extend(tally.note(*server_tag, &[CRASHING], *at_ms));
        }
        assert_eq!(reached.contains(&CRASHING), case.reached, "{}", case.what);
    }
}

/// Guards against quarantining a harmless request when a zone is lost. Twelve servers crash at
/// once. The request is in flight at three of them, since its host and its caller retry it at once,
/// and no host has received a response to it.
#[test]
fn the_loss_of_a_zone_is_no_evidence_against_a_request() {
    let mut tally = CrashTally::default();
    let mut reached = Vec::new();
    for server_tag in 0..9 {
        reached.extend(tally.note(
            server_tag,
            &[RequestDigest(100 + u64::from(server_tag))],
            30,
        ));
    }
    for server_tag in 9..12 {
        reached.extend(tally.note(server_tag, &[HARMLESS], 60));
    }
    assert_eq!(reached, []);
    assert!(
        !tally.is_suspect(HARMLESS, 100),
        "the request became a suspect"
    );
    // The request counts as the cause if another server crashes during it later.
    assert_eq!(tally.note(20, &[HARMLESS], 4_000), [HARMLESS]);
}

#[test]
fn a_request_that_a_server_has_answered_is_not_the_cause() {
    let mut tally = CrashTally::default();
    for server_tag in 0..10 {
        let now_ms = u64::from(server_tag) * 3_500;
        let reached = tally.note(server_tag, &[CRASHING, HARMLESS], now_ms);
        assert!(!reached.contains(&HARMLESS));
        assert_eq!(reached.contains(&CRASHING), server_tag >= 1);
        assert!(tally.clear(HARMLESS));
        assert!(!tally.clear(HARMLESS), "already cleared");
    }
}

/// Guards against quarantining harmless requests that are sent again and again while servers crash
/// by chance. One of 60 servers crashes every 3 s for ten minutes. Each of 2,000 callers sends the
/// same request once a second; the request runs for 90 ms at a random server.
#[test]
fn repeated_requests_of_many_callers_are_served_while_servers_crash_by_chance() {
    const SERVERS: u32 = 60;
    const CALLERS: u64 = 2_000;
    const RUN_MS: f64 = 90.0;
    let mut rng = StdRng::seed_from_u64(36);
    let mut tally = CrashTally::default();
    let mut reached = 0;
    for end in 0..200 {
        let now_ms = end * 3_000;
        let in_flight: Vec<RequestDigest> = (0..CALLERS)
            .filter(|_| rng.random_bool(RUN_MS / 1_000.0 / f64::from(SERVERS)))
            .map(RequestDigest)
            .collect();
        reached += tally.note(end as u32, &in_flight, now_ms).len();
        // The callers retry a second later, and other servers answer these requests.
        for digest in in_flight {
            tally.clear(digest);
        }
    }
    assert_eq!(reached, 0);
    assert!(tally.is_empty());
}

#[test]
fn suspects_are_bounded_and_those_with_the_most_evidence_stay() {
    let mut tally = CrashTally::default();
    tally.note(1, &[CRASHING], 0);
    tally.note(2, &[CRASHING], 1);
    assert!(tally.is_suspect(CRASHING, 1));
    for end in 0..1_000u32 {
        let digests: Vec<RequestDigest> = (0..12)
            .map(|number| RequestDigest(1_000 + u64::from(end * 12 + number)))
            .collect();
        tally.note(10 + end, &digests, 2);
        assert!(tally.len() <= 4_096);
    }
    assert_eq!(tally.note(3, &[CRASHING], 3_500), [CRASHING]);
    assert_eq!(SERVERS_NEEDED, 2);
}

#[test]
fn quarantine_ends_and_is_bounded() {
    let mut quarantine = Quarantine::default();
    assert!(quarantine.add(CRASHING, 5));
    assert!(!quarantine.add(CRASHING, 6), "it is in quarantine already");
    assert_eq!(quarantine.remaining_ms(CRASHING, 5), Some(QUARANTINE_MS));
    assert_eq!(quarantine.remaining_ms(HARMLESS, 5), None);
    assert_eq!(quarantine.remaining_ms(CRASHING, 5 + QUARANTINE_MS), None);
    assert!(
        quarantine.add(CRASHING, 5 + QUARANTINE_MS),
        "added again after it expired"
    );
    for number in 0..1_000 {
        quarantine.add(RequestDigest(100 + number), QUARANTINE_MS + number);
    }
    assert_eq!(quarantine.len(), 256);
    let latest = quarantine.latest(QUARANTINE_MS + 1_000);
    assert_eq!(latest.first(), Some(&RequestDigest(1_099)));
    assert!(!latest.contains(&CRASHING));
    assert!(quarantine.latest(3 * QUARANTINE_MS).is_empty());
}

#[test]
fn crash_reports_go_to_all_hosts_and_again_to_a_new_leader() {
    let mut reports = Reports::default();
    reports.add(7, vec![CRASHING, HARMLESS], true);
    for _ in 0..3 {
        let due = reports.due(1);
        assert_eq!(due.len(), 1);
        assert_eq!((due[0].server_tag, due[0].digests.len()), (7, 2));
        assert!(due[0].to_all);
    }
    assert!(
        reports.due(1).is_empty(),
        "the reports have been sent often enough"
    );
    reports.clear(HARMLESS);
    let due = reports.due(2);
    assert_eq!((&*due[0].digests, due[0].to_all), (&[CRASHING][..], false));
    for server_tag in 0..1_000 {
        reports.add(server_tag, Vec::new(), false);
    }
    assert_eq!(reports.due(3).len(), 64);
}

/// Returns the digests of a request without a query, which are all equal here.
fn without_query(digest: u64) -> RequestDigests {
    let digest = RequestDigest(digest);
    RequestDigests {
        whole: digest,
        path: digest,
        content: digest,
        any_path: digest,
        caller_tag: 1,
    }
}

#[test]
fn abandoned_requests_stay_suspect_for_a_moment() {
    let mut running_requests = RunningRequests::default();
    for digest in 0..5 {
        running_requests.begin(without_query(digest));
    }
    running_requests.answered(without_query(0));
    running_requests.abandoned(without_query(1), 1_000);
    running_requests.begin(without_query(2));
    running_requests.answered(without_query(2));
    let all = [1, 2, 3, 4].map(RequestDigest);
    assert_eq!(running_requests.suspects(2_900), all);
    assert_eq!(running_requests.suspects(3_100), all[1..]);
}

#[test]
fn a_request_with_a_query_is_under_suspicion_with_and_without_it() {
    let mut running_requests = RunningRequests::default();
    for whole in [10, 11] {
        running_requests.begin(RequestDigests {
            whole: RequestDigest(whole),
            ..without_query(1)
        });
    }
    assert_eq!(running_requests.suspects(0), [1, 10, 11].map(RequestDigest));
}

#[test]
fn the_explanation_of_a_refusal_names_the_crashed_servers() {
    let first = r#"
        {"at_unix_ms":1000,"event":"server_ended","server":"i-1","digests":["0a","0b"]}
        {"at_unix_ms":1500,"event":"server_ended","server":"i-9","digests":["0b"]}
        {"at_unix_ms":8000,"event":"quarantined","digest":"0a","source":"servers ended under it"}"#;
    let second = r#"
        {"at_unix_ms":4500,"event":"server_ended","server":"i-2","digests":["0a"]}
        {"at_unix_ms":8010,"event":"quarantined","digest":"0c","source":"the store has it"}
        {"at_unix_ms":90000,"event":"request","request_id":"id-1","digest":"0a","decision":"refused"}"#;
    let sources = [("a", first), ("b", second)].map(|(name, text)| Source { name, text });
    let explanation = explain("id-1", &sources);
    let times: Vec<u64> = explanation.iter().map(|line| line.at_unix_ms).collect();
    assert_eq!(times, [1_000, 4_500, 8_000, 90_000]);
}

#[test]
fn one_host_at_a_time_tries_a_suspect() {
    let [first, second] = [1, 2].map(|last| SocketAddr::from(([10, 0, 0, last], 7_620)));
    // Both hosts claim the trial of the request before they receive each other's claim.
    let (mut of_first, mut of_second) = (TrialClaims::default(), TrialClaims::default());
    assert_eq!(of_first.claim(CRASHING, first, 0), Ok(()));
    assert_eq!(of_second.claim(CRASHING, second, 1), Ok(()));
    of_first.note(CRASHING, second, 3);
    of_second.note(CRASHING, first, 3);
    assert!(of_first.has(CRASHING, first, 25));
    assert!(!of_second.has(CRASHING, second, 26));
    // Neither host may run another trial of the request until the outcome of the first trial is
    // known or the claim expires.
    assert_eq!(of_second.claim(CRASHING, second, 103), Err(CLAIM_MS - 100));
    assert_eq!(of_first.claim(CRASHING, first, 100), Err(CLAIM_MS - 100));
    of_second.end(CRASHING);
    assert_eq!(of_second.claim(CRASHING, second, 104), Ok(()));
    assert_eq!(of_first.claim(CRASHING, first, CLAIM_MS), Ok(()));
    assert_eq!(
        of_first.claim(HARMLESS, first, CLAIM_MS),
        Ok(()),
        "a claim on another request"
    );
}

/// Returns a suspect whose digest does not cover the caller, from a request of the given caller.
fn shared(caller_tag: u32, scope: DigestScope, is_trial: bool) -> SharedSuspect {
    SharedSuspect {
        digest: CRASHING,
        scope,
        caller_tag,
        is_trial,
    }
}

#[test]
fn a_request_of_many_callers_needs_several_callers_and_a_trial_as_evidence() {
    struct Case {
        what: &'static str,
        scope: DigestScope,
        /// Crashes as `(server tag, caller tag, whether the request was a trial, time in ms)`.
        crashes: &'static [(u32, u32, bool, u64)],
        reached: bool,
    }
    use DigestScope::{Content, Path};
    let cases = [
        Case {
            what: "two servers under one caller",
            scope: Content,
            crashes: &[(1, 7, false, 0), (2, 7, true, 3_500), (3, 7, true, 7_000)],
            reached: false,
        },
        Case {
            what: "a trial of another caller",
            scope: Content,
            crashes: &[(1, 7, false, 0), (2, 8, true, 3_500)],
            reached: true,
        },
        Case {
            what: "two callers at the first server, a trial of one of them",
            scope: Content,
            crashes: &[(1, 7, false, 0), (1, 8, false, 0), (2, 7, true, 3_500)],
            reached: true,
        },
        Case {
            what: "two callers at one server",
            scope: Content,
            crashes: &[(1, 7, false, 0), (1, 8, false, 0)],
            reached: false,
        },
        Case {
            what: "two callers, no trial: another request may have crashed the servers",
            scope: Content,
            crashes: &[(1, 7, false, 0), (2, 8, false, 40), (3, 9, false, 80)],
            reached: false,
        },
        Case {
            what: "a trial 16 minutes later",
            scope: Content,
            crashes: &[(1, 7, false, 0), (2, 8, true, 16 * MINUTE_MS)],
            reached: false,
        },
        Case {
            what: "three servers under different requests for a path",
            scope: Path,
            crashes: &[(1, 7, false, 0), (2, 8, false, 600), (3, 9, false, 1_200)],
            reached: true,
        },
        Case {
            what: "three servers at once under different requests for a path",
            scope: Path,
            crashes: &[(1, 7, false, 0), (2, 8, false, 60), (3, 9, false, 120)],
            reached: false,
        },
        Case {
            what: "two servers under different requests for a path",
            scope: Path,
            crashes: &[(1, 7, false, 0), (2, 8, false, 3_500)],
            reached: false,
        },
    ];
    for case in cases {
        let mut tally = PathTally::default();
        let mut reached = Vec::new();
        for (server_tag, caller_tag, is_trial, at_ms) in case.crashes {
            let suspect = shared(*caller_tag, case.scope, *is_trial);
            reached.extend(tally.note(*server_tag, &[suspect], false, *at_ms));
        }
        assert_eq!(reached.contains(&CRASHING), case.reached, "{}", case.what);
    }
}

#[test]
fn only_a_success_sent_after_the_crash_clears_a_path() {
    let mut tally = PathTally::default();
    tally.note(1, &[shared(7, DigestScope::Content, false)], false, 1_000);
    assert!(!tally.clear(CRASHING, 990), "sent before the crash");
    assert!(tally.is_suspect(CRASHING, 1_100));
    assert!(tally.clear(CRASHING, 1_010));
    assert!(tally.is_empty());
    let reached = tally.note(2, &[shared(8, DigestScope::Content, true)], false, 2_000);
    assert_eq!(reached, [], "the first crash no longer counts");
}

#[test]
fn a_mass_crash_is_no_evidence_against_a_path() {
    let mut tally = PathTally::default();
    for server_tag in 0..12 {
        let suspects = [7, 8].map(|caller_tag| shared(caller_tag, DigestScope::Path, false));
        let at_ms = u64::from(server_tag) * 400;
        assert_eq!(tally.note(server_tag, &suspects, true, at_ms), []);
    }
    assert!(tally.is_empty());
}

#[test]
fn suspected_paths_are_bounded() {
    let mut tally = PathTally::default();
    tally.note(1, &[shared(7, DigestScope::Content, false)], false, 0);
    tally.note(2, &[shared(7, DigestScope::Content, true)], false, 1);
    for end in 0..1_000u32 {
        let suspects: Vec<SharedSuspect> = (0..12)
            .map(|number| SharedSuspect {
                digest: RequestDigest(1_000 + u64::from(end * 12 + number)),
                ..shared(7, DigestScope::Content, false)
            })
            .collect();
        tally.note(10 + end, &suspects, false, 2);
        assert!(tally.len() <= 4_096);
    }
    assert!(
        tally.is_suspect(CRASHING, 2),
        "the suspect with the most evidence"
    );
}

#[test]
fn quarantine_for_all_callers_is_shorter() {
    let any_caller = RequestDigest(1 << 63 | 5);
    let mut quarantine = Quarantine::default();
    quarantine.add(any_caller, 0);
    quarantine.add(CRASHING, 0);
    assert_eq!(
        quarantine.remaining_ms(any_caller, ANY_CALLER_QUARANTINE_MS),
        None
    );
    assert!(
        quarantine
            .remaining_ms(CRASHING, ANY_CALLER_QUARANTINE_MS)
            .is_some()
    );
    // The evidence against the content lasts longer than its quarantine, so that only one host at a
    // time runs a trial of the request afterwards.
    let mut tally = PathTally::default();
    tally.note(1, &[shared(7, DigestScope::Content, false)], false, 0);
    assert!(tally.is_suspect(CRASHING, ANY_CALLER_QUARANTINE_MS));
}

#[test]
fn a_broken_trial_remains_a_trial_until_it_is_answered() {
    let mut running_requests = RunningRequests::default();
    running_requests.begin(without_query(3));
    running_requests.begin_trial(without_query(4));
    let is_trial = |running_requests: &RunningRequests, digest| {
        let suspects = running_requests.shared_suspects(1_000);
        let found = suspects.iter().find(|s| s.digest == RequestDigest(digest));
        found.map(|suspect| suspect.is_trial)
    };
    assert_eq!(
        [3, 4].map(|digest| is_trial(&running_requests, digest)),
        [Some(false), Some(true)]
    );
    // The host abandons the request because its connection breaks when the server crashes.
    running_requests.abandoned(without_query(4), 990);
    assert_eq!(is_trial(&running_requests, 4), Some(true));
    running_requests.begin_trial(without_query(5));
    running_requests.answered(without_query(5));
    running_requests.begin(without_query(5));
    assert_eq!(is_trial(&running_requests, 5), Some(false));
}

#[test]
fn one_suspect_at_a_time_is_tried_at_a_server() {
    let [first, second] = [1, 2].map(|last| SocketAddr::from(([10, 0, 0, last], 7_620)));
    let mut trials = TrialClaims::default();
    assert_eq!(trials.claim(ClaimSubject::Server(9), first, 0), Ok(()));
    trials.note(ClaimSubject::Server(8), second, 0);
    assert!(trials.claim(ClaimSubject::Server(9), first, 10).is_err());
    assert!(trials.claim(ClaimSubject::Server(8), first, 10).is_err());
    assert_eq!(trials.claim(ClaimSubject::Server(7), first, 10), Ok(()));
    trials.end(ClaimSubject::Server(8));
    assert_eq!(trials.claim(ClaimSubject::Server(8), first, 20), Ok(()));
}
