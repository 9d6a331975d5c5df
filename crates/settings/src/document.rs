//! The steps that both kinds of document go through.

use crate::{Problem, SettingsError, outline::Outline};
use serde::de::DeserializeOwned;

/// Longest document, in bytes: what the platform holds as one value.
pub(crate) const DOCUMENT_MAX_BYTES: usize = 1_000_000;

/// A document whose parts can be checked against each other.
pub(crate) trait Document: DeserializeOwned {
    /// Every key that may stand in the document.
    const KEYS: &'static [&'static str];

    /// Every contradiction in the document.
    fn problems(&self) -> Vec<Problem>;
}

/// Parses and checks `text`, which came from `source`.
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
    if text.len() > DOCUMENT_MAX_BYTES {
        let reason = format!("{} bytes long, at most {DOCUMENT_MAX_BYTES} are allowed", text.len());
        return Err(vec![Problem::new("", reason)]);
    }
    let outline = Outline::parse(text, D::KEYS)?;
    let mut problems = outline.unknown();
    match toml::from_str::<D>(text) {
        Ok(document) => {
            problems.extend(document.problems());
            if problems.is_empty() {
                return Ok(document);
            }
        }
        Err(error) => problems.extend(type_problem(&outline, text, &error)),
    }
    for problem in &mut problems {
        problem.line = problem.line.or_else(|| outline.line(&problem.path));
    }
    problems.sort_by_key(|p| p.line);
    Err(problems)
}

/// Names the key whose value has the wrong type or that is missing. Unknown keys were found before.
fn type_problem(outline: &Outline, text: &str, error: &toml::de::Error) -> Option<Problem> {
    if error.message().starts_with("unknown field") {
        return None;
    }
    let offset = error.span().map(|s| s.start);
    let path = offset.and_then(|o| outline.key_at(o)).unwrap_or_default();
    let mut problem = Problem::new(path, error.message());
    problem.line = offset.map(|o| text[..o].matches('\n').count() + 1);
    Some(problem)
}
