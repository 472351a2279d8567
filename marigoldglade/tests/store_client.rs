//! The store's client during outages, slowness and overload, with a fake clock and store.

use std::collections::BTreeMap;
use std::sync::Arc;

use marigoldglade::budget::{Cost, FLEET_READS_S, FLEET_WRITES_S, Rank, SHRINK_MS};
use marigoldglade::store::{Body, Call, Fault, Op, Pair, Reply, Txn};
use marigoldglade::store_client::{
    ATTEMPT_LIMIT, Action, Addr, AttemptKey, CallKey, CallResult, Client, Event, ReadBack,
    read_back,
};
use marigoldglade::time::{SECOND_MS, UnixMs};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const STEP_MS: u64 = 10;
const RANKS: [Rank; 6] = [
    Rank::Lease,
    Rank::Terminal,
    Rank::Accept,
    Rank::Claim,
    Rank::Config,
    Rank::Read,
];

fn write(key: &str) -> Call {
    Call::Txn(Txn {
        then: vec![Op::Put(key.to_owned(), Vec::new(), 0)],
        ..Txn::default()
    })
}

fn read() -> Call {
    Call::Range {
        prefix: "/a".to_owned(),
        after: String::new(),
        limit: 1,
    }
}

fn reply() -> Reply {
    Reply {
        revision: 1,
        body: Body::Revoked,
    }
}

/// How the fake store treats an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// Answers after so many milliseconds.
    Answer(u64),
    NotSent,
    Refused,
    /// Takes effect, but the answer is lost.
    Lost,
    /// Nothing comes back until the deadline.
    Silent,
}

/// A client with its attempts in progress.
struct Node {
    client: Client,
    last: u64,
    /// The results of attempts, each with the time at which it arrives.
    due: Vec<(UnixMs, AttemptKey, CallResult)>,
    /// The time and cost of each attempt, in order.
    sent: Vec<(UnixMs, Cost)>,
    finished: BTreeMap<CallKey, (UnixMs, CallResult)>,
    /// How often a write of each key took effect.
    effects: BTreeMap<String, u32>,
}

impl Node {
    fn new(now: UnixMs, addrs: usize, members: u64, seed: u64) -> Self {
        Self {
            client: Client::new(now, addrs, members, seed),
            last: 0,
            due: Vec::new(),
            sent: Vec::new(),
            finished: BTreeMap::new(),
            effects: BTreeMap::new(),
        }
    }

    fn submit(
        &mut self,
        now: UnixMs,
        rank: Rank,
        call: Call,
        deadline: UnixMs,
        mode: &mut dyn FnMut(Addr) -> Mode,
    ) -> CallKey {
        self.last += 1;
        let key = CallKey(self.last);
        let event = Event::Submit(key, rank, Arc::new(call), deadline);
        self.step(now, event, mode);
        key
    }

    fn step(&mut self, now: UnixMs, event: Event, mode: &mut dyn FnMut(Addr) -> Mode) {
        let mut out = Vec::new();
        self.client.step(now, event, &mut out);
        for action in out {
            match action {
                Action::Send(attempt, addr, call, deadline) => {
                    self.sent.push((now, call.cost()));
                    self.start_attempt(now, attempt, &call, deadline, mode(addr));
                }
                Action::Finish(key, result) => {
                    let before = self.finished.insert(key, (now, result));
                    assert!(before.is_none(), "{key:?} finished twice");
                }
                Action::Health(..) => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        now: UnixMs,
        attempt: AttemptKey,
        call: &Call,
        deadline: UnixMs,
        mode: Mode,
    ) {
        let effect = matches!(mode, Mode::Answer(_) | Mode::Lost);
        if let (true, Call::Txn(txn)) = (effect, call) {
            for op in &txn.then {
                if let Op::Put(key, ..) = op {
                    *self.effects.entry(key.clone()).or_default() += 1;
                }
            }
        }
        let (when, result) = match mode {
            Mode::Answer(ms) if !deadline.passed(now.after(ms)) => (now.after(ms), Ok(reply())),
            Mode::NotSent => (now.after(1), Err(Fault::NotSent)),
            Mode::Refused => (now.after(1), Err(Fault::Refused)),
            Mode::Lost => (now.after(1), Err(Fault::Unknown)),
            Mode::Answer(_) | Mode::Silent => (deadline, Err(Fault::Unknown)),
        };
        self.due.push((when, attempt, result));
    }

    fn tick(&mut self, now: UnixMs, mode: &mut dyn FnMut(Addr) -> Mode) {
        let due = std::mem::take(&mut self.due);
        let (now_due, later): (Vec<_>, Vec<_>) = due.into_iter().partition(|d| d.0.passed(now));
        self.due = later;
        for (_, attempt, result) in now_due {
            self.step(now, Event::Completed(attempt, result), mode);
        }
        self.step(now, Event::Tick, mode);
    }
}

/// Returns the most attempts of one cost within any second.
fn peak(sent: &[(UnixMs, Cost)], cost: Cost) -> usize {
    let mut times: Vec<u64> = sent.iter().filter(|s| s.1 == cost).map(|s| s.0.0).collect();
    times.sort_unstable();
    let mut start = 0;
    let mut peak = 0;
    for at in 0..times.len() {
        while times[at] - times[start] >= SECOND_MS {
            start += 1;
        }
        peak = peak.max(at + 1 - start);
    }
    peak
}

/// Runs daemons that all flood the store with calls; it is down from the 2nd to the 6th second.
fn flood(members: u64, per_step: u64) -> Vec<(UnixMs, Cost)> {
    let mut now = UnixMs(1_000_000);
    let start = now;
    let mut nodes: Vec<Node> = (0..members)
        .map(|i| Node::new(now, 2, members, i))
        .collect();
    while now.since(start) < 10 * SECOND_MS {
        let down = (2_000..6_000).contains(&now.since(start));
        let mut mode = |_| if down { Mode::NotSent } else { Mode::Answer(5) };
        for node in &mut nodes {
            for i in 0..per_step {
                let rank = RANKS[(i % 6) as usize];
                let call = if i % 2 == 0 { write("/a") } else { read() };
                node.submit(now, rank, call, now.after(3_000), &mut mode);
            }
            node.tick(now, &mut mode);
        }
        now = now.after(STEP_MS);
    }
    let sent = nodes.iter().flat_map(|n| &n.sent);
    sent.copied().collect()
}

#[rstest]
#[case(1, 60)]
#[case(7, 12)]
#[case(35, 6)]
#[case(140, 2)]
fn overload_and_an_outage_stay_within_the_budget_of_the_fleet(
    #[case] members: u64,
    #[case] per_step: u64,
) {
    let sent = flood(members, per_step);
    let (writes, reads) = (peak(&sent, Cost::Write), peak(&sent, Cost::Read));
    assert!(
        writes as u64 <= FLEET_WRITES_S,
        "{writes} writes in a second"
    );
    assert!(reads as u64 <= FLEET_READS_S, "{reads} reads in a second");
    assert!(writes > 0 && reads > 0);
}

#[test]
fn more_members_take_effect_at_once_and_fewer_after_a_delay() {
    let now = UnixMs(1_000_000);
    let sends = |reports: &[(u64, u64)]| {
        let mut node = Node::new(now, 1, 10, 1);
        let mut last = now;
        for (ms, members) in reports {
            last = now.after(*ms);
            node.step(last, Event::Members(*members), &mut |_| Mode::Answer(5));
        }
        let start = last;
        while last.since(start) < 2 * SECOND_MS {
            node.submit(last, Rank::Lease, write("/a"), last.after(50), &mut |_| {
                Mode::Answer(5)
            });
            node.tick(last, &mut |_| Mode::Answer(5));
            last = last.after(STEP_MS);
        }
        node.sent.iter().filter(|s| s.1 == Cost::Write).count()
    };
    let (ten, twenty) = (sends(&[]), sends(&[(0, 20)]));
    assert!(twenty < ten, "{twenty} of {ten}");
    assert_eq!(sends(&[(0, 1)]), ten);
    assert_eq!(sends(&[(0, 1), (SHRINK_MS - 1, 1)]), ten);
    assert!(sends(&[(0, 1), (SHRINK_MS, 1)]) > ten);
    // The larger number reported in between restarts the delay.
    assert_eq!(sends(&[(0, 1), (1, 10), (SHRINK_MS, 1)]), ten);
}

#[test]
fn leases_are_renewed_despite_many_calls_of_lower_ranks() {
    let mut now = UnixMs(1_000_000);
    let mut node = Node::new(now, 1, 7, 1);
    let mode = &mut |_| Mode::Answer(20);
    let mut renewals = Vec::new();
    for step in 0..1_000 {
        for rank in [Rank::Accept, Rank::Claim, Rank::Read] {
            node.submit(now, rank, write("/a"), now.after(2_000), mode);
        }
        if step % 100 == 0 {
            let call = Call::Renew { lease: 1 };
            let key = node.submit(now, Rank::Lease, call, now.after(SECOND_MS), mode);
            renewals.push(key);
        }
        node.tick(now, mode);
        now = now.after(STEP_MS);
    }
    for key in renewals {
        let result = node.finished.get(&key);
        assert!(matches!(result, Some((_, Ok(_)))), "{key:?}: {result:?}");
    }
}

#[test]
fn a_low_rank_is_not_starved_by_higher_ones() {
    let mut now = UnixMs(1_000_000);
    let mut node = Node::new(now, 1, 7, 1);
    let mode = &mut |_| Mode::Answer(20);
    let mut key = None;
    for step in 0..500 {
        node.submit(now, Rank::Accept, write("/a"), now.after(2_000), mode);
        if step == 100 {
            key = Some(node.submit(now, Rank::Config, write("/b"), now.after(2_000), mode));
        }
        node.tick(now, mode);
        now = now.after(STEP_MS);
    }
    let result = key.and_then(|k| node.finished.get(&k));
    assert!(matches!(result, Some((_, Ok(_)))), "{result:?}");
}

#[test]
fn calls_fail_at_once_in_an_outage_whose_end_is_found_by_probes() {
    let mut now = UnixMs(1_000_000);
    let mut node = Node::new(now, 2, 1, 1);
    for _ in 0..100 {
        let end = now.after(10 * SECOND_MS);
        node.submit(now, Rank::Accept, write("/a"), end, &mut |_| Mode::NotSent);
        node.tick(now, &mut |_| Mode::NotSent);
        now = now.after(STEP_MS);
    }
    assert!(!node.client.is_up());
    let end = now.after(60 * SECOND_MS);
    let key = node.submit(now, Rank::Accept, write("/a"), end, &mut |_| Mode::NotSent);
    assert_eq!(node.finished.get(&key), Some(&(now, Err(Fault::NotSent))));
    let back = now;
    while !node.client.is_up() {
        assert!(now.since(back) < 5 * SECOND_MS, "the return wasn't found");
        now = node.client.next_tick(now).max(now.after(STEP_MS));
        node.tick(now, &mut |_| Mode::Answer(5));
    }
}

#[test]
fn a_silent_store_opens_the_breaker_and_attempts_stay_bounded() {
    let mut now = UnixMs(1_000_000);
    let mut node = Node::new(now, 1, 1, 1);
    for _ in 0..1_000 {
        let end = now.after(SECOND_MS);
        node.submit(now, Rank::Claim, write("/a"), end, &mut |_| Mode::Silent);
        node.tick(now, &mut |_| Mode::Silent);
        assert!(
            node.due.len() <= ATTEMPT_LIMIT + 1,
            "{} sends",
            node.due.len()
        );
        now = now.after(STEP_MS);
    }
    assert!(!node.client.is_up());
}

#[test]
fn a_slow_read_is_answered_by_the_second_address() {
    let mut now = UnixMs(1_000_000);
    let mut node = Node::new(now, 2, 1, 1);
    let start = now;
    let mode = &mut |addr| match addr {
        Addr(0) => Mode::Silent,
        Addr(_) => Mode::Answer(5),
    };
    let key = node.submit(now, Rank::Read, read(), now.after(2_000), mode);
    while !node.finished.contains_key(&key) {
        now = now.after(STEP_MS);
        node.tick(now, mode);
    }
    let (when, result) = &node.finished[&key];
    assert!(result.is_ok() && when.since(start) < 500, "{result:?}");
}

fn any_mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        4 => (1..400_u64).prop_map(Mode::Answer),
        2 => Just(Mode::NotSent),
        1 => Just(Mode::Refused),
        1 => Just(Mode::Lost),
        1 => Just(Mode::Silent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    })]

    /// Each call finishes once and by its deadline. A write takes effect at most once, and not at all
    /// if its result says so.
    #[test]
    fn each_call_gets_one_true_result(
        seed in any::<u64>(),
        modes in prop::collection::vec(any_mode(), 1..50),
        calls in prop::collection::vec((0..200_u64, 0..6_usize, 1..3_000_u64), 1..60),
    ) {
        let start = UnixMs(1_000_000);
        let mut now = start;
        let mut node = Node::new(now, 3, 1, seed);
        let mut count = 0;
        let mut mode = |_| {
            count += 1;
            modes[count % modes.len()]
        };
        let mut deadlines = BTreeMap::new();
        for (ms, rank, deadline) in calls {
            let until = now.after(ms);
            while now < until {
                now = now.after(STEP_MS);
                node.tick(now, &mut mode);
            }
            let name = format!("/{}", node.last + 1);
            let deadline = now.after(deadline);
            let key = node.submit(now, RANKS[rank], write(&name), deadline, &mut mode);
            deadlines.insert(key, (deadline, name));
        }
        for _ in 0..400 {
            now = now.after(STEP_MS);
            node.tick(now, &mut mode);
        }
        for (key, (deadline, name)) in deadlines {
            let effects = node.effects.get(&name).copied().unwrap_or(0);
            let (when, result) = node.finished.get(&key).expect("it finished");
            prop_assert!(*when <= deadline.after(STEP_MS));
            prop_assert!(effects <= 1, "{name}: {effects} effects");
            match result {
                Ok(_) => prop_assert_eq!(effects, 1),
                Err(Fault::NotSent | Fault::Refused | Fault::Invalid) => prop_assert_eq!(effects, 0),
                Err(Fault::Unknown) => {}
            }
        }
    }
}

#[test]
fn reading_back_a_key_shows_whose_write_it_holds() {
    let pair = Pair {
        key: "/a".to_owned(),
        value: b"mine".to_vec(),
        created: 1,
        changed: 1,
        lease: 0,
    };
    assert_eq!(read_back(None, |_| true), ReadBack::Absent);
    assert_eq!(read_back(Some(&pair), |v| v == b"mine"), ReadBack::Ours);
    assert_eq!(read_back(Some(&pair), |v| v == b"other"), ReadBack::Other);
}

#[test]
fn a_burst_of_a_low_rank_leaves_tokens_for_a_lease() {
    let now = UnixMs(1_000_000);
    let mut node = Node::new(now, 1, 7, 1);
    let mode = &mut |_| Mode::Answer(5);
    for _ in 0..20 {
        node.submit(now, Rank::Claim, write("/a"), now.after(2_000), mode);
    }
    let before = node.sent.len();
    assert!(before < 20, "the burst has no bound");
    node.submit(
        now,
        Rank::Lease,
        Call::Renew { lease: 1 },
        now.after(2_000),
        mode,
    );
    assert_eq!(node.sent.len(), before + 1);
}
