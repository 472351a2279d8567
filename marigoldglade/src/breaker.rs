//! A circuit breaker, which decides from the results of calls to an address whether to call it.

use rand::Rng;
use rand::RngExt as _;

use crate::time::UnixMs;

/// The number of consecutive failures that open the breaker.
pub const TRIP_COUNT: u32 = 5;
/// The longest wait before a probe, in milliseconds.
pub const PROBE_MAX_MS: u64 = 2_000;
/// Half of this is the shortest wait before a probe, in milliseconds.
const PROBE_MIN_MS: u64 = 100;

/// The state of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Calls are allowed.
    Closed,
    /// Calls aren't allowed; a probe is due at this time.
    Open(UnixMs),
    /// Calls aren't allowed; a probe is in progress.
    Probing,
}

/// The breaker of one address.
pub struct Breaker {
    state: State,
    failures: u32,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::Closed,
            failures: 0,
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns whether a probe is due.
    #[must_use]
    pub fn probe_due(&self, now: UnixMs) -> bool {
        matches!(self.state, State::Open(probe_at) if probe_at.passed(now))
    }

    /// Records that a probe was sent.
    pub fn start_probe(&mut self) {
        self.state = State::Probing;
    }

    /// Records a success. Only that of a probe closes an open breaker, as other calls were sent before
    /// the breaker opened and don't show the present state of the address.
    pub fn record_success(&mut self, probe: bool) {
        if probe || self.state == State::Closed {
            self.state = State::Closed;
            self.failures = 0;
        }
    }

    /// Records a failure of a call or a probe.
    pub fn record_failure(&mut self, now: UnixMs, probe: bool, rng: &mut impl Rng) {
        let opens = self.state == State::Closed && self.failures + 1 >= TRIP_COUNT;
        if self.state == State::Closed || probe {
            self.failures = self.failures.saturating_add(1);
        }
        if opens || probe {
            let failed_probes = self.failures.saturating_sub(TRIP_COUNT);
            self.state = State::Open(now.after(backoff_ms(failed_probes, rng)));
        }
    }
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a wait that doubles with each failed probe, up to [`PROBE_MAX_MS`]; half of it is random.
fn backoff_ms(failed_probes: u32, rng: &mut impl Rng) -> u64 {
    let longest = PROBE_MIN_MS
        .saturating_mul(1 << failed_probes.min(16))
        .min(PROBE_MAX_MS);
    longest / 2 + rng.random_range(0..=longest / 2)
}
