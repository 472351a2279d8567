//! Tests of which records go into a commit that can't hold all changes, as with a slow store.

use marigoldglade::batch::commit_order::{Change, Reason, select};
use marigoldglade::batch::engine::JobKey;

fn change(reason: Reason, priority: u32, job: u32) -> Change {
    Change {
        reason,
        priority,
        job: JobKey(job),
    }
}

fn keys(range: std::ops::Range<u32>) -> Vec<JobKey> {
    range.map(JobKey).collect()
}

#[test]
fn all_changes_go_into_a_commit_that_holds_them() {
    let changes = (0..24).map(|n| change(Reason::Progress, 1, n)).collect();
    assert_eq!(select(changes, 24), keys(0..24));
}

#[test]
fn records_that_callers_wait_for_come_before_older_progress() {
    let mut changes: Vec<Change> = (0..100).map(|n| change(Reason::Progress, 0, n)).collect();
    changes.push(change(Reason::Caller, 2, 200));
    changes.push(change(Reason::Caller, 0, 201));
    changes.push(change(Reason::End, 1, 150));
    let selected = select(changes, 8);
    assert_eq!(selected[..3], [JobKey(201), JobKey(200), JobKey(150)]);
    assert_eq!(selected[3..], keys(0..5));
}

/// A flood of submissions: progress is still written, or no completion would ever be acknowledged.
#[test]
fn a_quarter_of_each_commit_is_kept_for_progress() {
    let mut changes: Vec<Change> = (100..200).map(|n| change(Reason::Caller, 0, n)).collect();
    changes.extend((0..50).map(|n| change(Reason::Progress, 2, n)));
    let selected = select(changes, 24);
    assert_eq!(selected.len(), 24);
    assert_eq!(selected[..18], keys(100..118));
    assert_eq!(selected[18..], keys(0..6));
}

#[test]
fn a_commit_of_one_record_is_possible() {
    let changes = vec![change(Reason::Caller, 0, 1), change(Reason::Progress, 0, 0)];
    assert_eq!(select(changes, 1), [JobKey(1)]);
}

/// Guards against a done task that runs again: records with completions that only the owner knows
/// come first, and callers still get a part of each commit.
#[test]
fn completions_that_only_the_owner_knows_come_first() {
    let mut changes: Vec<Change> = (0..50).map(|n| change(Reason::Progress, 0, n)).collect();
    changes.extend((100..200).map(|n| change(Reason::Caller, 0, n)));
    changes.extend((300..303).map(|n| change(Reason::OnlyCopy, 2, n)));
    let selected = select(changes.clone(), 24);
    assert_eq!(selected[..3], keys(300..303));
    assert_eq!(selected[3..19], keys(100..116));
    assert_eq!(selected[19..], keys(0..5));

    changes.extend((303..340).map(|n| change(Reason::OnlyCopy, 2, n)));
    let selected = select(changes, 24);
    assert_eq!(selected[..12], keys(300..312));
    assert_eq!(selected[12..21], keys(100..109));
    assert_eq!(selected[21..], keys(312..315));
}
