//! The graceful stop: a signal flows in, every part sees it, and work in flight is counted.

use std::sync::Arc;

use marigoldglade::time::UnixMs;
use tokio::sync::watch;

/// Whether the daemon is stopping, and how much work is in flight.
#[derive(Clone)]
pub(crate) struct Stop {
    /// When the stop must be over; `None` while the daemon isn't stopping.
    end: Arc<watch::Sender<Option<UnixMs>>>,
    busy: Arc<watch::Sender<u64>>,
    /// How often open connections were told to end with their current call.
    closes: Arc<watch::Sender<u32>>,
}

/// Work in flight, until it is dropped.
pub(crate) struct Busy(Arc<watch::Sender<u64>>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

impl Stop {
    /// Makes one that isn't stopping.
    pub(crate) fn new() -> Self {
        Self {
            end: Arc::new(watch::Sender::new(None)),
            busy: Arc::new(watch::Sender::new(0)),
            closes: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Begins the stop, which must be over at `end`.
    pub(crate) fn begin(&self, end: UnixMs) {
        self.end.send_replace(Some(end));
    }

    /// Returns whether the daemon is stopping.
    pub(crate) fn stopping(&self) -> bool {
        self.end.borrow().is_some()
    }

    /// Waits until the stop begins.
    pub(crate) async fn begun(&self) {
        let mut end = self.end.subscribe();
        let _ = end.wait_for(Option::is_some).await;
    }

    /// Ends the connections that are open now after their current call.
    pub(crate) fn close(&self) {
        self.closes.send_modify(|n| *n += 1);
    }

    /// Returns a future that waits for the next [`Stop::close`].
    pub(crate) fn closing(&self) -> impl Future<Output = ()> + use<> {
        let mut closes = self.closes.subscribe();
        let now = *closes.borrow_and_update();
        async move {
            let _ = closes.wait_for(|n| *n > now).await;
        }
    }

    /// Counts a piece of work until the guard is dropped.
    pub(crate) fn busy(&self) -> Busy {
        self.busy.send_modify(|n| *n += 1);
        Busy(Arc::clone(&self.busy))
    }

    /// Waits until no work is in flight.
    pub(crate) async fn idle(&self) {
        let mut busy = self.busy.subscribe();
        let _ = busy.wait_for(|n| *n == 0).await;
    }
}
