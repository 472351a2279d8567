//! Counters and latency histograms, as the metrics address serves them.

use std::cell::Cell;

use marigoldglade::batch::engine::Counts;
use marigoldglade::batch::worker::Order;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::admin;

type Times = Family<Vec<(&'static str, String)>, Histogram>;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// From one millisecond to about eight seconds, doubling.
fn times() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// The daemon's metrics.
pub(super) struct Metrics {
    registry: Registry,
    /// Calls of callers by kind and status.
    pub(super) calls: admin::Counts,
    /// How long calls of callers took, by kind.
    call_times: Times,
    /// Calls to the store by kind and outcome.
    pub(super) store: admin::Counts,
    /// How long orders and commits took.
    order_times: Times,
    /// Events of the engine.
    events: admin::Counts,
    /// The term in which this daemon is the owner, or zero.
    pub(super) term: Gauge,
    open_jobs: Gauge,
    last: Cell<Counts>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds are far below 2^52"
)]
fn seconds(ms: u64) -> f64 {
    ms as f64 / MILLIS_PER_SECOND
}

impl Metrics {
    /// Makes metrics that count from zero.
    pub(super) fn new() -> Self {
        let mut registry = Registry::with_prefix("marigoldglade");
        let calls = admin::Counts::default();
        registry.register(
            "calls",
            "Calls of callers by kind and status",
            calls.clone(),
        );
        let call_times = Times::new_with_constructor(times);
        registry.register_with_unit(
            "call",
            "Time of calls by kind",
            Unit::Seconds,
            call_times.clone(),
        );
        let store = admin::Counts::default();
        registry.register(
            "store_calls",
            "Calls to the store by kind and outcome",
            store.clone(),
        );
        let order_times = Times::new_with_constructor(times);
        registry.register_with_unit(
            "order",
            "Time of orders and commits",
            Unit::Seconds,
            order_times.clone(),
        );
        let events = admin::Counts::default();
        registry.register(
            "engine_events",
            "Events of the owner's engine",
            events.clone(),
        );
        let term = Gauge::default();
        registry.register(
            "term",
            "Term in which this daemon is the owner, or 0",
            term.clone(),
        );
        let open_jobs = Gauge::default();
        registry.register("open_jobs", "Jobs that haven't ended", open_jobs.clone());
        Self {
            registry,
            calls,
            call_times,
            store,
            order_times,
            events,
            term,
            open_jobs,
            last: Cell::default(),
        }
    }

    /// Notes a call of a caller.
    pub(super) fn call(&self, kind: &'static str, status: u16, ms: u64) {
        let label = vec![("call", kind.to_owned()), ("status", status.to_string())];
        self.calls.get_or_create(&label).inc();
        self.call_times
            .get_or_create(&vec![("call", kind.to_owned())])
            .observe(seconds(ms));
    }

    /// Notes an order that was answered.
    pub(super) fn order(&self, order: &Order, ms: u64) {
        let kind = match order {
            Order::Start(_) => "start",
            Order::Stop(_) => "stop",
            Order::Renew(_) => "hold",
            Order::SetPace(_) => "pace",
        };
        self.order_times
            .get_or_create(&vec![("order", kind.to_owned())])
            .observe(seconds(ms));
    }

    /// Notes a commit.
    pub(super) fn commit(&self, ms: u64) {
        self.order_times
            .get_or_create(&vec![("order", "commit".to_owned())])
            .observe(seconds(ms));
    }

    /// Takes the engine's counts over.
    pub(super) fn engine(&self, counts: &Counts, open: usize) {
        self.open_jobs.set(i64::try_from(open).unwrap_or(i64::MAX));
        let last = self.last.replace(*counts);
        let rows = [
            ("start", counts.starts, last.starts),
            ("preempted", counts.preempted, last.preempted),
            ("full", counts.full, last.full),
            ("failed", counts.failed, last.failed),
            ("lost", counts.lost, last.lost),
            ("accepted", counts.accepted, last.accepted),
            ("refused", counts.refused, last.refused),
        ];
        for (what, now, before) in rows {
            // A new term counts from zero.
            let more = if now >= before { now - before } else { now };
            if more > 0 {
                self.events
                    .get_or_create(&vec![("event", what.to_owned())])
                    .inc_by(more);
            }
        }
    }

    /// Returns the text of the metrics page.
    pub(super) fn text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
