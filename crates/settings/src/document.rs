//! Parsing and checking shared by both kinds of settings document.

use crate::{Problem, SettingsError, key_index::KeyIndex};
use serde::de::DeserializeOwned;

/// Maximum size of a document, which is the platform's limit for one value.
pub(crate) const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// A kind of settings document.
pub(crate) trait Document: DeserializeOwned {
    /// All keys that the document may contain.
    const KEYS: &'static [&'static str];

    /// Returns all invalid values and contradictions in the document.
    fn problems(&self) -> Vec<Problem>;
}

/// Parses and checks `text`. `source` names its origin in errors.
pub(crate) fn parse<D>(source: &str, text: &str) -> Result<D, SettingsError>
where
    D: Document,
{
    check(text).map_err(|problems| SettingsError { source: source.to_owned(), problems })
}

fn check<D>(text: &str) -> Result<D, Vec<Problem>>
where
    D: Document,
{
    if text.len() > MAX_DOCUMENT_BYTES {
        let reason = format!("{} bytes long, at most {MAX_DOCUMENT_BYTES} are allowed", text.len());
        return Err(vec![Problem::new("", reason)]);
    }
    let key_index = KeyIndex::parse(text, D::KEYS)?;
    let mut problems = key_index.unknown_keys();
    match toml::from_str::<D>(text) {
        Ok(document) => {
            problems.extend(document.problems());
            if problems.is_empty() {
                return Ok(document);
            }
        }
        Err(error) => problems.extend(type_problem(&key_index, text, &error)),
    }
    for problem in &mut problems {
        problem.line = problem.line.or_else(|| key_index.line(&problem.path));
    }
    problems.sort_by_key(|p| p.line);
    Err(problems)
}

/// Reports a missing key or a value of the wrong type. Returns `None` for unknown keys, which the
/// index reports.
fn type_problem(key_index: &KeyIndex, text: &str, error: &toml::de::Error) -> Option<Problem> {
    if error.message().starts_with("unknown field") {
        return None;
    }
    let offset = error.span().map(|s| s.start);
    let path = offset.and_then(|o| key_index.key_at(o)).unwrap_or_default();
    let mut problem = Problem::new(path, error.message());
    problem.line = offset.map(|o| text[..o].matches('\n').count() + 1);
    Some(problem)
}
