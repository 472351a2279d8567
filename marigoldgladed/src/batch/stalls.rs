//! Notices that the process stood still, as when its machine was paused.

use std::time::Duration;

use crate::batch::{boot_ms, clock};

/// The time between two looks at the clocks, in milliseconds.
const CHECK_MS: u64 = 200;
/// How late a look must be for a line, in milliseconds.
const STALL_MS: u64 = 500;

/// Logs each time for which the process stood still, until the task is aborted.
pub(super) async fn watch_stalls() {
    let (mut steady, mut boot) = (clock::now(), boot_ms());
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_MS)).await;
        let (now, now_boot) = (clock::now(), boot_ms());
        let passed_ms = now.since(steady);
        // Only the time since boot counts suspends.
        let suspended_ms = now_boot.saturating_sub(boot).saturating_sub(passed_ms);
        let stalled_ms = passed_ms.saturating_sub(CHECK_MS);
        if stalled_ms > STALL_MS || suspended_ms > STALL_MS {
            log::warn!(stalled_ms, suspended_ms; "the process stood still");
        }
        (steady, boot) = (now, now_boot);
    }
}
