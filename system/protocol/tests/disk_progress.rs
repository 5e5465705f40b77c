//! Comparing and merging states of the same disk.
use googletest::prelude::*;
use magpiegap_protocol::{Ballot, DiskProgress, LogIndex, LogPosition, ViewNumber};

/// The view, the rounds promised and accepted for the next view, and view and index of the last committed entry.
type Progress = (u64, Option<u64>, Option<u64>, (u64, u64));

fn progress((view, promised, accepted, (entry_view, index)): Progress) -> DiskProgress {
    let ballot = |round| Ballot { round, proposer: 1 };
    DiskProgress {
        view: ViewNumber(view),
        promised: promised.map(ballot),
        accepted: accepted.map(ballot),
        committed: LogPosition {
            view: ViewNumber(entry_view),
            index: LogIndex(index),
        },
    }
}

#[googletest::test]
fn disk_missing_view_vote_or_entry_is_behind() {
    let earlier = (7, Some(4), Some(4), (6, 90));
    let cases: [(&str, Progress, bool); 12] = [
        ("the same state", (7, Some(4), Some(4), (6, 90)), false),
        ("more entries", (7, Some(4), Some(4), (6, 95)), false),
        ("a higher promise", (7, Some(5), Some(4), (6, 90)), false),
        (
            "the next view, no vote yet",
            (8, None, None, (6, 90)),
            false,
        ),
        ("an entry of a later view", (8, None, None, (8, 91)), false),
        ("an older view", (6, Some(9), Some(9), (6, 90)), true),
        ("no promise", (7, None, None, (6, 90)), true),
        ("a lower promise", (7, Some(3), Some(3), (6, 90)), true),
        ("no accepted view", (7, Some(4), None, (6, 90)), true),
        (
            "accepted in a lower ballot",
            (7, Some(4), Some(3), (6, 90)),
            true,
        ),
        ("fewer entries", (7, Some(4), Some(4), (6, 89)), true),
        // A higher index, but not the entries that were committed.
        ("entries of an older view", (8, None, None, (5, 200)), true),
    ];
    for (name, found, behind) in cases {
        let is_behind = progress(found).is_behind(&progress(earlier));
        expect_that!(is_behind, eq(behind), "{name}");
    }
}

#[googletest::test]
fn progress_never_decreases() {
    let cases: [(&str, Progress, Progress, Progress); 3] = [
        (
            "a new view resets the ballots",
            (7, Some(4), Some(4), (6, 90)),
            (8, None, None, (0, 0)),
            (8, None, None, (6, 90)),
        ),
        (
            "an older report changes nothing",
            (7, Some(4), None, (6, 90)),
            (7, Some(3), Some(3), (6, 80)),
            (7, Some(4), None, (6, 90)),
        ),
        (
            "entries advance without votes",
            (7, None, None, (6, 90)),
            (6, Some(9), None, (7, 91)),
            (7, None, None, (7, 91)),
        ),
    ];
    for (name, before, other, after) in cases {
        let mut merged = progress(before);
        merged.advance(&progress(other));
        expect_that!(merged, eq(progress(after)), "{name}");
    }
}
