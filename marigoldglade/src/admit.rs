//! Decides before queueing whether a request can meet its deadline.
//!
//! Measured service times and the line ahead flow in, a yes or no flows out.

use crate::time::{SECOND_MS, UnixMs};

/// The weight of a new sample is one over this.
const SAMPLE_SHARE: f64 = 16.0;

/// The measured service time of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Service {
    mean_ms: f64,
    seen: Option<UnixMs>,
}

impl Service {
    /// Takes one measured service time.
    pub fn sample(&mut self, now: UnixMs, ms: u64) {
        let ms = ms as f64;
        self.mean_ms = match self.seen {
            Some(_) => self.mean_ms + (ms - self.mean_ms) / SAMPLE_SHARE,
            None => ms,
        };
        self.seen = Some(now);
    }

    /// Returns the expected service time in milliseconds; zero when nothing is known. It halves
    /// with each second without a sample, so that a stall can't shut a class out for good.
    #[must_use]
    pub fn expect(&self, now: UnixMs) -> f64 {
        let Some(seen) = self.seen else {
            return 0.0;
        };
        let stale_s = (now.since(seen) / SECOND_MS).min(64) as i32;
        self.mean_ms * 0.5_f64.powi(stale_s)
    }
}

/// A request may be expected to wait for one over this part of the time it has.
const WAIT_PART: f64 = 4.0;

/// What a request would meet in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The time.
    pub now: UnixMs,
    /// The deadline.
    pub deadline: UnixMs,
    /// Requests that go before it.
    pub ahead: usize,
    /// Requests of all lanes that wait.
    pub queued: usize,
    /// Slots that its class can count on.
    pub slots: f64,
    /// The expected service time, in milliseconds.
    pub service_ms: f64,
}

impl Load {
    /// Returns the expected wait in the queue, in milliseconds.
    #[must_use]
    pub fn wait_ms(&self) -> f64 {
        self.ahead as f64 * self.service_ms / self.slots.max(0.1)
    }
}

/// Whether a request is taken.
pub type Policy = fn(&Load) -> bool;

/// Takes what is expected to be answered before its deadline, on average.
#[must_use]
pub fn by_mean(load: &Load) -> bool {
    load.wait_ms() + load.service_ms <= load.deadline.since(load.now) as f64
}

/// Takes what is expected to wait for a small part of its time only, which leaves room for a
/// service time well above the mean and for estimates that are off.
#[must_use]
pub fn by_deadline(load: &Load) -> bool {
    let left_ms = load.deadline.since(load.now) as f64;
    load.wait_ms() <= left_ms / WAIT_PART && by_mean(load)
}

/// Takes everything that the bounded queue holds.
#[must_use]
pub fn accept_all(_load: &Load) -> bool {
    true
}
