//! Traces: a span for each hop, carried across processes as W3C Trace Context.
//!
//! A caller's `traceparent` flows in, a span a hop flows out by the OpenTelemetry library, and
//! each call to a peer, a target or the store carries the trace on.

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

/// Starts tracing for this process; `written` says whether spans go to standard output.
///
/// Without it, ids are made and carried on, and a caller's sampled trace isn't recorded here.
pub(crate) fn start(daemon: &str, written: bool) {
    let resource = Resource::builder()
        .with_service_name("marigoldgladed")
        .with_attribute(KeyValue::new("service.instance.id", daemon.to_owned()))
        .build();
    let builder = SdkTracerProvider::builder().with_resource(resource);
    let provider = if written {
        builder
            .with_batch_exporter(opentelemetry_stdout::SpanExporter::default())
            .build()
    } else {
        builder.with_sampler(Sampler::AlwaysOff).build()
    };
    let tracer = provider.tracer("marigoldgladed");
    // A second start in one process keeps the first.
    let _ = PROVIDER.set((provider, tracer));
}

/// Writes the spans that are still in memory.
pub(crate) fn flush() {
    if let Some((provider, _)) = PROVIDER.get()
        && let Err(e) = provider.force_flush()
    {
        log::warn!("the last spans can't be written: {e}");
    }
}

/// Does the work of one hop under a span of its own.
pub(crate) async fn hop<T, E: Debug>(
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

/// Returns the context that a peer sent with its call.
pub(crate) fn remote(headers: &HeaderMap) -> Context {
    TraceContextPropagator::new().extract_with_context(&Context::new(), &Headers(headers))
}

/// Puts the current context into the headers of a call.
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
