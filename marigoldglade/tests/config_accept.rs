//! Operators whose changes race over a store that loses answers: each gets a true verdict.

#[path = "support/kv.rs"]
mod kv;

use kv::FakeKv;
use marigoldglade::config_accept::{Action, Document, KEY, Proposal, Stamp, Verdict, history_key};
use marigoldglade::store::{Call, Fault, Reply};
use marigoldglade::time::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const END: UnixMs = UnixMs(2_000);

/// What happens to a call and its answer.
#[derive(Clone, Copy, Debug)]
enum CallFate {
    Answered,
    NotSent,
    Refused,
    LostBefore,
    LostAfter,
    /// The answer is lost, and the call takes effect after all others.
    Late,
}

fn any_call_fate() -> impl Strategy<Value = CallFate> {
    use CallFate::*;
    prop::sample::select(vec![
        Answered, Answered, NotSent, Refused, LostBefore, LostAfter, Late,
    ])
}

fn document(number: u64, nonce: &str) -> Document {
    Document {
        stamp: Stamp {
            number,
            nonce: nonce.to_owned(),
        },
        author: nonce.to_owned(),
        at: UnixMs(0),
        changes: Vec::new(),
        text: String::new(),
    }
}

#[derive(Default)]
struct Store {
    kv: FakeKv,
    late: Vec<Call>,
}

impl Store {
    fn call(&mut self, call: Call, fate: CallFate) -> Result<Reply, Fault> {
        match fate {
            CallFate::Answered => Ok(self.kv.call(&call)),
            CallFate::NotSent => Err(Fault::NotSent),
            CallFate::Refused => Err(Fault::Refused),
            CallFate::LostBefore => Err(Fault::Unknown),
            CallFate::LostAfter => {
                self.kv.call(&call);
                Err(Fault::Unknown)
            }
            CallFate::Late => {
                self.late.push(call);
                Err(Fault::Unknown)
            }
        }
    }

    fn version(&self, number: u64) -> Option<Document> {
        let pair = self.kv.pairs.get(&history_key(number))?;
        Document::read(&pair.value)
    }
}

/// An operator with a proposal under way.
struct Operator {
    document: Document,
    proposal: Proposal,
    next: Action,
}

impl Operator {
    fn new(number: u64, nonce: &str) -> Self {
        let document = document(number, nonce);
        let (proposal, next) = Proposal::new(document.clone(), END);
        Self {
            document,
            proposal,
            next,
        }
    }

    /// Takes the next action; `fate` is that of a call.
    fn step(&mut self, now: UnixMs, store: &mut Store, fate: CallFate) {
        self.next = match self.next.clone() {
            Action::Call(call) => {
                let result = store.call(call, fate);
                self.proposal.step(now, result.as_ref().map_err(|f| *f))
            }
            Action::Wait(until) if until.passed(now) => self.proposal.resume(),
            other => other,
        };
    }
}

/// Checks an operator's verdict against the store after all calls have taken effect.
fn check(operator: &Operator, store: &Store) {
    let Action::Finish(verdict) = &operator.next else {
        panic!("it didn't finish: {:?}", operator.next);
    };
    let stamp = &operator.document.stamp;
    let written = store
        .version(stamp.number)
        .is_some_and(|d| d.stamp == *stamp);
    match verdict {
        Verdict::Accepted(_) => assert!(
            written,
            "the verdict is accepted, but the version isn't stored"
        ),
        Verdict::Conflict(_) | Verdict::NotWritten => assert!(
            !written,
            "the verdict is {verdict:?}, but the version is stored"
        ),
        Verdict::Unknown => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn racing_operators_get_true_verdicts(
        steps in prop::collection::vec((0..2_usize, 0..200_u64, any_call_fate()), 1..60),
    ) {
        let mut store = Store::default();
        let mut operators = [Operator::new(1, "a"), Operator::new(1, "b")];
        let mut now = UnixMs(0);
        for (who, ms, fate) in steps {
            now = now.after(ms);
            operators[who].step(now, &mut store, fate);
        }
        for operator in &mut operators {
            for _ in 0..10 {
                now = now.after(100);
                operator.step(now, &mut store, CallFate::Answered);
            }
        }
        for call in std::mem::take(&mut store.late) {
            store.kv.call(&call);
        }
        operators.iter().for_each(|o| check(o, &store));
        let accepted = |o: &Operator| matches!(o.next, Action::Finish(Verdict::Accepted(_)));
        prop_assert!(operators.iter().filter(|o| accepted(o)).count() <= 1);
    }
}

#[test]
fn a_lost_answer_is_resolved_by_sending_again() {
    let mut store = Store::default();
    let mut operator = Operator::new(1, "a");
    operator.step(UnixMs(0), &mut store, CallFate::Answered);
    operator.step(UnixMs(0), &mut store, CallFate::LostAfter);
    assert!(matches!(operator.next, Action::Wait(_)));
    operator.step(UnixMs(100), &mut store, CallFate::Answered);
    operator.step(UnixMs(100), &mut store, CallFate::Answered);
    let verdict = Verdict::Accepted(operator.document.clone());
    assert_eq!(operator.next, Action::Finish(verdict));
}

#[test]
fn the_loser_of_a_race_gets_the_newest_version() {
    let mut store = Store::default();
    let mut operators = [Operator::new(1, "a"), Operator::new(1, "b")];
    for who in [0, 1, 0, 1] {
        operators[who].step(UnixMs(0), &mut store, CallFate::Answered);
    }
    let newest = operators[0].document.clone();
    assert_eq!(
        operators[0].next,
        Action::Finish(Verdict::Accepted(newest.clone()))
    );
    assert_eq!(
        operators[1].next,
        Action::Finish(Verdict::Conflict(Some(newest)))
    );
}

#[test]
fn a_lasting_outage_is_unknown_only_after_a_write_was_sent() {
    let mut store = Store::default();
    let mut before = Operator::new(1, "a");
    before.step(UnixMs(0), &mut store, CallFate::NotSent);
    assert_eq!(before.next, Action::Finish(Verdict::NotWritten));
    let mut after = Operator::new(1, "b");
    after.step(UnixMs(0), &mut store, CallFate::Answered);
    for ms in 0..30 {
        after.step(UnixMs(ms * 100), &mut store, CallFate::LostBefore);
    }
    assert_eq!(after.next, Action::Finish(Verdict::Unknown));
}

#[test]
fn a_number_is_not_given_twice_even_when_the_key_was_lost() {
    let mut store = Store::default();
    let mut first = Operator::new(1, "a");
    let mut second = Operator::new(1, "b");
    (0..2).for_each(|_| first.step(UnixMs(0), &mut store, CallFate::Answered));
    store.kv.pairs.remove(KEY);
    (0..2).for_each(|_| second.step(UnixMs(0), &mut store, CallFate::Answered));
    assert_eq!(second.next, Action::Finish(Verdict::Conflict(None)));
}
