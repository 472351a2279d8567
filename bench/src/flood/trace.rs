//! Seeded arrivals of requests: a scenario flows in, a list of arrivals flows out.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Slots of all runners together.
pub(super) const SLOTS: u32 = super::world::RUNNERS as u32 * super::world::RUNNER_SLOTS as u32;
/// The mean service time, in milliseconds.
pub(super) const SERVICE_MS: f64 = 100.0;
/// Requests a millisecond that the runners can answer.
pub(super) const CAPACITY: f64 = SLOTS as f64 / SERVICE_MS;

/// One stream of requests.
#[derive(Clone, Copy)]
pub(super) struct Source {
    /// The group under which it is counted.
    pub(super) group: &'static str,
    /// The class's label.
    pub(super) tier: &'static str,
    /// The load, as a part of the runners' capacity.
    pub(super) load: f64,
    /// How many callers it comes from.
    pub(super) callers: u32,
    /// Whether each caller uses all daemons, and not one.
    pub(super) spread: bool,
}

/// What happens in a run.
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) sources: Vec<Source>,
    /// The weight of the first daemon beside 1 for each other.
    pub(super) skew: f64,
}

/// One request.
#[derive(Clone, Copy)]
pub(super) struct Arrive {
    pub(super) at_ms: u64,
    pub(super) source: usize,
    pub(super) caller: u32,
    pub(super) daemon: usize,
    pub(super) service_ms: u64,
}

/// Draws the arrivals of a scenario; the same seed gives the same trace.
pub(super) fn draw(scenario: &Scenario, seed: u64, length_ms: u64, daemons: usize) -> Vec<Arrive> {
    let mut all = Vec::new();
    for (i, source) in scenario.sources.iter().enumerate() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((i as u64 + 1) << 32));
        let gap_ms = 1.0 / (source.load * CAPACITY);
        let mut at = exponential(&mut rng, gap_ms);
        while at < length_ms as f64 {
            let caller = rng.random_range(0..source.callers);
            let any = pick_daemon(&mut rng, scenario.skew, daemons);
            let home = caller as usize % daemons;
            let pinned = !source.spread && scenario.skew <= 1.0;
            all.push(Arrive {
                at_ms: at as u64,
                source: i,
                caller,
                daemon: if pinned { home } else { any },
                service_ms: exponential(&mut rng, SERVICE_MS).clamp(1.0, 2_000.0) as u64,
            });
            at += exponential(&mut rng, gap_ms);
        }
    }
    all.sort_by_key(|a| a.at_ms);
    all
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -(1.0 - rng.random::<f64>()).ln() * mean
}

fn pick_daemon(rng: &mut ChaCha8Rng, skew: f64, daemons: usize) -> usize {
    let all = skew + daemons as f64 - 1.0;
    let at = rng.random::<f64>() * all;
    if at < skew {
        return 0;
    }
    ((at - skew) as usize + 1).min(daemons - 1)
}
