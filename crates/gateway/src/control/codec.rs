//! Encoding of the messages between gateways.
//!
//! What was added to a message later stands behind it, so that gateways of earlier builds, which ignore
//! the rest of a message, can read it. What a message of an earlier build lacks has its default value.

use azuretally_policy::balance::{
    Build, CatalogUpdate, ColdRates, EvacuationNotice, GatewayLoad, HeartbeatExtension, Message,
    ReadState, Revision, TrialNotice,
};
use postcard::{take_from_bytes, to_allocvec, to_extend};
use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

/// Kind of a message between gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// [`Message::Heartbeat`].
    Heartbeat,
    /// [`Message::Join`].
    Join,
    /// [`Message::Peers`].
    Peers,
    /// [`Message::Limits`].
    Limits,
    /// [`Message::Calls`].
    Calls,
    /// A datagram of another kind, of a later build or of a stranger.
    Unknown,
    /// Answer to a request for an update.
    Update,
    /// What a gateway says of a call that it relays.
    Relay,
    /// What the answer to a relayed call says of a target that leaves.
    Departure,
}

impl MessageKind {
    /// Returns the kind that a datagram names at its beginning.
    pub fn of_datagram(bytes: &[u8]) -> Self {
        let kinds = [Self::Heartbeat, Self::Join, Self::Peers, Self::Limits, Self::Calls];
        let kind = bytes.first().and_then(|number| kinds.get(usize::from(*number)));
        kind.copied().unwrap_or(Self::Unknown)
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Join => "join",
            Self::Peers => "peers",
            Self::Limits => "limits",
            Self::Calls => "calls",
            Self::Unknown => "unknown",
            Self::Update => "update",
            Self::Relay => "relay",
            Self::Departure => "departure",
        }
    }
}

/// Encodes a message for one datagram.
///
/// # Errors
///
/// Returns the error of the encoder.
pub fn encode_message(message: &Message) -> Result<Vec<u8>, postcard::Error> {
    let bytes = to_allocvec(message)?;
    match message {
        Message::Heartbeat(heartbeat) | Message::Join(heartbeat) => {
            let bytes = to_extend(&heartbeat.extension, bytes)?;
            let bytes = to_extend(&heartbeat.reads, to_extend(&heartbeat.build, bytes)?)?;
            to_extend(&heartbeat.load, bytes)
        }
        Message::Calls(notices) => {
            let trials: Vec<TrialNotice> = notices.iter().map(|notice| notice.trials).collect();
            to_extend(&trials, bytes)
        }
        Message::Peers(_) | Message::Limits(_) => Ok(bytes),
    }
}

/// Decodes the message of a datagram.
///
/// # Errors
///
/// Returns the error of the decoder if the datagram holds no message.
pub fn decode_message(bytes: &[u8]) -> Result<Message, postcard::Error> {
    let (mut message, mut rest) = take_from_bytes::<Message>(bytes)?;
    if let Message::Heartbeat(heartbeat) | Message::Join(heartbeat) = &mut message {
        if !rest.is_empty() {
            (heartbeat.extension, rest) = take_from_bytes::<HeartbeatExtension>(rest)?;
        }
        if !rest.is_empty() {
            (heartbeat.build, rest) = take_from_bytes::<Build>(rest)?;
        }
        if !rest.is_empty() {
            (heartbeat.reads, rest) = take_from_bytes::<ReadState>(rest)?;
        }
        if !rest.is_empty() {
            (heartbeat.load, _) = take_from_bytes::<GatewayLoad>(rest)?;
        }
    }
    if let Message::Calls(notices) = &mut message
        && !rest.is_empty()
    {
        let (trials, _) = take_from_bytes::<Vec<TrialNotice>>(rest)?;
        for (notice, trials) in notices.iter_mut().zip(trials) {
            notice.trials = trials;
        }
    }
    Ok(message)
}

/// What a gateway knows when it asks another one for an update, as a query string.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyncQuery {
    /// Platform revision up to which its data is complete.
    pub revision: Revision,
    /// Version of its settings, `None` from earlier builds.
    pub settings: Option<u64>,
}

impl SyncQuery {
    /// Parses a query string. What is missing or unreadable is unknown.
    pub fn parse(query: &str) -> Self {
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).and_then(|(_, value)| value.parse().ok())
        };
        let number = field("after").unwrap_or(0);
        let revision = Revision::new(field("era").unwrap_or(0), number);
        Self { revision, settings: field("settings") }
    }
}

impl Display for SyncQuery {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "after={}", self.revision.number)?;
        // Earlier builds read a query with further fields as one for everything.
        if self.revision.era != 0 {
            write!(f, "&era={}", self.revision.era)?;
            if let Some(settings) = self.settings {
                write!(f, "&settings={settings}")?;
            }
        }
        Ok(())
    }
}

/// Answer to a [`SyncQuery`].
#[derive(Clone, Debug, PartialEq)]
pub struct SyncAnswer {
    /// Age of the data of the gateway that answers, `None` if it has none.
    pub age: Option<Duration>,
    /// Era of the data; 0 if the platform names none.
    pub era: u64,
    /// What is later than the asking gateway's data.
    pub update: CatalogUpdate,
    /// Evacuated failure domains, `None` if the gateway that answers knows nothing of them or is of an
    /// earlier build.
    pub evacuations: Option<EvacuationNotice>,
    /// Rates of cold targets, `None` if the gateway that answers does not know them or is of an earlier build.
    pub cold_rates: Option<ColdRates>,
}

impl SyncAnswer {
    /// Encodes the answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = to_extend(&self.era, to_allocvec(&(&self.age, &self.update))?)?;
        let bytes = to_extend(&self.evacuations, bytes)?;
        to_extend(&self.cold_rates, bytes)
    }

    /// Decodes an answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let ((age, update), mut rest) = take_from_bytes(bytes)?;
        let mut answer = Self { age, era: 0, update, evacuations: None, cold_rates: None };
        if !rest.is_empty() {
            (answer.era, rest) = take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (answer.evacuations, rest) = take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (answer.cold_rates, _) = take_from_bytes(rest)?;
        }
        Ok(answer)
    }
}
