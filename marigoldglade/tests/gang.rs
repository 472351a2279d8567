//! A gang's start, step by step: no body starts unless every worker confirmed its commit.

use marigoldglade::gang::{
    Action, COMMIT_LEASE_MS, Cause, Event, Gang, Outcome, PREPARE_LEASE_MS, PREPARE_TIMEOUT_MS,
    RECOVER_TIMEOUT_MS, START_LEASE_MS, Stage,
};
use marigoldglade::prelude::*;
use marigoldglade::wire::{Order, TaskState};
use rstest::rstest;

const NOW: UnixMs = UnixMs(1_000);

/// Three workers and the orders that each got.
struct Bench {
    gang: Gang,
    now: UnixMs,
    out: Vec<Action>,
}

impl Bench {
    fn new() -> Self {
        let vms = ["a", "b", "c"].map(str::to_owned);
        let mut out = Vec::new();
        let gang = Gang::new(NOW, "dc/w/j", 1, (8, ""), &vms, &mut out);
        let now = NOW;
        Self { gang, now, out }
    }

    fn found(stands: [Option<TaskState>; 3]) -> Self {
        let vms = ["a", "b", "c"].map(str::to_owned);
        let gang = Gang::recover(NOW, "dc/w/j", 1, &vms, NOW.after(100_000));
        let (now, out) = (NOW, Vec::new());
        let mut bench = Self { gang, now, out };
        for (i, stand) in (0..).zip(stands) {
            if let Some(stand) = stand {
                bench.tell(i, stand);
            }
        }
        // A stage follows another only with the next event.
        bench.step(Event::Tick);
        bench.step(Event::Tick);
        bench
    }

    fn step(&mut self, event: Event) {
        self.gang.step(self.now, event, &mut self.out);
    }

    fn tell(&mut self, index: u16, stand: TaskState) {
        self.step(Event::TaskState(index, stand, String::new()));
    }

    fn tell_all(&mut self, stand: TaskState) {
        (0..3).for_each(|i| self.tell(i, stand));
    }

    fn wait(&mut self, ms: u64) {
        self.now = self.now.after(ms);
        self.step(Event::Tick);
    }

    fn sent(&self, wanted: impl Fn(&Order) -> bool) -> usize {
        let sent = |a: &&Action| matches!(a, Action::Send(_, order) if wanted(order));
        self.out.iter().filter(sent).count()
    }

    fn ran(&self) -> bool {
        self.sent(|o| matches!(o, Order::Run { .. })) > 0
    }

    fn outcome(&self) -> Option<&Outcome> {
        self.out.iter().find_map(|a| match a {
            Action::Ended(outcome) => Some(outcome),
            _ => None,
        })
    }

    /// Brings the gang up to a stage.
    fn up_to(mut self, stage: &Stage) -> Self {
        let steps = [
            TaskState::Prepared,
            TaskState::Committed,
            TaskState::Running,
        ];
        for stand in steps {
            if self.gang.stage() == stage {
                break;
            }
            self.tell_all(stand);
            if *self.gang.stage() == Stage::Record && *stage != Stage::Record {
                self.step(Event::Recorded);
            }
        }
        assert_eq!(self.gang.stage(), stage);
        self
    }
}

#[test]
fn bodies_start_only_after_all_commits() {
    let mut bench = Bench::new().up_to(&Stage::Commit);
    bench.tell(0, TaskState::Committed);
    bench.tell(1, TaskState::Committed);
    assert!(!bench.ran());
    bench.tell(2, TaskState::Committed);
    assert!(bench.ran());
}

#[test]
fn no_commit_is_sent_before_the_start_is_on_record() {
    let mut bench = Bench::new();
    bench.tell_all(TaskState::Prepared);
    assert!(bench.out.contains(&Action::Record));
    assert_eq!(bench.sent(|o| matches!(o, Order::Commit { .. })), 0);
    bench.step(Event::Recorded);
    assert_eq!(bench.sent(|o| matches!(o, Order::Commit { .. })), 3);
}

#[rstest]
#[case::refused(Stage::Prepare, Some(TaskState::Refused))]
#[case::late(Stage::Prepare, None)]
#[case::died_while_recorded(Stage::Record, Some(TaskState::Absent))]
#[case::record_late(Stage::Record, None)]
#[case::died_before_commit(Stage::Commit, Some(TaskState::Absent))]
#[case::commit_answer_lost_for_good(Stage::Commit, None)]
fn a_start_that_one_worker_fails_leaves_nothing_running(
    #[case] stage: Stage,
    #[case] told: Option<TaskState>,
) {
    let mut bench = Bench::new().up_to(&stage);
    match told {
        Some(stand) => bench.tell(1, stand),
        None => {
            bench.tell(0, TaskState::Prepared);
            bench.wait(
                PREPARE_TIMEOUT_MS
                    .max(PREPARE_LEASE_MS)
                    .max(COMMIT_LEASE_MS),
            );
        }
    }
    assert!(matches!(bench.gang.stage(), Stage::Abort(_)));
    assert!(bench.sent(|o| matches!(o, Order::Abort { .. })) >= 2);
    bench.tell(0, TaskState::Absent);
    assert!(
        bench.outcome().is_none(),
        "the third worker may still hold it"
    );
    bench.wait(PREPARE_LEASE_MS + COMMIT_LEASE_MS);
    assert!(matches!(bench.outcome(), Some(Outcome::NotRun(_))));
    assert!(!bench.ran());
}

#[test]
fn a_lost_commit_answer_is_made_up_for() {
    let mut bench = Bench::new().up_to(&Stage::Commit);
    bench.tell(0, TaskState::Committed);
    bench.tell(2, TaskState::Committed);
    bench.out.clear();
    bench.wait(1_000);
    assert_eq!(bench.sent(|o| matches!(o, Order::Commit { .. })), 1);
    bench.tell(1, TaskState::Committed);
    assert!(bench.ran());
}

#[test]
fn a_part_whose_mates_do_not_start_is_stopped() {
    let mut bench = Bench::new().up_to(&Stage::Run);
    bench.tell(0, TaskState::Running);
    bench.wait(START_LEASE_MS);
    assert_eq!(
        *bench.gang.stage(),
        Stage::Stop(Cause::Lost("b".to_owned()))
    );
    assert_eq!(bench.sent(|o| matches!(o, Order::Renew { .. })), 0);
    bench.tell(0, TaskState::Stopped);
    bench.wait(START_LEASE_MS);
    assert!(matches!(
        bench.outcome(),
        Some(Outcome::Interrupted(Cause::Lost(_)))
    ));
}

#[rstest]
#[case([Some(TaskState::Prepared), None, None], "undo")]
#[case([Some(TaskState::Committed); 3], "undo")]
#[case([Some(TaskState::Committed), Some(TaskState::Running), Some(TaskState::Committed)], "run")]
#[case([Some(TaskState::Running); 3], "running")]
#[case([Some(TaskState::Done); 3], "over")]
#[case([Some(TaskState::Committed), Some(TaskState::Committed), None], "recover")]
#[case([Some(TaskState::Committed), Some(TaskState::Absent), Some(TaskState::Committed)], "stop")]
#[case([Some(TaskState::Running), Some(TaskState::Absent), Some(TaskState::Running)], "stop")]
#[case([Some(TaskState::Absent); 3], "over")]
fn a_found_start_is_resolved_by_what_workers_know(
    #[case] stands: [Option<TaskState>; 3],
    #[case] wanted: &str,
) {
    let bench = Bench::found(stands);
    let stage = match bench.gang.stage() {
        Stage::Abort(_) => "undo",
        Stage::Run => "run",
        Stage::Running => "running",
        Stage::Recover => "recover",
        Stage::Stop(_) => "stop",
        _ => "over",
    };
    assert_eq!(stage, wanted);
}

#[test]
fn a_found_start_with_a_silent_worker_is_stopped() {
    let mut bench = Bench::found([Some(TaskState::Running), Some(TaskState::Running), None]);
    bench.wait(RECOVER_TIMEOUT_MS);
    assert_eq!(
        *bench.gang.stage(),
        Stage::Stop(Cause::Lost("c".to_owned()))
    );
}
