//! Positions of the keys in the text of a document.

use crate::{Problem, keys};
use indexmap::IndexMap;
use std::ops::Range;
use toml::{
    Spanned,
    de::{DeTable, DeValue, Error},
};

/// Position of one key.
#[derive(Debug)]
struct KeyPosition {
    /// The known key that matches, with `*` for names and `#` for list positions. `None` for an
    /// unknown key.
    pattern: Option<String>,
    /// Line of the key, from 1.
    line: usize,
    /// Byte range of the key and its value.
    span: Range<usize>,
}

/// Positions of all keys of one document, by dotted path.
#[derive(Debug)]
pub(crate) struct KeyIndex {
    keys: &'static [&'static str],
    positions: IndexMap<String, KeyPosition>,
}

impl KeyIndex {
    /// Indexes the keys of `text`, or returns all of its syntax errors.
    pub(crate) fn parse(text: &str, keys: &'static [&'static str]) -> Result<Self, Vec<Problem>> {
        let (table, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return Err(errors.iter().map(|e| syntax_problem(text, e)).collect());
        }
        let mut index = Self { keys, positions: IndexMap::new() };
        let lines = LineIndex::new(text);
        index.insert_table(&lines, "", Some(""), table.get_ref());
        Ok(index)
    }

    /// Returns the line of a key, or of its nearest parent that is in the document.
    pub(crate) fn line(&self, path: &str) -> Option<usize> {
        let mut path = path;
        loop {
            if let Some(position) = self.positions.get(path) {
                return Some(position.line);
            }
            path = path.rsplit_once('.')?.0;
        }
    }

    /// Returns the innermost key whose range contains the byte `offset`.
    pub(crate) fn key_at(&self, offset: usize) -> Option<&str> {
        let covering = self.positions.iter().filter(|(_, p)| p.span.contains(&offset));
        covering.min_by_key(|(_, p)| p.span.len()).map(|(path, _)| path.as_str())
    }

    /// Returns one problem for each unknown key. Keys below an unknown key are skipped.
    pub(crate) fn unknown_keys(&self) -> Vec<Problem> {
        let unknown = self.positions.iter().filter(|(_, p)| p.pattern.is_none());
        unknown
            .filter_map(|(path, _)| {
                let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
                let parent = match parent {
                    "" => "",
                    parent => self.positions.get(parent)?.pattern.as_deref()?,
                };
                Some(Problem::new(path, self.unknown_key_reason(parent, name)))
            })
            .collect()
    }

    fn unknown_key_reason(&self, parent: &str, name: &str) -> String {
        match keys::similar(self.keys, parent, name) {
            Some(key) => format!("unknown key; did you mean `{key}`, with that unit?"),
            None => "unknown key".to_owned(),
        }
    }

    fn insert_table(
        &mut self,
        lines: &LineIndex,
        path: &str,
        parent_pattern: Option<&str>,
        table: &DeTable<'_>,
    ) {
        for (key, value) in table {
            let name: &str = key.get_ref();
            let pattern = parent_pattern.and_then(|p| self.find_pattern(p, name, "*"));
            let span = key.span().start.min(value.span().start)..value.span().end;
            let position = KeyPosition { pattern, line: lines.line(key.span().start), span };
            self.insert(lines, join_path(path, name), position, value);
        }
    }

    fn insert(
        &mut self,
        lines: &LineIndex,
        path: String,
        position: KeyPosition,
        value: &Spanned<DeValue<'_>>,
    ) {
        let parent_pattern = position.pattern.clone();
        self.positions.insert(path.clone(), position);
        match value.get_ref() {
            DeValue::Table(table) => {
                self.insert_table(lines, &path, parent_pattern.as_deref(), table)
            }
            DeValue::Array(items) => {
                for (i, item) in items.iter().enumerate() {
                    if !matches!(item.get_ref(), DeValue::Table(_)) {
                        continue;
                    }
                    let pattern =
                        parent_pattern.as_deref().and_then(|p| self.find_pattern(p, "#", "#"));
                    let span = item.span();
                    let position = KeyPosition { pattern, line: lines.line(span.start), span };
                    self.insert(lines, join_path(&path, &i.to_string()), position, item);
                }
            }
            _ => {}
        }
    }

    fn find_pattern(&self, parent: &str, name: &str, wildcard: &str) -> Option<String> {
        let exact = join_path(parent, name);
        let wildcard = join_path(parent, wildcard);
        [exact, wildcard].into_iter().find(|p| self.keys.contains(&p.as_str()))
    }
}

fn join_path(parent: &str, name: &str) -> String {
    if parent.is_empty() { name.to_owned() } else { format!("{parent}.{name}") }
}

/// Byte offset of the start of each line, computed once because a document has thousands of keys.
#[derive(Debug)]
struct LineIndex {
    starts: Vec<usize>,
}

impl LineIndex {
    fn new(text: &str) -> Self {
        let newlines = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        Self { starts: std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1)).collect() }
    }

    /// Returns the number, from 1, of the line that contains the byte `offset`.
    fn line(&self, offset: usize) -> usize {
        self.starts.partition_point(|start| *start <= offset)
    }
}

fn syntax_problem(text: &str, error: &Error) -> Problem {
    let mut problem = Problem::new("", error.message());
    problem.line = error.span().map(|s| LineIndex::new(text).line(s.start));
    problem
}
