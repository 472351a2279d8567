//! Decides whether and when a request is sent again.
//!
//! The budget is a token bucket: each first send adds a tenth of a retry, up to [`BURST`] retries.
//! Over any period the retries are therefore at most a tenth of the first sends plus [`BURST`].

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::time::UnixMs;

/// How many first sends allow one retry.
pub const SENDS_PER_RETRY: u32 = 10;
/// The most retries that the budget can hold.
pub const BURST: u32 = 10;
/// The most times that one request is sent.
pub const MAX_TRIES: u8 = 4;
/// The base of the exponential backoff, in milliseconds; the longest wait doubles with each try.
const BACKOFF_MS: u64 = 8;
/// The longest wait before any try, in milliseconds.
const BACKOFF_LIMIT_MS: u64 = 500;

/// The retry budget of one daemon.
pub struct Budget {
    rng: ChaCha8Rng,
    // One token is a tenth of a retry.
    tokens: u32,
}

impl Budget {
    /// Creates a full budget; `seed` determines the jitter of the backoff.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            tokens: BURST * SENDS_PER_RETRY,
        }
    }

    /// Adds the tokens of a first send.
    pub fn record_send(&mut self) {
        self.tokens = (self.tokens + 1).min(BURST * SENDS_PER_RETRY);
    }

    /// Takes one retry from the budget and returns whether there was one.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= SENDS_PER_RETRY;
        if enough {
            self.tokens -= SENDS_PER_RETRY;
        }
        enough
    }

    /// Picks when to try again after `tries` tries, by exponential backoff with full jitter.
    pub fn pick_retry_time(&mut self, now: UnixMs, tries: u8) -> UnixMs {
        let most = (BACKOFF_MS << tries.min(16)).min(BACKOFF_LIMIT_MS);
        now.after(self.rng.random_range(1..=most))
    }
}
