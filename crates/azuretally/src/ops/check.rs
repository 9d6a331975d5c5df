//! Checks documents with the function that the daemon uses.

use crate::core::CliError;
use azuretally_settings::{LocalSettings, PublishedSettings, SettingsError};
use error_stack::{Report, ResultExt};
use std::{fs, path::PathBuf};

/// Checks every file and prints every problem.
///
/// # Errors
///
/// [`CliError::Refused`] when a document is refused, [`CliError::ReadFile`] when one can't be read.
pub fn check(files: &[PathBuf]) -> Result<(), Report<CliError>> {
    let mut refused = 0;
    for file in files {
        let text =
            fs::read_to_string(file).change_context_lazy(|| CliError::ReadFile(file.clone()))?;
        let source = file.display().to_string();
        match verdict(&source, &text) {
            Ok(kind) => println!("ok: {source}: {kind}"),
            Err(error) => {
                refused += 1;
                eprintln!("{error}");
            }
        }
    }
    match refused {
        0 => Ok(()),
        refused => Err(Report::new(CliError::Refused { refused, checked: files.len() })),
    }
}

/// The daemon's verdict on one document, and a short description of an accepted one.
fn verdict(source: &str, text: &str) -> Result<String, SettingsError> {
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

/// Only local settings have a table `listen`.
fn is_local(text: &str) -> bool {
    text.lines().any(|l| l.trim_start().starts_with("[listen]") || l.starts_with("listen"))
}
