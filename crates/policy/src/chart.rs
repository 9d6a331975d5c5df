//! State machines defined by TOML state charts.
//!
//! A chart names an initial state and, for each state, the state to which each event leads.
//! [`Chart::parse`] binds a chart to an enum of states and an enum of events. It returns an error
//! if either side has a name that the other lacks, or if a state is unreachable. The diagrams in
//! the documentation are generated from the same files.

use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use std::{error::Error, fmt, fmt::Write, marker::PhantomData};

/// An enum whose variants have names in a chart.
pub trait Label: Copy + PartialEq + 'static {
    /// Every variant.
    const ALL: &'static [Self];

    /// Returns the name in the chart.
    fn label(self) -> &'static str;
}

/// Error of [`Chart::parse`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChartError {
    /// The text is not valid TOML or does not have the structure of a chart.
    Syntax(String),
    /// The chart has a state that the enum lacks.
    UnknownState(String),
    /// The chart has an event that the enum lacks.
    UnknownEvent(String),
    /// The enum has a state that the chart lacks.
    MissingState(&'static str),
    /// No transition of the chart uses the event.
    UnusedEvent(&'static str),
    /// The state cannot be reached from the initial state.
    Unreachable(&'static str),
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax(reason) => write!(f, "the chart is malformed: {reason}"),
            Self::UnknownState(name) => write!(f, "the code has no state `{name}`"),
            Self::UnknownEvent(name) => write!(f, "the code has no event `{name}`"),
            Self::MissingState(name) => write!(f, "the chart has no state `{name}`"),
            Self::UnusedEvent(name) => write!(f, "the chart does not use the event `{name}`"),
            Self::Unreachable(name) => write!(f, "no path leads to the state `{name}`"),
        }
    }
}

impl Error for ChartError {}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    title: String,
    initial: String,
    states: IndexMap<String, IndexMap<String, String>>,
}

/// A state chart bound to an enum of states and an enum of events.
#[derive(Clone, Debug)]
pub struct Chart<State, Event> {
    title: String,
    initial: State,
    transitions: Vec<(State, Event, State)>,
    events: PhantomData<Event>,
}

impl<State, Event> Chart<State, Event>
where
    State: Label,
    Event: Label,
{
    /// Parses a chart and checks it against the two enums.
    ///
    /// # Errors
    ///
    /// [`ChartError`] if the text is malformed or does not match the enums.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let file: ChartFile =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.message().to_owned()))?;
        let mut transitions = Vec::new();
        for (from, events) in &file.states {
            let from = parse_state(from)?;
            for (name, to) in events {
                transitions.push((from, parse_event(name)?, parse_state(to)?));
            }
        }
        for s in State::ALL {
            if !file.states.contains_key(s.label()) {
                return Err(ChartError::MissingState(s.label()));
            }
        }
        let initial = parse_state(&file.initial)?;
        let chart = Self { title: file.title, initial, transitions, events: PhantomData };
        chart.validate()?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// Returns the state to which `event` leads from `state`, or `state` itself if the chart has no
    /// such transition.
    pub fn next(&self, state: State, event: Event) -> State {
        self.transitions
            .iter()
            .find(|(from, on, _)| *from == state && *on == event)
            .map_or(state, |(_, _, to)| *to)
    }

    /// Renders the chart as a Mermaid diagram.
    pub fn mermaid(&self) -> String {
        let mut text = format!("stateDiagram-v2\n    %% {}\n", self.title);
        let _ = writeln!(text, "    [*] --> {}", self.initial.label());
        for (from, event, to) in &self.transitions {
            let _ = writeln!(text, "    {} --> {}: {}", from.label(), to.label(), event.label());
        }
        text
    }

    fn validate(&self) -> Result<(), ChartError> {
        for e in Event::ALL {
            if !self.transitions.iter().any(|(_, on, _)| on == e) {
                return Err(ChartError::UnusedEvent(e.label()));
            }
        }
        let reachable = self.reachable_states();
        match State::ALL.iter().find(|s| !reachable.contains(s.label())) {
            Some(s) => Err(ChartError::Unreachable(s.label())),
            None => Ok(()),
        }
    }

    fn reachable_states(&self) -> IndexSet<&'static str> {
        let mut reachable = IndexSet::from([self.initial.label()]);
        let mut next = 0;
        while let Some(label) = reachable.get_index(next).copied() {
            let to = self.transitions.iter().filter(|(from, _, _)| from.label() == label);
            reachable.extend(to.map(|(_, _, to)| to.label()).collect::<Vec<_>>());
            next += 1;
        }
        reachable
    }
}

fn parse_state<State>(name: &str) -> Result<State, ChartError>
where
    State: Label,
{
    find_label(name).ok_or_else(|| ChartError::UnknownState(name.to_owned()))
}

fn parse_event<Event>(name: &str) -> Result<Event, ChartError>
where
    Event: Label,
{
    find_label(name).ok_or_else(|| ChartError::UnknownEvent(name.to_owned()))
}

fn find_label<Value>(name: &str) -> Option<Value>
where
    Value: Label,
{
    Value::ALL.iter().copied().find(|v| v.label() == name)
}
