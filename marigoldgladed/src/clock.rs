//! The process's clock: the wall-clock time at its start plus the monotonic time since then.

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

/// Returns the current time, which never goes back within a process.
pub(crate) fn now() -> UnixMs {
    let (start, start_ms) = *START;
    UnixMs(start_ms).after(to_ms(start.elapsed()))
}

/// Returns the time left until `deadline`; zero when it has passed.
pub(crate) fn until(deadline: UnixMs) -> Duration {
    Duration::from_millis(deadline.since(now()))
}

/// Waits until `deadline`.
pub(crate) async fn sleep_until(deadline: UnixMs) {
    tokio::time::sleep(until(deadline)).await;
}
