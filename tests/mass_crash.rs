//! Tests which requests become suspect when several servers crash at the same time, in virtual time
//! and with the decision code that hosts run.

use ashroad::entry::{
    decide::{
        crash_tally::CrashTally,
        path_tally::{DigestScope, PathTally, SharedSuspect},
    },
    digest::RequestDigest,
};

const FIRST: RequestDigest = RequestDigest(1 << 63 | 1);
const SECOND: RequestDigest = RequestDigest(1 << 63 | 2);
const HARMLESS: RequestDigest = RequestDigest(1 << 63 | 3);
const OTHER: RequestDigest = RequestDigest(1 << 63 | 4);

/// Evidence of one host, kept as `Entry::note_suspects` does.
#[derive(Default)]
struct Host {
    tally: CrashTally,
    path_tally: PathTally,
}

impl Host {
    /// Records a crash while requests with these contents of one caller were in flight, and returns
    /// the contents that count as the cause.
    fn note(
        &mut self,
        server_tag: u32,
        contents: &[RequestDigest],
        caller_tag: u32,
        is_trial: bool,
        at_ms: u64,
    ) -> Vec<RequestDigest> {
        let of_caller = RequestDigest(u64::from(caller_tag));
        self.tally.note(server_tag, &[of_caller], at_ms);
        let shared = contents.iter().map(|digest| SharedSuspect {
            digest: *digest,
            scope: DigestScope::Content,
            caller_tag,
            is_trial,
        });
        let shared: Vec<_> = shared.collect();
        let is_mass_crash = self.tally.has_recent_mass_crash(at_ms);
        let reached = self
            .path_tally
            .note(server_tag, &shared, is_mass_crash, at_ms);
        if self.tally.has_recent_large_crash(at_ms) {
            self.path_tally.drop_pending();
        }
        reached
    }
}

/// Plays both attempts of a request and then both of another one: four crashes within 111 ms.
fn crash_four() -> Host {
    let mut host = Host::default();
    assert_eq!(host.note(1, &[FIRST], 7, false, 1_000), []);
    assert_eq!(host.note(2, &[FIRST], 7, false, 1_037), []);
    assert_eq!(host.note(3, &[SECOND, HARMLESS], 8, false, 1_074), []);
    assert_eq!(host.note(4, &[SECOND], 8, false, 1_111), []);
    host
}

/// Guards against a path that is never tried alone because its crashes come right after those of
/// another path and look like the loss of a zone: 13 of 16 servers crashed.
#[test]
fn both_of_two_paths_that_crash_servers_at_once_are_found() {
    let mut host = crash_four();
    assert!(host.path_tally.is_suspect(FIRST, 1_112));
    assert!(host.path_tally.is_suspect(SECOND, 1_112), "is tried alone");
    assert_eq!(host.note(5, &[FIRST], 9, true, 1_650), [FIRST]);
    assert_eq!(
        host.note(6, &[SECOND], 10, true, 1_660),
        [],
        "the crashes before may have another cause"
    );
    assert_eq!(host.note(7, &[SECOND], 11, true, 2_250), [SECOND]);
}

/// Guards against holding back and blaming harmless contents that were in flight in a mass crash.
#[test]
fn harmless_contents_are_cleared_by_a_success() {
    let mut host = crash_four();
    assert!(
        !host.path_tally.is_suspect(HARMLESS, 1_112),
        "in flight at one server"
    );
    assert!(
        !host.path_tally.clear(SECOND, 1_070),
        "sent before the crashes"
    );
    assert!(host.path_tally.clear(SECOND, 1_120));
    assert!(!host.path_tally.is_suspect(SECOND, 1_130));
    assert!(!host.path_tally.clear(SECOND, 1_140), "already cleared");
    assert!(
        !host.path_tally.is_suspect(FIRST, 1_000 + 16 * 60_000),
        "long ago"
    );
}

/// Guards against trials of all requests that were in flight when a zone was lost, and against
/// blaming one of them for the crash of a last server of the zone during its trial.
#[test]
fn the_loss_of_a_zone_makes_no_content_suspect() {
    struct Case {
        servers: u32,
        is_suspect: bool,
    }
    let case = |servers, is_suspect| Case {
        servers,
        is_suspect,
    };
    let cases = [
        case(3, false),
        case(4, true),
        case(8, true),
        case(9, false),
        case(216, false),
    ];
    for case in cases {
        let mut host = Host::default();
        // Hosts send each report again.
        for first_ms in [1_000, 2_200] {
            for server_tag in 0..case.servers {
                // The first two crashes are no mass crash yet.
                let content = if server_tag < 2 { OTHER } else { HARMLESS };
                let at_ms = first_ms + u64::from(server_tag * 100 / case.servers);
                let reached = host.note(server_tag, &[content], server_tag, false, at_ms);
                assert_eq!(reached, []);
            }
        }
        let is_suspect = host.path_tally.is_suspect(HARMLESS, 2_310);
        assert_eq!(is_suspect, case.is_suspect, "{} servers", case.servers);
        let reached = host.note(1_000, &[HARMLESS], 1_000, true, 2_320);
        assert_eq!(reached, [], "{} servers", case.servers);
    }
}

/// Guards against suspecting requests because only the first reports of a large crash are sent
/// again.
#[test]
fn a_large_crash_is_remembered_while_reports_are_sent_again() {
    let mut host = Host::default();
    for server_tag in 0..12 {
        host.note(server_tag, &[HARMLESS], server_tag, false, 1_000);
    }
    for server_tag in 0..8 {
        // The first two crashes are no mass crash yet.
        let content = if server_tag < 2 { HARMLESS } else { OTHER };
        host.note(server_tag, &[content], server_tag, false, 2_200);
    }
    assert!(!host.path_tally.is_suspect(OTHER, 2_300));
}
