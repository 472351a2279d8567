//! A circuit breaker: outcomes of calls to one address flow in, whether to call it flows out.

use rand::Rng;
use rand::RngExt as _;

use crate::time::UnixMs;

/// Failures in a row that open the breaker.
pub const TRIP_COUNT: u32 = 5;
/// The longest wait between two probes, in milliseconds.
pub const PROBE_MAX_MS: u64 = 2_000;
/// The shortest wait before a probe, in milliseconds.
const PROBE_MIN_MS: u64 = 100;

/// Where a breaker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Calls go through.
    Closed,
    /// Calls are held back until the deadline, when a probe is due.
    Open(UnixMs),
    /// A probe is under way.
    Probing,
}

/// A breaker of one address.
pub struct Breaker {
    state: State,
    failures: u32,
}

impl Breaker {
    /// Makes a closed one.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            state: State::Closed,
            failures: 0,
        }
    }

    /// Returns where it stands.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns whether a probe is due.
    #[must_use]
    pub fn probe_due(&self, now: UnixMs) -> bool {
        matches!(self.state, State::Open(end) if end.passed(now))
    }

    /// Notes that a probe was sent.
    pub fn probe(&mut self) {
        self.state = State::Probing;
    }

    /// Takes a success; only a probe's closes an open breaker, as a call that was sent before the
    /// breaker opened tells of the past.
    pub fn succeed(&mut self, probe: bool) {
        if probe || self.state == State::Closed {
            self.state = State::Closed;
            self.failures = 0;
        }
    }

    /// Takes a failure.
    pub fn fail(&mut self, now: UnixMs, probe: bool, rng: &mut impl Rng) {
        let opens = self.state == State::Closed && self.failures + 1 >= TRIP_COUNT;
        if self.state == State::Closed || probe {
            self.failures = self.failures.saturating_add(1);
        }
        if opens || probe {
            let tries = self.failures.saturating_sub(TRIP_COUNT);
            self.state = State::Open(now.after(backoff_ms(tries, rng)));
        }
    }
}

impl Default for Breaker {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns a wait that doubles with each try and of which half is random.
fn backoff_ms(tries: u32, rng: &mut impl Rng) -> u64 {
    let whole = PROBE_MIN_MS
        .saturating_mul(1 << tries.min(16))
        .min(PROBE_MAX_MS);
    whole / 2 + rng.random_range(0..=whole / 2)
}
