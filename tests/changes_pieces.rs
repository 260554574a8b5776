//! Changes of servers' entries that are sent in several datagrams are applied together or not at all.

use std::sync::Arc;

use ashroad::entry::{
    model::{ServerEntry, incarnation_id},
    updates::{
        changes_pieces::{ChangesAssembly, ChangesPiece, PIECES_CHANGES_MAX, split_into_pieces},
        server_changes::{RecentChanges, Selection, ServerChange, ServerChanges, ServerUpdate},
    },
};

const AFTER: u64 = 100;

fn entry(number: usize) -> ServerEntry {
    let name = format!("i-{number:010}");
    ServerEntry {
        id: incarnation_id(&name, 1_791_000_000_000),
        name: name.into(),
        started_ms: 1_791_000_000_000,
        service: "oslo-a".into(),
        address: "10.0.0.1:7000".parse().expect("an address"),
        availability_zone: "zone-1".into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

/// Returns a range with entries of one version each, and after them removals of the last version.
fn range(entries: usize, removals: usize) -> ServerChanges {
    let up_to = AFTER + entries as u64 + 1;
    let written = (0..entries).map(|number| ServerChange {
        version: AFTER + 1 + number as u64,
        update: ServerUpdate::Entry(entry(number)),
    });
    let removed = (0..removals).map(|number| {
        let name: Arc<str> = format!("gone-{number}").into();
        ServerChange {
            version: up_to,
            update: ServerUpdate::Removed(name),
        }
    });
    ServerChanges {
        selection: Selection::All,
        after: AFTER,
        up_to,
        changes: written.chain(removed).collect(),
    }
}

/// Order in which the pieces of a range arrive.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    InOrder,
    Reversed,
    /// The piece with this index arrives twice.
    Twice(usize),
    /// The piece with this index is lost.
    Lost(usize),
    /// A piece of a later range arrives between the first piece and the others.
    LaterBetween,
    /// A piece of an earlier range arrives between the first piece and the others.
    EarlierBetween,
}

impl Arrival {
    fn pieces(self, mut pieces: Vec<ChangesPiece>) -> Vec<ChangesPiece> {
        match self {
            Self::InOrder => {}
            Self::Reversed => pieces.reverse(),
            Self::Twice(index) => pieces.insert(index, pieces[index].clone()),
            Self::Lost(index) => drop(pieces.remove(index)),
            Self::LaterBetween => {
                let mut other = pieces[0].clone();
                other.up_to += 1;
                pieces.insert(1, other);
            }
            Self::EarlierBetween => {
                let mut other = pieces[0].clone();
                other.after -= 1;
                other.up_to -= 1;
                pieces.insert(1, other);
            }
        }
        pieces
    }
}

/// Guards against hosts that count a version as applied of which they have applied only some of the
/// removals, and so send requests to the servers of the other ones.
#[test]
fn changes_of_one_version_are_applied_together() {
    struct Case {
        name: &'static str,
        entries: usize,
        removals: usize,
        pieces: usize,
        arrival: Arrival,
        is_applied: bool,
    }
    let case = |name, entries, removals, pieces, arrival, is_applied| Case {
        name,
        entries,
        removals,
        pieces,
        arrival,
        is_applied,
    };
    let cases = [
        case("one piece", 8, 16, 1, Arrival::InOrder, true),
        case("cut between removals", 35, 16, 3, Arrival::InOrder, true),
        case("only removals", 0, 30, 2, Arrival::InOrder, true),
        case("cut between entries", 60, 0, 3, Arrival::InOrder, true),
        case("the most changes", 300, 300, 25, Arrival::InOrder, true),
        case("reversed", 35, 16, 3, Arrival::Reversed, true),
        case("a piece twice", 0, 55, 3, Arrival::Twice(1), true),
        case("the first piece lost", 0, 55, 3, Arrival::Lost(0), false),
        case("the middle piece lost", 0, 55, 3, Arrival::Lost(1), false),
        case("the last piece lost", 0, 55, 3, Arrival::Lost(2), false),
        case(
            "a later range between",
            0,
            55,
            3,
            Arrival::LaterBetween,
            false,
        ),
        case(
            "an earlier range between",
            0,
            55,
            3,
            Arrival::EarlierBetween,
            true,
        ),
    ];
    for case in cases {
        let range = range(case.entries, case.removals);
        let pieces = split_into_pieces(&range);
        assert_eq!(pieces.len(), case.pieces, "{}", case.name);
        for piece in &pieces {
            let bytes = postcard::to_stdvec(piece).expect("a message").len();
            assert!(bytes < 1_400, "{}: {bytes} bytes", case.name);
        }
        let mut assembly = ChangesAssembly::default();
        let arriving = case.arrival.pieces(pieces).into_iter();
        let whole: Vec<ServerChanges> = arriving.filter_map(|piece| assembly.take(piece)).collect();
        let expected = if case.is_applied {
            vec![range.clone()]
        } else {
            Vec::new()
        };
        assert_eq!(whole, expected, "{}", case.name);
        for whole in whole {
            let new = whole.new_after(AFTER);
            assert_eq!(new, Some(range.changes.clone()), "{}", case.name);
        }
    }
}

#[test]
fn too_many_changes_and_too_many_pieces_are_not_sent() {
    assert!(split_into_pieces(&range(0, 0)).is_empty());
    assert!(split_into_pieces(&range(0, PIECES_CHANGES_MAX + 1)).is_empty());
    let mut piece = split_into_pieces(&range(0, 1)).remove(0);
    piece.count = u16::MAX;
    assert_eq!(ChangesAssembly::default().take(piece), None);
}

/// Guards against kept changes that begin in the middle of a version: a host that is told the rest of
/// the version would count it as applied.
#[test]
fn kept_changes_do_not_begin_within_a_version() {
    /// Removals of one version: more changes than a host keeps.
    const REMOVALS: usize = 4_010;
    let whole = range(5, REMOVALS);
    let mut kept = RecentChanges::default();
    kept.note(&whole);
    assert!(!kept.reaches_back_to(AFTER));
    assert!(!kept.reaches_back_to(whole.up_to - 1));
    assert_eq!(kept.after(whole.up_to - 1), None);
    assert_eq!(kept.after(whole.up_to), None);
}
