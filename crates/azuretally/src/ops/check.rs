//! `check`: checks settings documents with the same code that the entries use.

use crate::core::CliError;
use azuretally_settings::{LocalSettings, PublishedSettings, SettingsError};
use error_stack::{Report, ResultExt};
use std::{fs, path::PathBuf};

/// Checks all files and prints all problems.
///
/// # Errors
///
/// Returns [`CliError::DocumentsRefused`] if a document is refused, [`CliError::ReadFile`] if a
/// file cannot be read.
pub fn check(files: &[PathBuf]) -> Result<(), Report<CliError>> {
    let mut refused = 0;
    for file in files {
        let text =
            fs::read_to_string(file).change_context_lazy(|| CliError::ReadFile(file.clone()))?;
        let source = file.display().to_string();
        match check_document(&source, &text) {
            Ok(summary) => println!("ok: {source}: {summary}"),
            Err(error) => {
                refused += 1;
                eprintln!("{error}");
            }
        }
    }
    match refused {
        0 => Ok(()),
        refused => Err(Report::new(CliError::DocumentsRefused { refused, checked: files.len() })),
    }
}

/// Checks one document as an entry would. Returns a summary of an accepted document.
fn check_document(source: &str, text: &str) -> Result<String, SettingsError> {
    if is_local(text) {
        let local = LocalSettings::parse(source, text)?;
        return Ok(format!("local settings of host `{}`", local.host));
    }
    let published = PublishedSettings::parse(source, text)?;
    Ok(format!(
        "deployment `{}`, preset `{}` in force, {} services, {} entries",
        published.deployment,
        published.preset,
        published.services.len(),
        published.entries
    ))
}

/// Returns whether a document holds local settings: only these have a table `listen`. Looks for the
/// table at the start of each line, without parsing the document.
fn is_local(text: &str) -> bool {
    text.lines().any(|l| l.trim_start().starts_with("[listen]") || l.starts_with("listen"))
}
