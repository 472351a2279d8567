//! Decides whether and when a request is sent again.
//!
//! First sends and failures flow in, the time of the next try flows out. The budget is a token
//! bucket: each first send adds a tenth of a retry, up to a small store, so that over any window
//! the retries are at most a tenth of the first sends plus [`BURST`].

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::time::UnixMs;

/// First sends that pay for one retry.
pub const SENDS_PER_RETRY: u32 = 10;
/// The most retries that can be saved up.
pub const BURST: u32 = 10;
/// The most times one request is sent.
pub const TRIES: u8 = 4;
/// The longest wait before the second try, in milliseconds; it doubles with each try.
const BACKOFF_MS: u64 = 8;
/// The longest wait before any try, in milliseconds.
const BACKOFF_LIMIT_MS: u64 = 500;

/// The budget of one daemon.
pub struct Budget {
    rng: ChaCha8Rng,
    // Tenths of a retry.
    saved: u32,
}

impl Budget {
    /// Makes a full budget with a seeded jitter.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            saved: BURST * SENDS_PER_RETRY,
        }
    }

    /// Counts a first send.
    pub fn sent(&mut self) {
        self.saved = (self.saved + 1).min(BURST * SENDS_PER_RETRY);
    }

    /// Takes one retry from the budget, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= SENDS_PER_RETRY;
        if enough {
            self.saved -= SENDS_PER_RETRY;
        }
        enough
    }

    /// Returns when to try again after `tries` tries: exponential backoff with full jitter.
    pub fn due(&mut self, now: UnixMs, tries: u8) -> UnixMs {
        let most = (BACKOFF_MS << tries.min(16)).min(BACKOFF_LIMIT_MS);
        now.after(self.rng.random_range(1..=most))
    }
}
