//! `preset`: shows presets and selects one in a document.

use crate::{
    core::{CliError, Context, Entries, split_responses},
    util::{table::Table, text},
};
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use std::{
    fs,
    path::{Path, PathBuf},
};
use toml_edit::{DocumentMut, value};

/// Prints the presets of a document and the active preset of each entry.
///
/// # Errors
///
/// Returns [`CliError::InvalidDocument`] if the document is refused, [`CliError::NoEntryGiven`] if
/// neither a document nor an entry is given, [`CliError::NoResponse`] if an entry did not return a
/// valid response.
pub fn preset_list(context: &Context, document: Option<&Path>) -> Result<(), Report<CliError>> {
    if let Some(file) = document {
        let published = read_document(file)?;
        for (name, preset) in &published.presets {
            let mark = if *name == published.preset { "*" } else { " " };
            let classes: Vec<&str> = preset.classes.iter().map(|c| &*c.name).collect();
            println!("{mark} {name}: {}", classes.join(", "));
        }
        if context.entries.is_empty() {
            return Ok(());
        }
    }
    let (responses, failed) = split_responses(Entries::new(context)?.status());
    let mut table = Table::new(&["HOST", "PRESET", "REVISION", "SINCE", "STATE"]);
    for (_, status) in responses {
        let active_for = text::duration(status.in_force_ms);
        let revision = status.revision.to_string();
        table.add(vec![status.host, status.preset, revision, active_for, status.state]);
    }
    print!("{table}");
    match failed {
        0 => Ok(()),
        failed => Err(Report::new(CliError::NoResponse(failed))),
    }
}

/// Prints the classes of one preset, highest priority first.
///
/// # Errors
///
/// Returns [`CliError::UnknownPreset`] if the document has no such preset,
/// [`CliError::InvalidDocument`] if the document is refused.
pub fn preset_show(name: &str, file: &Path) -> Result<(), Report<CliError>> {
    let published = read_document(file)?;
    let preset = published.presets.get(name).ok_or_else(|| unknown_preset(name, file))?;
    let mut table = Table::new(&["CLASS", "TIMEOUT", "FLOOR", "STILL", "OPERATIONS"]);
    for class in &preset.classes {
        let operations: Vec<&str> = class.operations.iter().map(|o| &**o).collect();
        table.add(vec![
            class.name.to_string(),
            text::duration(class.timeout_ms.into()),
            format!("{}%", class.floor_percent),
            class.still_ms.map_or_else(|| "-".to_owned(), |ms| text::duration(ms.into())),
            operations.join(" "),
        ]);
    }
    print!("{table}");
    Ok(())
}

/// Selects a preset in the operators' copy of the published document. Comments and formatting are
/// preserved. The changed document is checked before it replaces the old one.
///
/// # Errors
///
/// Returns [`CliError::UnknownPreset`] if the document has no such preset,
/// [`CliError::InvalidDocument`] if the document is refused, [`CliError::WriteFile`] if it cannot
/// be replaced.
pub fn preset_use(name: &str, file: &Path) -> Result<(), Report<CliError>> {
    let published = read_document(file)?;
    if !published.presets.contains_key(name) {
        return Err(unknown_preset(name, file));
    }
    let text = read_text(file)?;
    let mut document: DocumentMut =
        text.parse().change_context_lazy(|| CliError::Syntax(file.to_owned()))?;
    if let Some(item) = document.get_mut("preset").and_then(|i| i.as_value_mut()) {
        let decor = item.decor().clone();
        *item = name.into();
        *item.decor_mut() = decor;
    } else {
        document["preset"] = value(name);
    }
    let text = document.to_string();
    parse_document(file, &text)?;
    replace_file(file, &text)?;
    println!(
        "ok: `{}`: preset `{name}` in place of `{}`; publish the document to activate it",
        file.display(),
        published.preset
    );
    Ok(())
}

fn read_document(file: &Path) -> Result<PublishedSettings, Report<CliError>> {
    parse_document(file, &read_text(file)?)
}

fn parse_document(file: &Path, text: &str) -> Result<PublishedSettings, Report<CliError>> {
    PublishedSettings::parse(&file.display().to_string(), text)
        .change_context_lazy(|| CliError::InvalidDocument(file.to_owned()))
}

fn read_text(file: &Path) -> Result<String, Report<CliError>> {
    fs::read_to_string(file).change_context_lazy(|| CliError::ReadFile(file.to_owned()))
}

/// Replaces the file through a temporary file and a rename, so that it is never left half written.
fn replace_file(file: &Path, text: &str) -> Result<(), Report<CliError>> {
    let write_error = || CliError::WriteFile(file.to_owned());
    let mut temporary: PathBuf = file.to_owned();
    temporary.as_mut_os_string().push(".new");
    fs::write(&temporary, text).change_context_lazy(write_error)?;
    fs::rename(&temporary, file).change_context_lazy(write_error)
}

fn unknown_preset(name: &str, file: &Path) -> Report<CliError> {
    Report::new(CliError::UnknownPreset { name: name.to_owned(), file: file.to_owned() })
}
