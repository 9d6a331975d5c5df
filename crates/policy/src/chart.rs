//! State charts that are kept in files.
//!
//! A chart is a TOML file with an initial state and, for each state, the state to which each event
//! leads. Code binds a chart to an enum of states and one of events; binding refuses names that
//! either side does not know and states that cannot be reached. The pictures in the documentation
//! are made from the same files.

use indexmap::{IndexMap, IndexSet};
use serde::Deserialize;
use std::{error::Error, fmt, fmt::Write, marker::PhantomData};

/// An enum whose values have names in a chart.
pub trait Label: Copy + PartialEq + 'static {
    /// Every value.
    const ALL: &'static [Self];

    /// Name in the chart.
    fn label(self) -> &'static str;
}

/// Why a chart was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChartError {
    /// Not TOML, or not of the form of a chart.
    Syntax(String),
    /// The code has no such state.
    UnknownState(String),
    /// The code has no such event.
    UnknownEvent(String),
    /// The chart lacks a state of the code.
    MissingState(&'static str),
    /// No transition uses the event of the code.
    UnusedEvent(&'static str),
    /// No path leads to the state.
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
struct Source {
    title: String,
    initial: String,
    states: IndexMap<String, IndexMap<String, String>>,
}

/// A chart bound to the states and events of the code.
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
    /// Parses a chart and binds it.
    ///
    /// # Errors
    ///
    /// [`ChartError`] when chart and code do not fit each other.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let source: Source =
            toml::from_str(text).map_err(|e| ChartError::Syntax(e.message().to_owned()))?;
        let mut transitions = Vec::new();
        for (from, events) in &source.states {
            let from = state(from)?;
            for (name, to) in events {
                transitions.push((from, event(name)?, state(to)?));
            }
        }
        for s in State::ALL {
            if !source.states.contains_key(s.label()) {
                return Err(ChartError::MissingState(s.label()));
            }
        }
        let initial = state(&source.initial)?;
        let chart = Self { title: source.title, initial, transitions, events: PhantomData };
        chart.check()?;
        Ok(chart)
    }

    /// State to begin with.
    pub fn initial(&self) -> State {
        self.initial
    }

    /// State after `event` in `state`, which is `state` itself when the chart names no other.
    pub fn next(&self, state: State, event: Event) -> State {
        self.transitions
            .iter()
            .find(|(from, on, _)| *from == state && *on == event)
            .map_or(state, |(_, _, to)| *to)
    }

    /// The chart as a Mermaid diagram.
    pub fn mermaid(&self) -> String {
        let mut text = format!("stateDiagram-v2\n    %% {}\n", self.title);
        let _ = writeln!(text, "    [*] --> {}", self.initial.label());
        for (from, event, to) in &self.transitions {
            let _ = writeln!(text, "    {} --> {}: {}", from.label(), to.label(), event.label());
        }
        text
    }

    fn check(&self) -> Result<(), ChartError> {
        for e in Event::ALL {
            if !self.transitions.iter().any(|(_, on, _)| on == e) {
                return Err(ChartError::UnusedEvent(e.label()));
            }
        }
        let reached = self.reached();
        match State::ALL.iter().find(|s| !reached.contains(s.label())) {
            Some(s) => Err(ChartError::Unreachable(s.label())),
            None => Ok(()),
        }
    }

    fn reached(&self) -> IndexSet<&'static str> {
        let mut reached = IndexSet::from([self.initial.label()]);
        let mut next = 0;
        while let Some(label) = reached.get_index(next).copied() {
            let to = self.transitions.iter().filter(|(from, _, _)| from.label() == label);
            reached.extend(to.map(|(_, _, to)| to.label()).collect::<Vec<_>>());
            next += 1;
        }
        reached
    }
}

fn state<State>(name: &str) -> Result<State, ChartError>
where
    State: Label,
{
    find(name).ok_or_else(|| ChartError::UnknownState(name.to_owned()))
}

fn event<Event>(name: &str) -> Result<Event, ChartError>
where
    Event: Label,
{
    find(name).ok_or_else(|| ChartError::UnknownEvent(name.to_owned()))
}

fn find<Value>(name: &str) -> Option<Value>
where
    Value: Label,
{
    Value::ALL.iter().copied().find(|v| v.label() == name)
}
