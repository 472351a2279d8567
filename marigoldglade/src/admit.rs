//! Decides before a request is queued whether it can meet its deadline, by the measured service
//! times and the requests ahead of it.

use crate::time::{SECOND_MS, UnixMs};

/// A new sample has one part in this many of the weight in the moving average.
const SAMPLE_DIVISOR: f64 = 16.0;

/// The measured service time of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean_ms: f64,
    sampled_at: Option<UnixMs>,
}

impl ServiceTime {
    /// Records one measured service time.
    pub fn record(&mut self, now: UnixMs, ms: u64) {
        let ms = ms as f64;
        self.mean_ms = match self.sampled_at {
            Some(_) => self.mean_ms + (ms - self.mean_ms) / SAMPLE_DIVISOR,
            None => ms,
        };
        self.sampled_at = Some(now);
    }

    /// Returns the expected service time in milliseconds, or zero without any sample. The estimate
    /// halves with each second without a sample; otherwise a class whose requests are all refused
    /// after a stall would get no new sample and stay refused.
    #[must_use]
    pub fn estimate_ms(&self, now: UnixMs) -> f64 {
        let Some(sampled_at) = self.sampled_at else {
            return 0.0;
        };
        let stale_s = (now.since(sampled_at) / SECOND_MS).min(64) as i32;
        self.mean_ms * 0.5_f64.powi(stale_s)
    }
}

/// The expected wait of a request may be at most its remaining time divided by this.
const WAIT_DIVISOR: f64 = 4.0;

/// The state of the queue that a new request would find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The current time.
    pub now: UnixMs,
    /// The deadline of the request.
    pub deadline: UnixMs,
    /// How many requests would be served before the new one.
    pub ahead: usize,
    /// How many requests of all lanes wait.
    pub queued: usize,
    /// How many slots the class of the request can count on.
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

/// An admission policy: returns whether a request is accepted.
pub type Policy = fn(&Load) -> bool;

/// Accepts a request whose expected wait and mean service time end before its deadline.
#[must_use]
pub fn by_mean(load: &Load) -> bool {
    load.wait_ms() + load.service_ms <= load.deadline.since(load.now) as f64
}

/// Accepts a request that is expected to wait for a small part of its remaining time only. This
/// leaves time for a service time well above the mean and for wrong estimates.
#[must_use]
pub fn by_deadline(load: &Load) -> bool {
    let left_ms = load.deadline.since(load.now) as f64;
    load.wait_ms() <= left_ms / WAIT_DIVISOR && by_mean(load)
}

/// Accepts every request; only the bounds of the queue limit them.
#[must_use]
pub fn accept_all(_load: &Load) -> bool {
    true
}
