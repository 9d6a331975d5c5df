//! Spans: one for each call taken in, one for each hop to a target or peer.
//!
//! The W3C `traceparent` of a caller is taken over and handed on, so that a call can be followed
//! through entries and targets. Spans go to a file, one JSON object a line, from the thread of the
//! batch processor; the request path never waits for them.

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

/// Makes spans of one process.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
    propagator: TraceContextPropagator,
}

impl Tracing {
    /// Appends spans to the file at `path`.
    ///
    /// # Errors
    ///
    /// [`StartError::ReadFile`] when the file cannot be opened.
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

    /// Span of a call taken in, below the caller's own span when it sent one.
    pub fn call(&self, name: String, fields: &HeaderMap) -> ActiveSpan {
        let parent = self.propagator.extract_with_context(&Context::new(), &Fields(fields));
        self.start(name, SpanKind::Server, &parent)
    }

    /// Span of one attempt at a target or peer.
    pub fn attempt(&self, name: String, call: &SpanContext) -> ActiveSpan {
        let parent = Context::new().with_remote_span_context(call.clone());
        self.start(name, SpanKind::Client, &parent)
    }

    /// Names the span in the fields of a request.
    pub fn inject(&self, hop: &ActiveSpan, fields: &mut HeaderMap) {
        let context = Context::new().with_remote_span_context(hop.context());
        self.propagator.inject_context(&context, &mut FieldsMut(fields));
    }

    /// Writes out what is left.
    pub fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            log::warn!("trace: spans may be missing: {e}");
        }
    }

    fn start(&self, name: String, kind: SpanKind, parent: &Context) -> ActiveSpan {
        let builder = SpanBuilder::from_name(name).with_kind(kind);
        ActiveSpan { span: self.tracer.build_with_context(builder, parent) }
    }
}

/// A span under way. It ends when it is dropped.
#[derive(Debug)]
pub struct ActiveSpan {
    span: Span,
}

impl ActiveSpan {
    /// Names the span towards others.
    pub fn context(&self) -> SpanContext {
        self.span.span_context().clone()
    }

    /// Notes a fact about the hop.
    pub fn note(&mut self, key: &'static str, value: String) {
        self.span.set_attribute(KeyValue::new(key, value));
    }
}

struct Fields<'a>(&'a HeaderMap);

impl Extractor for Fields<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|v| v.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(HeaderName::as_str).collect()
    }
}

struct FieldsMut<'a>(&'a mut HeaderMap);

impl Injector for FieldsMut<'_> {
    fn set(&mut self, key: &str, value: String) {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(key.as_bytes()), HeaderValue::from_str(&value))
        {
            self.0.insert(name, value);
        }
    }
}

#[derive(Debug)]
struct FileExporter {
    file: Mutex<BufWriter<File>>,
}

#[derive(Serialize)]
struct Line<'a> {
    trace: String,
    span: String,
    parent: String,
    name: &'a str,
    kind: String,
    start_us: u64,
    end_us: u64,
    attributes: BTreeMap<&'a str, String>,
}

impl<'a> Line<'a> {
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
            serde_json::to_writer(&mut *file, &Line::new(data))?;
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

fn unix_us(t: SystemTime) -> u64 {
    let since = t.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
