//! Shows presets, and puts one in force in a document.

use crate::{
    core::{CliError, Context, Entries, split},
    util::{table::Table, text},
};
use azuretally_settings::PublishedSettings;
use error_stack::{Report, ResultExt};
use std::{
    fs,
    path::{Path, PathBuf},
};
use toml_edit::{DocumentMut, value};

/// Prints the presets of a document, and which one is in force at each entry.
///
/// # Errors
///
/// [`CliError::Rejected`] when the document is refused, [`CliError::NoEntry`] when neither a
/// document nor an entry is named.
pub fn preset_list(context: &Context, document: Option<&Path>) -> Result<(), Report<CliError>> {
    if let Some(file) = document {
        let published = read(file)?;
        for (name, preset) in &published.presets {
            let mark = if *name == published.preset { "*" } else { " " };
            let classes: Vec<&str> = preset.classes.iter().map(|c| &*c.name).collect();
            println!("{mark} {name}: {}", classes.join(", "));
        }
        if context.entries.is_empty() {
            return Ok(());
        }
    }
    let (answers, silent) = split(Entries::new(context)?.status());
    let mut table = Table::new(&["HOST", "PRESET", "REVISION", "SINCE", "STATE"]);
    for (_, status) in answers {
        let since = text::duration(status.in_force_ms);
        let revision = status.revision.to_string();
        table.add(vec![status.host, status.preset, revision, since, status.state]);
    }
    print!("{table}");
    match silent {
        0 => Ok(()),
        silent => Err(Report::new(CliError::Silent(silent))),
    }
}

/// Prints the classes of one preset, the first one served first.
///
/// # Errors
///
/// [`CliError::NoPreset`] when the document has no such preset.
pub fn preset_show(name: &str, file: &Path) -> Result<(), Report<CliError>> {
    let published = read(file)?;
    let preset = published.presets.get(name).ok_or_else(|| no_preset(name, file))?;
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

/// Puts a preset in force in the operators' copy of the published document. The rest of the text
/// stays as it is. The changed document is checked before it takes the place of the old one.
///
/// # Errors
///
/// [`CliError::NoPreset`] when the document has no such preset, [`CliError::Rejected`] when the
/// document is refused.
pub fn preset_use(name: &str, file: &Path) -> Result<(), Report<CliError>> {
    let published = read(file)?;
    if !published.presets.contains_key(name) {
        return Err(no_preset(name, file));
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
    parse(file, &text)?;
    write(file, &text)?;
    println!(
        "ok: `{}`: preset `{name}` in place of `{}`; publish the document to put it in force",
        file.display(),
        published.preset
    );
    Ok(())
}

fn read(file: &Path) -> Result<PublishedSettings, Report<CliError>> {
    parse(file, &read_text(file)?)
}

fn parse(file: &Path, text: &str) -> Result<PublishedSettings, Report<CliError>> {
    PublishedSettings::parse(&file.display().to_string(), text)
        .change_context_lazy(|| CliError::Rejected(file.to_owned()))
}

fn read_text(file: &Path) -> Result<String, Report<CliError>> {
    fs::read_to_string(file).change_context_lazy(|| CliError::ReadFile(file.to_owned()))
}

/// Writes a new file beside the old one, then takes its place, so that no half document stays.
fn write(file: &Path, text: &str) -> Result<(), Report<CliError>> {
    let failed = || CliError::WriteFile(file.to_owned());
    let mut new: PathBuf = file.to_owned();
    new.as_mut_os_string().push(".new");
    fs::write(&new, text).change_context_lazy(failed)?;
    fs::rename(&new, file).change_context_lazy(failed)
}

fn no_preset(name: &str, file: &Path) -> Report<CliError> {
    Report::new(CliError::NoPreset { name: name.to_owned(), file: file.to_owned() })
}
