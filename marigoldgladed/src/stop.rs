//! The graceful stop of the daemon.
//!
//! Every part of the daemon holds a clone of [`Stop`]: it learns from it that the stop has begun,
//! and counts its work in flight, so that the process exits only once that work is done.

use std::sync::Arc;

use marigoldglade::time::UnixMs;
use tokio::sync::watch;

/// Whether the daemon is stopping, and how much work is in flight.
#[derive(Clone)]
pub(crate) struct Stop {
    /// When the stop must be over; `None` while the daemon isn't stopping.
    deadline: Arc<watch::Sender<Option<UnixMs>>>,
    in_flight: Arc<watch::Sender<u64>>,
    /// How many times [`Stop::close`] was called.
    closes: Arc<watch::Sender<u32>>,
}

/// Guard for a piece of work; the work is in flight until the guard is dropped.
pub(crate) struct InFlight(Arc<watch::Sender<u64>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.send_modify(|n| *n -= 1);
    }
}

impl Stop {
    /// Creates the state of a daemon that isn't stopping and has no work in flight.
    pub(crate) fn new() -> Self {
        Self {
            deadline: Arc::new(watch::Sender::new(None)),
            in_flight: Arc::new(watch::Sender::new(0)),
            closes: Arc::new(watch::Sender::new(0)),
        }
    }

    /// Begins the stop, which must be over at `deadline`.
    pub(crate) fn begin(&self, deadline: UnixMs) {
        self.deadline.send_replace(Some(deadline));
    }

    /// Returns whether the daemon is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.deadline.borrow().is_some()
    }

    /// Waits until the stop begins.
    pub(crate) async fn wait_begun(&self) {
        let mut deadline = self.deadline.subscribe();
        let _ = deadline.wait_for(Option::is_some).await;
    }

    /// Asks every open connection to close after its current call.
    pub(crate) fn close(&self) {
        self.closes.send_modify(|n| *n += 1);
    }

    /// Returns a future that waits for the next [`Stop::close`] after this call.
    pub(crate) fn wait_close(&self) -> impl Future<Output = ()> + use<> {
        let mut closes = self.closes.subscribe();
        let now = *closes.borrow_and_update();
        async move {
            let _ = closes.wait_for(|n| *n > now).await;
        }
    }

    /// Counts a piece of work as in flight until the guard is dropped.
    pub(crate) fn track(&self) -> InFlight {
        self.in_flight.send_modify(|n| *n += 1);
        InFlight(Arc::clone(&self.in_flight))
    }

    /// Waits until no work is in flight.
    pub(crate) async fn wait_idle(&self) {
        let mut in_flight = self.in_flight.subscribe();
        let _ = in_flight.wait_for(|n| *n == 0).await;
    }
}
