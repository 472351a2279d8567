//! The process's clock: wall time at the start, carried on by the monotonic clock.

use std::sync::LazyLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use marigoldglade::time::UnixMs;

static START: LazyLock<(Instant, u64)> = LazyLock::new(|| {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    (Instant::now(), to_ms(since))
});

fn to_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time now; it never goes back within a process.
pub(crate) fn now() -> UnixMs {
    let (start, base) = *START;
    UnixMs(base).after(to_ms(start.elapsed()))
}

/// Returns how long it is until `end`; zero when it has passed.
pub(crate) fn until(end: UnixMs) -> Duration {
    Duration::from_millis(end.since(now()))
}

/// Waits until `end`.
pub(crate) async fn sleep_until(end: UnixMs) {
    tokio::time::sleep(until(end)).await;
}
