//! Distributed tracing with OpenTelemetry.
//!
//! The trace of a caller comes in the `traceparent` header (W3C Trace Context). Each hop of a call
//! (a call of a caller, a request to a target, a call to the store) gets a span, and requests to
//! targets carry the trace context on.

use std::fmt::Debug;
use std::future::Future;
use std::sync::OnceLock;

use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use opentelemetry::context::FutureExt as _;
use opentelemetry::propagation::{Extractor, Injector, TextMapPropagator as _};
use opentelemetry::trace::{
    SpanKind, Status, TraceContextExt as _, Tracer as _, TracerProvider as _,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{Sampler, SdkTracer, SdkTracerProvider};

static PROVIDER: OnceLock<(SdkTracerProvider, SdkTracer)> = OnceLock::new();

/// Starts tracing for this process; spans go to standard output when `print` is set.
///
/// Otherwise no span is recorded, not even one of a trace that the caller samples; span ids are
/// still made and passed on.
pub(crate) fn start(daemon: &str, print: bool) {
    let resource = Resource::builder()
        .with_service_name("marigoldgladed")
        .with_attribute(KeyValue::new("service.instance.id", daemon.to_owned()))
        .build();
    let builder = SdkTracerProvider::builder().with_resource(resource);
    let provider = if print {
        builder
            .with_batch_exporter(opentelemetry_stdout::SpanExporter::default())
            .build()
    } else {
        builder.with_sampler(Sampler::AlwaysOff).build()
    };
    let tracer = provider.tracer("marigoldgladed");
    // A second start in the same process keeps the first provider.
    let _ = PROVIDER.set((provider, tracer));
}

/// Writes the spans that are still in memory.
pub(crate) fn flush() {
    if let Some((provider, _)) = PROVIDER.get()
        && let Err(e) = provider.force_flush()
    {
        log::warn!("can't write the last spans: {e}");
    }
}

/// Runs the work of one hop in a span of its own.
pub(crate) async fn in_span<T, E: Debug>(
    name: &'static str,
    kind: SpanKind,
    peer: String,
    work: impl Future<Output = Result<T, E>>,
) -> Result<T, E> {
    let Some((_, tracer)) = PROVIDER.get() else {
        return work.await;
    };
    let span = tracer
        .span_builder(name)
        .with_kind(kind)
        .with_attributes([KeyValue::new("peer", peer)])
        .start_with_context(tracer, &Context::current());
    let context = Context::current_with_span(span);
    let result = work.with_context(context.clone()).await;
    if let Err(e) = &result {
        context.span().set_status(Status::error(format!("{e:?}")));
    }
    context.span().end();
    result
}

/// Returns the trace context that a caller sent in the headers of its call.
pub(crate) fn extract(headers: &HeaderMap) -> Context {
    TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(headers))
}

/// Puts the current trace context into the headers of a request.
pub(crate) fn inject(headers: &mut HeaderMap) {
    TraceContextPropagator::new().inject_context(&Context::current(), &mut HeadersMut(headers));
}

struct Headers<'a>(&'a HeaderMap);

impl Extractor for Headers<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|v| v.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeadersMut<'a>(&'a mut HeaderMap);

impl Injector for HeadersMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        let parsed = (HeaderName::try_from(key), HeaderValue::try_from(value));
        if let (Ok(name), Ok(value)) = parsed {
            self.0.insert(name, value);
        }
    }
}
