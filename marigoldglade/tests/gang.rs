//! One start of a gang: no body starts unless every worker has confirmed its commit.

use marigoldglade::gang::{
    Action, COMMIT_LEASE_MS, Cause, Event, Gang, Outcome, PREPARE_LEASE_MS, PREPARE_TIMEOUT_MS,
    RECOVER_TIMEOUT_MS, START_LEASE_MS, Stage,
};
use marigoldglade::prelude::*;
use marigoldglade::wire::{Order, TaskState};
use rstest::rstest;

const NOW: UnixMs = UnixMs(1_000);

/// A gang on three workers, and all its actions.
struct Fixture {
    gang: Gang,
    now: UnixMs,
    out: Vec<Action>,
}

impl Fixture {
    fn new() -> Self {
        let vms = ["a", "b", "c"].map(str::to_owned);
        let mut out = Vec::new();
        let gang = Gang::new(NOW, "dc/w/j", 1, (8, ""), &vms, &mut out);
        let now = NOW;
        Self { gang, now, out }
    }

    fn recover(states: [Option<TaskState>; 3]) -> Self {
        let vms = ["a", "b", "c"].map(str::to_owned);
        let gang = Gang::recover(NOW, "dc/w/j", 1, &vms, NOW.after(100_000));
        let (now, out) = (NOW, Vec::new());
        let mut fixture = Self { gang, now, out };
        for (i, state) in (0..).zip(states) {
            if let Some(state) = state {
                fixture.report(i, state);
            }
        }
        // Each change of stage needs an event.
        fixture.step(Event::Tick);
        fixture.step(Event::Tick);
        fixture
    }

    fn step(&mut self, event: Event) {
        self.gang.step(self.now, event, &mut self.out);
    }

    fn report(&mut self, index: u16, state: TaskState) {
        self.step(Event::TaskState(index, state, String::new()));
    }

    fn report_all(&mut self, state: TaskState) {
        (0..3).for_each(|i| self.report(i, state));
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

    /// Reports the states that bring the gang to a stage.
    fn up_to(mut self, stage: &Stage) -> Self {
        let steps = [
            TaskState::Prepared,
            TaskState::Committed,
            TaskState::Running,
        ];
        for state in steps {
            if self.gang.stage() == stage {
                break;
            }
            self.report_all(state);
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
    let mut fixture = Fixture::new().up_to(&Stage::Commit);
    fixture.report(0, TaskState::Committed);
    fixture.report(1, TaskState::Committed);
    assert!(!fixture.ran());
    fixture.report(2, TaskState::Committed);
    assert!(fixture.ran());
}

#[test]
fn no_commit_is_sent_before_the_start_is_on_record() {
    let mut fixture = Fixture::new();
    fixture.report_all(TaskState::Prepared);
    assert!(fixture.out.contains(&Action::Record));
    assert_eq!(fixture.sent(|o| matches!(o, Order::Commit { .. })), 0);
    fixture.step(Event::Recorded);
    assert_eq!(fixture.sent(|o| matches!(o, Order::Commit { .. })), 3);
}

#[rstest]
#[case::refused(Stage::Prepare, Some(TaskState::Refused))]
#[case::late(Stage::Prepare, None)]
#[case::died_while_recorded(Stage::Record, Some(TaskState::Absent))]
#[case::record_late(Stage::Record, None)]
#[case::died_before_commit(Stage::Commit, Some(TaskState::Absent))]
#[case::commit_answer_lost_for_good(Stage::Commit, None)]
fn a_start_that_fails_on_one_worker_leaves_nothing_running(
    #[case] stage: Stage,
    #[case] reported: Option<TaskState>,
) {
    let mut fixture = Fixture::new().up_to(&stage);
    match reported {
        Some(state) => fixture.report(1, state),
        None => {
            fixture.report(0, TaskState::Prepared);
            fixture.wait(
                PREPARE_TIMEOUT_MS
                    .max(PREPARE_LEASE_MS)
                    .max(COMMIT_LEASE_MS),
            );
        }
    }
    assert!(matches!(fixture.gang.stage(), Stage::Abort(_)));
    assert!(fixture.sent(|o| matches!(o, Order::Abort { .. })) >= 2);
    fixture.report(0, TaskState::Absent);
    assert!(
        fixture.outcome().is_none(),
        "the third worker may still hold it"
    );
    fixture.wait(PREPARE_LEASE_MS + COMMIT_LEASE_MS);
    assert!(matches!(fixture.outcome(), Some(Outcome::NotRun(_))));
    assert!(!fixture.ran());
}

#[test]
fn a_commit_without_an_answer_is_sent_again() {
    let mut fixture = Fixture::new().up_to(&Stage::Commit);
    fixture.report(0, TaskState::Committed);
    fixture.report(2, TaskState::Committed);
    fixture.out.clear();
    fixture.wait(1_000);
    assert_eq!(fixture.sent(|o| matches!(o, Order::Commit { .. })), 1);
    fixture.report(1, TaskState::Committed);
    assert!(fixture.ran());
}

#[test]
fn a_task_is_stopped_when_the_rest_of_its_gang_does_not_start() {
    let mut fixture = Fixture::new().up_to(&Stage::Run);
    fixture.report(0, TaskState::Running);
    fixture.wait(START_LEASE_MS);
    assert_eq!(
        *fixture.gang.stage(),
        Stage::Stop(Cause::Lost("b".to_owned()))
    );
    assert_eq!(fixture.sent(|o| matches!(o, Order::Renew { .. })), 0);
    fixture.report(0, TaskState::Stopped);
    fixture.wait(START_LEASE_MS);
    assert!(matches!(
        fixture.outcome(),
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
fn a_former_owners_start_is_resolved_by_the_workers_states(
    #[case] states: [Option<TaskState>; 3],
    #[case] wanted: &str,
) {
    let fixture = Fixture::recover(states);
    let stage = match fixture.gang.stage() {
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
fn a_former_owners_start_with_a_silent_worker_is_stopped() {
    let mut fixture = Fixture::recover([Some(TaskState::Running), Some(TaskState::Running), None]);
    fixture.wait(RECOVER_TIMEOUT_MS);
    assert_eq!(
        *fixture.gang.stage(),
        Stage::Stop(Cause::Lost("c".to_owned()))
    );
}
