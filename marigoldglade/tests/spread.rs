//! Gossip about configuration versions over faulty links and among daemons that fail.

use std::net::SocketAddr;

use marigoldglade::config_accept::{Document, Stamp};
use marigoldglade::config_gossip::{Action, ConfigGossip, Event, Message, Peer};
use marigoldglade::time::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// The time within which an accepted version must be in force everywhere, in milliseconds.
const BOUND_MS: u64 = 5_000;
/// The step of the fake clock, in milliseconds.
const STEP_MS: u64 = 50;
/// The longest delay of a message, in milliseconds.
const DELAY_MS: u64 = 300;

fn document(number: u64) -> Document {
    Document {
        stamp: Stamp {
            number,
            nonce: format!("n{number}"),
        },
        author: String::new(),
        at: UnixMs(0),
        changes: Vec::new(),
        text: format!("centres: [{{name: c{number}}}]"),
    }
}

fn peer(at: usize) -> Peer {
    let port = u16::try_from(at + 1).expect("a port");
    SocketAddr::from(([127, 0, 0, 1], port))
}

struct Node {
    gossip: ConfigGossip,
    paused: bool,
    /// The numbers of the versions put in force since the last restart, in order.
    applied: Vec<u64>,
}

/// Daemons on links that drop and delay messages, with a fake clock.
struct Simulation {
    now: UnixMs,
    nodes: Vec<Node>,
    addrs: Vec<Peer>,
    /// The messages in transit, each with its arrival time, receiver and sender.
    in_transit: Vec<(UnixMs, usize, usize, Message)>,
    drop_percent: u32,
    /// Whether the first half of the daemons is cut off from the second.
    cut: bool,
    rng: ChaCha8Rng,
}

impl Simulation {
    fn new(count: usize, seed: u64, drop_percent: u32) -> Self {
        let mut sim = Self {
            now: UnixMs(1_000_000),
            nodes: Vec::new(),
            addrs: (0..count).map(peer).collect(),
            in_transit: Vec::new(),
            drop_percent,
            cut: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for i in 0..count {
            sim.nodes.push(Node {
                gossip: ConfigGossip::new(seed + i as u64),
                paused: false,
                applied: Vec::new(),
            });
            sim.set_neighbours(i);
        }
        sim
    }

    /// Tells a daemon its neighbours: those 1, 2, 4 and so on further on the ring, as the mesh has.
    fn set_neighbours(&mut self, at: usize) {
        let count = self.addrs.len();
        let distances = (0..8).map(|i| 1 << i).take_while(|d| *d < count);
        let peers: Vec<Peer> = distances.map(|d| self.addrs[(at + d) % count]).collect();
        self.step(at, Event::Peers(peers));
    }

    /// Returns the newest version that a daemon has or that is on its way to one.
    fn newest_version(&self) -> u64 {
        let current = (0..self.nodes.len()).map(|at| self.version(at));
        let in_transit = self
            .in_transit
            .iter()
            .map(|(_, _, _, message)| match message {
                Message::Version(document) => document.stamp.number,
                _ => 0,
            });
        current.chain(in_transit).max().unwrap_or(0)
    }

    fn restart(&mut self, at: usize) {
        self.nodes[at] = Node {
            gossip: ConfigGossip::new(self.now.0 + at as u64),
            paused: false,
            applied: Vec::new(),
        };
        self.set_neighbours(at);
    }

    fn step(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[at].gossip.step(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, message) => self.send(at, &to, message),
                Action::Apply(document, _) => {
                    let number = document.stamp.number;
                    let last = self.nodes[at].applied.last();
                    assert!(last.is_none_or(|l| *l < number), "it went back to {number}");
                    self.nodes[at].applied.push(number);
                }
                Action::Unreadable(stamp, e) => panic!("{stamp:?}: {e}"),
            }
        }
    }

    fn send(&mut self, from: usize, to: &Peer, message: Message) {
        let to = self
            .addrs
            .iter()
            .position(|n| n == to)
            .expect("a known peer");
        if self.rng.random_range(0..100) < self.drop_percent {
            return;
        }
        let delay = self.rng.random_range(1..=DELAY_MS);
        self.in_transit
            .push((self.now.after(delay), to, from, message));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.now = self.now.after(STEP_MS);
            let in_transit = std::mem::take(&mut self.in_transit);
            for (due, to, from, message) in in_transit {
                let half = self.addrs.len() / 2;
                if self.cut && (to < half) != (from < half) {
                    continue;
                }
                // A paused daemon receives its messages when it resumes.
                if !due.passed(self.now) || self.nodes[to].paused {
                    self.in_transit.push((due, to, from, message));
                    continue;
                }
                let from = self.addrs[from];
                self.step(to, Event::Received(from, message));
            }
            for at in 0..self.nodes.len() {
                if !self.nodes[at].paused && self.nodes[at].gossip.next_tick().passed(self.now) {
                    self.step(at, Event::Tick);
                }
            }
        }
    }

    fn version(&self, at: usize) -> u64 {
        let current = self.nodes[at].gossip.current();
        current.map_or(0, |d| d.stamp.number)
    }

    fn assert_all_have(&self, number: u64) {
        for at in (0..self.nodes.len()).filter(|at| !self.nodes[*at].paused) {
            assert_eq!(self.version(at), number, "at daemon {at}");
        }
    }
}

/// A step of a random sequence: a new version, a fault, or time.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A daemon learns a new version from the store; no other reads it from there.
    Accept(usize),
    /// A stale read or a replayed watch shows an old version.
    Replay(usize, u64),
    Pause(usize),
    Resume(usize),
    Restart(usize),
    Cut,
    Heal,
    Run(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => any::<usize>().prop_map(Step::Accept),
        2 => (any::<usize>(), 0..10_u64).prop_map(|(at, back)| Step::Replay(at, back)),
        1 => any::<usize>().prop_map(Step::Pause),
        1 => any::<usize>().prop_map(Step::Resume),
        1 => any::<usize>().prop_map(Step::Restart),
        1 => Just(Step::Cut),
        1 => Just(Step::Heal),
        4 => (1..3_000_u64).prop_map(Step::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    /// After any sequence of steps, five seconds without partition or pause bring all daemons to the
    /// newest version that a daemon has or that is in transit. No daemon ever goes back.
    #[test]
    fn live_daemons_agree_within_the_bound(
        count in 2..24_usize,
        seed in any::<u32>(),
        steps in prop::collection::vec(any_step(), 1..40),
    ) {
        let mut sim = Simulation::new(count, seed.into(), 10);
        let mut newest = 0;
        for step in steps {
            match step {
                Step::Accept(at) if !sim.nodes[at % count].paused => {
                    newest += 1;
                    sim.step(at % count, Event::Stored(document(newest)));
                }
                Step::Replay(at, back) if newest > back && !sim.nodes[at % count].paused => {
                    sim.step(at % count, Event::Stored(document(newest - back)));
                }
                Step::Accept(_) | Step::Replay(..) => {}
                Step::Pause(at) => sim.nodes[at % count].paused = true,
                Step::Resume(at) => sim.nodes[at % count].paused = false,
                Step::Restart(at) => sim.restart(at % count),
                Step::Cut => sim.cut = true,
                Step::Heal => sim.cut = false,
                Step::Run(ms) => sim.run(ms),
            }
        }
        sim.cut = false;
        sim.nodes.iter_mut().for_each(|n| n.paused = false);
        let known = sim.newest_version();
        sim.run(BOUND_MS);
        sim.assert_all_have(known);
    }
}

#[test]
fn a_version_known_to_one_daemon_reaches_all_within_the_bound() {
    for seed in 0..50 {
        let mut sim = Simulation::new(140, seed, 10);
        sim.step(0, Event::Stored(document(1)));
        sim.run(BOUND_MS);
        sim.assert_all_have(1);
    }
}

#[test]
fn a_restarted_daemon_has_no_version_until_a_peer_sends_one() {
    let mut sim = Simulation::new(7, 1, 0);
    (0..6).for_each(|at| sim.step(at, Event::Stored(document(3))));
    sim.restart(6);
    assert!(sim.nodes[6].gossip.current().is_none());
    sim.run(BOUND_MS);
    sim.assert_all_have(3);
}

#[test]
fn a_paused_daemon_catches_up_and_an_old_version_never_returns() {
    let mut sim = Simulation::new(7, 1, 0);
    sim.step(0, Event::Stored(document(1)));
    sim.run(BOUND_MS);
    sim.nodes[3].paused = true;
    sim.step(0, Event::Stored(document(2)));
    sim.run(60_000);
    sim.nodes[3].paused = false;
    assert_eq!(sim.version(3), 1);
    sim.step(3, Event::Stored(document(1)));
    sim.run(BOUND_MS);
    sim.assert_all_have(2);
    sim.step(5, Event::Stored(document(1)));
    sim.run(BOUND_MS);
    sim.assert_all_have(2);
}

#[test]
fn halves_of_a_partition_agree_after_it_heals() {
    let mut sim = Simulation::new(35, 1, 0);
    sim.step(0, Event::Stored(document(1)));
    sim.run(BOUND_MS);
    sim.cut = true;
    sim.step(0, Event::Stored(document(2)));
    sim.run(60_000);
    assert_eq!((sim.version(16), sim.version(30)), (2, 1));
    sim.cut = false;
    sim.run(BOUND_MS);
    sim.assert_all_have(2);
}

#[test]
fn an_unreadable_version_is_reported_once_and_not_requested() {
    let mut gossip = ConfigGossip::new(1);
    let mut out = Vec::new();
    let mut bad = document(2);
    bad.text = "clases: []".to_owned();
    let stamp = bad.stamp.clone();
    gossip.step(UnixMs(1), Event::Stored(bad.clone()), &mut out);
    gossip.step(UnixMs(2), Event::Stored(bad), &mut out);
    let event = Event::Received(peer(1), Message::Have(stamp));
    gossip.step(UnixMs(3), event, &mut out);
    assert!(
        matches!(out.as_slice(), [Action::Unreadable(..)]),
        "{out:?}"
    );
    assert!(gossip.current().is_none());
}

#[test]
fn a_version_announced_by_several_peers_is_requested_once() {
    let mut gossip = ConfigGossip::new(1);
    let mut out = Vec::new();
    for at in 0..3 {
        let event = Event::Received(peer(at), Message::Have(document(2).stamp));
        gossip.step(UnixMs(1), event, &mut out);
    }
    let asks = out
        .iter()
        .filter(|a| matches!(a, Action::Send(_, Message::Want(_))));
    assert_eq!(asks.count(), 1, "{out:?}");
}
