//! Calls, the requests that carry them, and the answers to them.

use std::{fmt, sync::Arc, time::Duration};

/// Route whose calls are answered by targets before their body has been read.
pub(crate) const EARLY_ROUTE: &str = "early";
/// Routes with whether their calls may be repeated and their time limits in ms.
pub(crate) const ROUTES: [(&str, bool, u64); 5] = [
    ("look", true, 1_000),
    ("sale", false, 1_200),
    ("list", true, 2_500),
    ("roster", true, 4_000),
    (EARLY_ROUTE, false, 4_000),
];

/// A call. Its path tells the target how long to run it and how many bytes to answer.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Id of the call, unique within a test.
    pub(crate) id: Arc<str>,
    /// Route, which determines the time limit.
    pub(crate) route: &'static str,
    /// Time that the target takes.
    pub(crate) service: Duration,
    /// Size of the body of the answer.
    pub(crate) bytes: usize,
    /// Size of the body of the request. The call is a POST if it has one.
    pub(crate) body: usize,
}

impl Call {
    pub(crate) fn new(id: &str, route: &'static str) -> Self {
        let service = Duration::from_millis(20);
        Self { id: Arc::from(id), route, service, bytes: 100, body: 0 }
    }

    /// Sets the time that the target takes, in ms.
    pub(crate) fn service_ms(mut self, ms: u64) -> Self {
        self.service = Duration::from_millis(ms);
        self
    }

    /// Sets the size of the body of the answer.
    pub(crate) fn bytes(mut self, bytes: usize) -> Self {
        self.bytes = bytes;
        self
    }

    /// Sets the size of the body of the request.
    pub(crate) fn body(mut self, body: usize) -> Self {
        self.body = body;
        self
    }

    /// Returns the time within which the caller must get an answer.
    pub(crate) fn time_limit(&self) -> Duration {
        let route = ROUTES.iter().find(|route| route.0 == self.route);
        route.map_or(Duration::ZERO, |(_, _, limit_ms)| Duration::from_millis(*limit_ms))
    }

    /// Returns the head of the request.
    pub(crate) fn head(&self) -> String {
        let Self { id, route, service, bytes, body } = self;
        let path = format!("/{route}/{}/{bytes}", service.as_millis());
        match body {
            0 => format!("GET {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n\r\n"),
            _ => format!(
                "POST {path} HTTP/1.1\r\nhost: test\r\nx-azuretally-call: {id}\r\n\
                 content-length: {body}\r\n\r\n"
            ),
        }
    }
}

/// Returns the body of the target's answer to the call `id`.
pub(crate) fn expected_body(id: &str, bytes: usize) -> Vec<u8> {
    id.bytes().chain([b' ']).cycle().take(bytes).collect()
}

/// An answer or the part of it that has been received.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Vec<u8>,
    /// Whether all bytes that the head announces have been received.
    pub(crate) is_complete: bool,
    head: String,
}

impl Answer {
    /// Splits what a connection has received into answers. An incomplete head is left out.
    pub(crate) fn parse_all(mut bytes: &[u8]) -> Vec<Self> {
        let mut answers = Vec::new();
        while let Some((answer, rest)) = Self::parse(bytes) {
            answers.push(answer);
            bytes = rest;
        }
        answers
    }

    /// Removes the first answer from `bytes` if it is complete.
    pub(crate) fn take(bytes: &mut Vec<u8>) -> Option<Self> {
        let (answer, rest) = Self::parse(bytes).filter(|(answer, _)| answer.is_complete)?;
        let taken = bytes.len() - rest.len();
        bytes.drain(..taken);
        Some(answer)
    }

    /// Returns whether the connection ends after this answer.
    pub(crate) fn is_last(&self) -> bool {
        self.header("connection") == Some("close")
    }

    fn parse(bytes: &[u8]) -> Option<(Self, &[u8])> {
        let end = head_end(bytes)?;
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        let received = &bytes[end..];
        let (body, rest) = received.split_at(received.len().min(length));
        let is_complete = body.len() == length;
        Some((Self { status, body: body.to_vec(), is_complete, head }, rest))
    }

    /// Returns the value of the header `name`.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns whether this is the complete answer of a target to `call`.
    pub(crate) fn is_whole(&self, call: &Call) -> bool {
        self.is_complete && self.status == 200 && self.body == expected_body(&call.id, call.bytes)
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let reason = self.header("x-azuretally-reason").unwrap_or("-");
        let is_complete = self.is_complete;
        write!(f, "status={} reason={reason} complete={is_complete}", self.status)
    }
}

/// Returns the length of the head of a message, if it is complete.
pub(crate) fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4)
}

/// Returns the value of the header `name` of a head.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = head.lines().skip(1).filter_map(|line| line.split_once(": "));
    fields.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
}
