//! Where each key of a document stands.

use crate::{Problem, keys};
use indexmap::IndexMap;
use std::ops::Range;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Error},
};

/// One key of the document.
#[derive(Debug)]
struct Place {
    /// The key with names replaced by `*` and list places by `#`, or nothing when not known.
    pattern: Option<String>,
    line: usize,
    span: Range<usize>,
}

/// Keys of one document by their dotted path.
#[derive(Debug)]
pub(crate) struct Outline {
    keys: &'static [&'static str],
    places: IndexMap<String, Place>,
}

impl Outline {
    /// Reads the keys of `text`, or every syntax error in it.
    pub(crate) fn parse(text: &str, keys: &'static [&'static str]) -> Result<Self, Vec<Problem>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(errors.iter().map(|e| syntax(text, e)).collect());
        }
        let mut outline = Self { keys, places: IndexMap::new() };
        let lines = Lines::new(text);
        outline.add_table(&lines, "", Some(""), table.get_ref());
        Ok(outline)
    }

    /// Line of a key, or of its nearest parent that stands in the document.
    pub(crate) fn line(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(place) = self.places.get(path) {
                return Some(place.line);
            }
            path = path.rsplit_once('.')?.0;
        }
    }

    /// The innermost key that covers the byte `offset`.
    pub(crate) fn key_at(&self, offset: usize) -> Option<&str> {
        let covering = self.places.iter().filter(|(_, p)| p.span.contains(&offset));
        covering.min_by_key(|(_, p)| p.span.len()).map(|(path, _)| path.as_str())
    }

    /// One problem for each key that is not known.
    pub(crate) fn unknown(&self) -> Vec<Problem> {
        let unknown = self.places.iter().filter(|(_, p)| p.pattern.is_none());
        unknown
            .filter_map(|(path, _)| {
                let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
                let parent = match parent {
                    "" => "",
                    parent => self.places.get(parent)?.pattern.as_deref()?,
                };
                Some(Problem::new(path, self.unknown_reason(parent, name)))
            })
            .collect()
    }

    fn unknown_reason(&self, parent: &str, name: &str) -> String {
        match keys::similar(self.keys, parent, name) {
            Some(key) => format!("unknown key; did you mean `{key}`, with that unit?"),
            None => "unknown key".to_owned(),
        }
    }

    fn add_table(&mut self, lines: &Lines, path: &str, pattern: Option<&str>, table: &DeTable<'_>) {
        for (key, value) in table {
            let name: &str = key.get_ref();
            let own = pattern.and_then(|p| self.pattern(p, name, "*"));
            let span = key.span().start.min(value.span().start)..value.span().end;
            let place = Place { pattern: own, line: lines.line(key.span().start), span };
            self.add(lines, join(path, name), place, value);
        }
    }

    fn add(&mut self, lines: &Lines, path: String, place: Place, value: &Spanned<DeValue<'_>>) {
        let pattern = place.pattern.clone();
        self.places.insert(path.clone(), place);
        match value.get_ref() {
            DeValue::Table(table) => self.add_table(lines, &path, pattern.as_deref(), table),
            DeValue::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    if !matches!(item.get_ref(), DeValue::Table(_)) {
                        continue;
                    }
                    let own = pattern.as_deref().and_then(|p| self.pattern(p, "#", "#"));
                    let span = item.span();
                    let place = Place { pattern: own, line: lines.line(span.start), span };
                    self.add(lines, join(&path, &i.to_string()), place, item);
                }
            }
            _ => {}
        }
    }

    fn pattern(&self, parent: &str, name: &str, any: &str) -> Option<String> {
        let exact = join(parent, name);
        let any = join(parent, any);
        [exact, any].into_iter().find(|p| self.keys.contains(&p.as_str()))
    }
}

fn join(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") }
}

/// Where each line of a text starts, found once, because a document has thousands of keys.
#[derive(Debug)]
struct Lines {
    starts: Vec<usize>,
}

impl Lines {
    fn new(text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self { starts: std::iter::once(0).chain(breaks.map(|(at, _)| at + 1)).collect() }
    }

    /// Number of the line that holds the byte `offset`, from 1.
    fn line(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }
}

fn syntax(text: &str, error: &Error) -> Problem {
    let mut problem = Problem::new("", error.message());
    problem.line = error.span().map(|s| Lines::new(text).line(s.start));
    problem
}
