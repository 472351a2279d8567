//! The daemon's counters and latency histograms, and the metrics page that shows them.

use std::cell::Cell;

use marigoldglade::batch::engine::Counts;
use marigoldglade::batch::worker::Order;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::admin;

type Latencies = Family<Vec<(&'static str, String)>, Histogram>;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Creates a histogram whose buckets double from one millisecond to about eight seconds.
fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 14))
}

/// The daemon's metrics.
pub(super) struct Metrics {
    registry: Registry,
    /// Callers' calls by kind and status.
    pub(super) calls: admin::Counts,
    /// How long callers' calls took, by kind.
    call_latencies: Latencies,
    /// Calls to the store by kind and outcome.
    pub(super) store: admin::Counts,
    /// How long orders and commits took, by kind.
    order_latencies: Latencies,
    /// Events that the engine has counted, by kind.
    events: admin::Counts,
    /// The term in which this daemon is the owner; zero while it isn't.
    pub(super) term: Gauge,
    /// Orders that this daemon relayed for the owner.
    pub(super) relayed: Counter,
    /// The relays that the owner uses.
    relays: Gauge,
    /// The jobs that haven't ended.
    open_jobs: Gauge,
    /// The engine's counts at the last update.
    last_counts: Cell<Counts>,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "milliseconds are far below 2^52"
)]
fn seconds(ms: u64) -> f64 {
    ms as f64 / MILLIS_PER_SECOND
}

impl Metrics {
    /// Creates metrics that count from zero.
    pub(super) fn new() -> Self {
        let mut registry = Registry::with_prefix("marigoldglade");
        let calls = admin::Counts::default();
        registry.register(
            "calls",
            "Calls of callers by kind and status",
            calls.clone(),
        );
        let call_latencies = Latencies::new_with_constructor(latency_histogram);
        registry.register_with_unit(
            "call",
            "Time of calls by kind",
            Unit::Seconds,
            call_latencies.clone(),
        );
        let store = admin::Counts::default();
        registry.register(
            "store_calls",
            "Calls to the store by kind and outcome",
            store.clone(),
        );
        let order_latencies = Latencies::new_with_constructor(latency_histogram);
        registry.register_with_unit(
            "order",
            "Time of orders and commits",
            Unit::Seconds,
            order_latencies.clone(),
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
        let relayed = Counter::default();
        registry.register(
            "relayed_orders",
            "Orders to workers that this daemon relayed for the owner",
            relayed.clone(),
        );
        let relays = Gauge::default();
        registry.register(
            "relays",
            "Daemons that relay this owner's orders to workers",
            relays.clone(),
        );
        let open_jobs = Gauge::default();
        registry.register("open_jobs", "Jobs that haven't ended", open_jobs.clone());
        Self {
            registry,
            calls,
            call_latencies,
            store,
            order_latencies,
            events,
            term,
            relayed,
            relays,
            open_jobs,
            last_counts: Cell::default(),
        }
    }

    /// Records a caller's call.
    pub(super) fn record_call(&self, kind: &'static str, status: u16, ms: u64) {
        let label = vec![("call", kind.to_owned()), ("status", status.to_string())];
        self.calls.get_or_create(&label).inc();
        self.call_latencies
            .get_or_create(&vec![("call", kind.to_owned())])
            .observe(seconds(ms));
    }

    /// Records an order that was answered.
    pub(super) fn record_order(&self, order: &Order, ms: u64) {
        let kind = match order {
            Order::Start(_) => "start",
            Order::Stop(_) => "stop",
            Order::Renew(_) => "hold",
            Order::SetPace(_) => "pace",
        };
        self.order_latencies
            .get_or_create(&vec![("order", kind.to_owned())])
            .observe(seconds(ms));
    }

    /// Records how long a commit took, in milliseconds.
    pub(super) fn record_commit(&self, ms: u64) {
        self.order_latencies
            .get_or_create(&vec![("order", "commit".to_owned())])
            .observe(seconds(ms));
    }

    /// Adds what the engine has counted since the last update, and sets the numbers of open jobs and of
    /// relays.
    pub(super) fn update_engine(&self, counts: &Counts, open_jobs: usize, relays: usize) {
        self.relays.set(i64::try_from(relays).unwrap_or(i64::MAX));
        self.open_jobs
            .set(i64::try_from(open_jobs).unwrap_or(i64::MAX));
        let last_counts = self.last_counts.replace(*counts);
        let rows = [
            ("start", counts.starts, last_counts.starts),
            ("preempted", counts.preempted, last_counts.preempted),
            ("full", counts.full, last_counts.full),
            ("failed", counts.failed, last_counts.failed),
            ("crashed", counts.crashed, last_counts.crashed),
            ("lost", counts.lost, last_counts.lost),
            ("accepted", counts.accepted, last_counts.accepted),
            ("refused", counts.refused, last_counts.refused),
        ];
        for (event, now, before) in rows {
            // The engine of a new term counts from zero.
            let increase = if now >= before { now - before } else { now };
            if increase > 0 {
                self.events
                    .get_or_create(&vec![("event", event.to_owned())])
                    .inc_by(increase);
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
