//! Tracing: one span per call, and one per attempt at a target or peer.
//!
//! The W3C `traceparent` header of a caller is propagated, so that a call can be followed through
//! entries and targets. The thread of the batch processor writes spans to a file, one JSON object
//! per line. The request path never waits for it.

use crate::StartError;
use error_stack::{Report, ResultExt};
use http::{HeaderMap, HeaderName, HeaderValue};
use opentelemetry::{
    Context, KeyValue,
    propagation::{Extractor, Injector, TextMapPropagator},
    trace::{
        Span as _, SpanBuilder, SpanContext, SpanKind, TraceContextExt, Tracer, TracerProvider,
    },
};
use opentelemetry_sdk::{
    error::{OTelSdkError, OTelSdkResult},
    propagation::TraceContextPropagator,
    trace::{SdkTracer, SdkTracerProvider, Span, SpanData, SpanExporter},
};
use parking_lot::Mutex;
use serde::Serialize;
use std::{
    collections::BTreeMap,
    fs::{File, OpenOptions},
    io::{BufWriter, Write},
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

/// Creates the spans of this process.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl Tracing {
    /// Opens the file at `path`, to which spans are appended.
    ///
    /// # Errors
    ///
    /// Returns [`StartError::ReadFile`] if the file cannot be opened.
    pub fn open(path: &Path) -> Result<Self, Report<StartError>> {
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .change_context_lazy(|| StartError::ReadFile(path.to_owned()))?;
        let exporter = FileExporter { file: Mutex::new(BufWriter::new(file)) };
        let provider = SdkTracerProvider::builder().with_batch_exporter(exporter).build();
        let tracer = provider.tracer("azuretally-entry");
        Ok(Self { provider, tracer, propagator: TraceContextPropagator::new() })
    }

    /// Starts the span of a call. Its parent is the span named in `headers`, if any.
    pub fn start_call(&self, name: String, headers: &HeaderMap) -> ActiveSpan {
        let parent =
            self.propagator.extract_with_context(&Context::new(), &HeaderExtractor(headers));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Starts the span of an attempt at a target or peer, with the span of the call as its parent.
    pub fn start_attempt(&self, name: String, call_span: &SpanContext) -> ActiveSpan {
        let parent = Context::new().with_remote_span_context(call_span.clone());
        self.start(name, SpanKind::Client, &parent)
    }

    /// Adds the context of `span` to the header fields of a request.
    pub fn inject(&self, span: &ActiveSpan, headers: &mut HeaderMap) {
        let context = Context::new().with_remote_span_context(span.context());
        self.propagator.inject_context(&context, &mut HeaderInjector(headers));
    }

    /// Writes the remaining spans to the file.
    pub fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("trace: some spans may not have been written: {e}");
        }
    }

    fn start(&self, name: String, kind: SpanKind, parent: &Context) -> ActiveSpan {
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        ActiveSpan { span: self.tracer.build_with_context(builder, parent) }
    }
}

/// A span in progress. It ends when it is dropped.
#[derive(Debug)]
pub struct ActiveSpan {
    span: Span,
}

impl ActiveSpan {
    /// Returns the context that identifies the span.
    pub fn context(&self) -> SpanContext {
        self.span.span_context().clone()
    }

    /// Sets an attribute of the span.
    pub fn set_attribute(&mut self, key: &'static str, value: String) {
        self.span.set_attribute(KeyValue::new(key, value));
    }
}

struct HeaderExtractor<'a>(&'a HeaderMap);

impl Extractor for HeaderExtractor<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|v| v.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct HeaderInjector<'a>(&'a mut HeaderMap);

impl Injector for HeaderInjector<'_> {
    fn set(&mut self, key: &str, value: String) {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(key.as_bytes()), HeaderValue::from_str(&value))
        {
            self.0.insert(name, value);
        }
    }
}

/// Appends spans to a file.
#[derive(Debug)]
struct FileExporter {
    file: Mutex<BufWriter<File>>,
}

/// A span in the form in which it is written to the file.
#[derive(Serialize)]
struct SpanLine<'a> {
    trace: String,
    span: String,
    parent: String,
    name: &'a str,
    kind: String,
    start_us: u64,
    end_us: u64,
    attributes: BTreeMap<&'a str, String>,
}

impl<'a> SpanLine<'a> {
    fn new(data: &'a SpanData) -> Self {
        Self {
            trace: data.span_context.trace_id().to_string(),
            span: data.span_context.span_id().to_string(),
            parent: data.parent_span_id.to_string(),
            name: &data.name,
            kind: format!("{:?}", data.span_kind).to_lowercase(),
            start_us: unix_us(data.start_time),
            end_us: unix_us(data.end_time),
            attributes: data
                .attributes
                .iter()
                .map(|a| (a.key.as_str(), a.value.to_string()))
                .collect(),
        }
    }
}

impl FileExporter {
    fn write(&self, batch: &[SpanData]) -> std::io::Result<()> {
        let mut file = self.file.lock();
        for data in batch {
            serde_json::to_writer(&mut *file, &SpanLine::new(data))?;
            file.write_all(b"\n")?;
        }
        file.flush()
    }
}

impl SpanExporter for FileExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        self.write(&batch).map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}

fn unix_us(time: SystemTime) -> u64 {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}
