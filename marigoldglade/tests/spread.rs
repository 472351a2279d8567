//! The spread of the configuration over links and daemons that fail.

use std::net::SocketAddr;

use marigoldglade::config_accept::{Document, Stamp};
use marigoldglade::config_gossip::{Action, ConfigGossip, Event, Message, Peer};
use marigoldglade::time::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// The time within which an accepted version must be in force, in milliseconds.
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
    /// The numbers put in force by this process, in turn.
    applied: Vec<u64>,
}

/// Daemons with links that drop and delay, under a fake clock.
struct Net {
    now: UnixMs,
    nodes: Vec<Node>,
    names: Vec<Peer>,
    /// Messages under way: when they arrive, to whom, from whom.
    flying: Vec<(UnixMs, usize, usize, Message)>,
    drop_percent: u32,
    /// Whether the daemons below the middle are cut off from those above.
    cut: bool,
    rng: ChaCha8Rng,
}

impl Net {
    fn new(count: usize, seed: u64, drop_percent: u32) -> Self {
        let mut net = Self {
            now: UnixMs(1_000_000),
            nodes: Vec::new(),
            names: (0..count).map(peer).collect(),
            flying: Vec::new(),
            drop_percent,
            cut: false,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        for i in 0..count {
            net.nodes.push(Node {
                gossip: ConfigGossip::new(seed + i as u64),
                paused: false,
                applied: Vec::new(),
            });
            net.introduce(i);
        }
        net
    }

    /// Tells a daemon its neighbours: those 1, 2, 4 and so on further on the ring, as the mesh has.
    fn introduce(&mut self, at: usize) {
        let count = self.names.len();
        let distances = (0..8).map(|i| 1 << i).take_while(|d| *d < count);
        let peers: Vec<Peer> = distances.map(|d| self.names[(at + d) % count]).collect();
        self.tell(at, Event::Peers(peers));
    }

    /// Returns the newest version that a daemon has or that is on its way to one.
    fn newest(&self) -> u64 {
        let held = (0..self.nodes.len()).map(|at| self.in_force(at));
        let flying = self.flying.iter().map(|(_, _, _, message)| match message {
            Message::Version(document) => document.stamp.number,
            _ => 0,
        });
        held.chain(flying).max().unwrap_or(0)
    }

    fn restart(&mut self, at: usize) {
        self.nodes[at] = Node {
            gossip: ConfigGossip::new(self.now.0 + at as u64),
            paused: false,
            applied: Vec::new(),
        };
        self.introduce(at);
    }

    fn tell(&mut self, at: usize, event: Event) {
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
            .names
            .iter()
            .position(|n| n == to)
            .expect("a known peer");
        if self.rng.random_range(0..100) < self.drop_percent {
            return;
        }
        let delay = self.rng.random_range(1..=DELAY_MS);
        self.flying.push((self.now.after(delay), to, from, message));
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(STEP_MS) {
            self.now = self.now.after(STEP_MS);
            let flying = std::mem::take(&mut self.flying);
            for (due, to, from, message) in flying {
                let half = self.names.len() / 2;
                if self.cut && (to < half) != (from < half) {
                    continue;
                }
                // A paused process gets what waits for it when it goes on.
                if !due.passed(self.now) || self.nodes[to].paused {
                    self.flying.push((due, to, from, message));
                    continue;
                }
                let from = self.names[from];
                self.tell(to, Event::Received(from, message));
            }
            for at in 0..self.nodes.len() {
                if !self.nodes[at].paused && self.nodes[at].gossip.next().passed(self.now) {
                    self.tell(at, Event::Tick);
                }
            }
        }
    }

    fn in_force(&self, at: usize) -> u64 {
        let held = self.nodes[at].gossip.held();
        held.map_or(0, |d| d.stamp.number)
    }

    fn assert_all_have(&self, number: u64) {
        for at in (0..self.nodes.len()).filter(|at| !self.nodes[*at].paused) {
            assert_eq!(self.in_force(at), number, "at daemon {at}");
        }
    }
}

/// What happens between accepts.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// A daemon takes a new version from the store, which then goes down.
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

fn any_trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        3 => any::<usize>().prop_map(Trouble::Accept),
        2 => (any::<usize>(), 0..10_u64).prop_map(|(at, back)| Trouble::Replay(at, back)),
        1 => any::<usize>().prop_map(Trouble::Pause),
        1 => any::<usize>().prop_map(Trouble::Resume),
        1 => any::<usize>().prop_map(Trouble::Restart),
        1 => Just(Trouble::Cut),
        1 => Just(Trouble::Heal),
        4 => (1..3_000_u64).prop_map(Trouble::Run),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        cases: 200,
        ..ProptestConfig::default()
    })]

    /// Whatever happened, five seconds of whole links bring all live daemons to the newest
    /// version that a live daemon knows; none ever goes back.
    #[test]
    fn live_daemons_agree_within_the_bound(
        count in 2..24_usize,
        seed in any::<u32>(),
        troubles in prop::collection::vec(any_trouble(), 1..40),
    ) {
        let mut net = Net::new(count, seed.into(), 10);
        let mut newest = 0;
        for trouble in troubles {
            match trouble {
                Trouble::Accept(at) if !net.nodes[at % count].paused => {
                    newest += 1;
                    net.tell(at % count, Event::Stored(document(newest)));
                }
                Trouble::Replay(at, back) if newest > back && !net.nodes[at % count].paused => {
                    net.tell(at % count, Event::Stored(document(newest - back)));
                }
                Trouble::Accept(_) | Trouble::Replay(..) => {}
                Trouble::Pause(at) => net.nodes[at % count].paused = true,
                Trouble::Resume(at) => net.nodes[at % count].paused = false,
                Trouble::Restart(at) => net.restart(at % count),
                Trouble::Cut => net.cut = true,
                Trouble::Heal => net.cut = false,
                Trouble::Run(ms) => net.run(ms),
            }
        }
        net.cut = false;
        net.nodes.iter_mut().for_each(|n| n.paused = false);
        let known = net.newest();
        net.run(BOUND_MS);
        net.assert_all_have(known);
    }
}

#[test]
fn the_store_may_go_down_right_after_the_accept() {
    for seed in 0..50 {
        let mut net = Net::new(140, seed, 10);
        net.tell(0, Event::Stored(document(1)));
        net.run(BOUND_MS);
        net.assert_all_have(1);
    }
}

#[test]
fn a_fresh_daemon_learns_from_a_peer_and_has_nothing_before() {
    let mut net = Net::new(7, 1, 0);
    (0..6).for_each(|at| net.tell(at, Event::Stored(document(3))));
    net.restart(6);
    assert!(net.nodes[6].gossip.held().is_none());
    net.run(BOUND_MS);
    net.assert_all_have(3);
}

#[test]
fn a_frozen_daemon_catches_up_and_an_old_version_never_returns() {
    let mut net = Net::new(7, 1, 0);
    net.tell(0, Event::Stored(document(1)));
    net.run(BOUND_MS);
    net.nodes[3].paused = true;
    net.tell(0, Event::Stored(document(2)));
    net.run(60_000);
    net.nodes[3].paused = false;
    assert_eq!(net.in_force(3), 1);
    net.tell(3, Event::Stored(document(1)));
    net.run(BOUND_MS);
    net.assert_all_have(2);
    net.tell(5, Event::Stored(document(1)));
    net.run(BOUND_MS);
    net.assert_all_have(2);
}

#[test]
fn halves_that_were_cut_agree_after_the_cut() {
    let mut net = Net::new(35, 1, 0);
    net.tell(0, Event::Stored(document(1)));
    net.run(BOUND_MS);
    net.cut = true;
    net.tell(0, Event::Stored(document(2)));
    net.run(60_000);
    assert_eq!((net.in_force(16), net.in_force(30)), (2, 1));
    net.cut = false;
    net.run(BOUND_MS);
    net.assert_all_have(2);
}

#[test]
fn a_version_that_cannot_be_read_is_reported_once_and_not_asked_for_again() {
    let mut gossip = ConfigGossip::new(1);
    let mut out = Vec::new();
    let mut bad = document(2);
    bad.text = "clases: []".to_owned();
    let stamp = bad.stamp.clone();
    gossip.step(UnixMs(1), Event::Stored(bad.clone()), &mut out);
    gossip.step(UnixMs(2), Event::Stored(bad), &mut out);
    let told = Event::Received(peer(1), Message::Have(stamp));
    gossip.step(UnixMs(3), told, &mut out);
    assert!(
        matches!(out.as_slice(), [Action::Unreadable(..)]),
        "{out:?}"
    );
    assert!(gossip.held().is_none());
}

#[test]
fn several_announcements_fetch_a_version_once() {
    let mut gossip = ConfigGossip::new(1);
    let mut out = Vec::new();
    for at in 0..3 {
        let told = Event::Received(peer(at), Message::Have(document(2).stamp));
        gossip.step(UnixMs(1), told, &mut out);
    }
    let asks = out
        .iter()
        .filter(|a| matches!(a, Action::Send(_, Message::Want(_))));
    assert_eq!(asks.count(), 1, "{out:?}");
}
