//! Seeded arrivals of the requests of a scenario.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The slots of all runners.
pub(super) const SLOTS: u32 =
    super::simulation::RUNNERS as u32 * super::simulation::RUNNER_SLOTS as u32;
/// The mean service time, in milliseconds.
pub(super) const SERVICE_MS: f64 = 100.0;
/// The requests that the runners can answer in a millisecond.
pub(super) const CAPACITY: f64 = SLOTS as f64 / SERVICE_MS;

/// One stream of requests.
#[derive(Clone, Copy)]
pub(super) struct Source {
    /// The group under which its requests are counted.
    pub(super) group: &'static str,
    /// The value of the label `tier`, which selects the class.
    pub(super) tier: &'static str,
    /// The load, as a fraction of the runners' capacity.
    pub(super) load: f64,
    /// The number of callers.
    pub(super) callers: u32,
    /// Whether each caller uses all daemons instead of one.
    pub(super) spread: bool,
}

/// The sources of a run and their distribution over the daemons.
pub(super) struct Scenario {
    pub(super) name: &'static str,
    pub(super) sources: Vec<Source>,
    /// The weight of the first daemon; each other daemon has the weight 1.
    pub(super) skew: f64,
}

/// A request of the trace.
#[derive(Clone, Copy)]
pub(super) struct TraceRequest {
    pub(super) at_ms: u64,
    pub(super) source: usize,
    pub(super) caller: u32,
    pub(super) daemon: usize,
    pub(super) service_ms: u64,
}

/// Draws the arrivals of a scenario; the same seed gives the same trace.
pub(super) fn draw(
    scenario: &Scenario,
    seed: u64,
    length_ms: u64,
    daemons: usize,
) -> Vec<TraceRequest> {
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
            all.push(TraceRequest {
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
    let total = skew + daemons as f64 - 1.0;
    let at = rng.random::<f64>() * total;
    if at < skew {
        return 0;
    }
    ((at - skew) as usize + 1).min(daemons - 1)
}
