//! `azuretally preset` on documents.
#![allow(clippy::unwrap_used)]

use crate::support::azuretally;
use std::{fs, path::PathBuf};
use tempfile::TempDir;

fn copy(name: &str) -> (TempDir, PathBuf) {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("published.toml");
    let source = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::copy(source, &file).unwrap();
    (folder, file)
}

#[test]
fn list_marks_the_preset_in_force() {
    let run = azuretally(&["preset", "list", "--document", "good.toml"]);
    assert_eq!(run.code, Some(0));
    assert_eq!(run.stdout, "* ordinary: urgent, patient\n  peak: urgent, patient\n");
}

#[test]
fn show_gives_the_classes_in_order() {
    let run = azuretally(&["preset", "show", "peak", "--document", "good.toml"]);
    assert_eq!(run.code, Some(0));
    assert_eq!(
        run.stdout,
        "CLASS    TIMEOUT  FLOOR  STILL   OPERATIONS\n\
         urgent   400 ms   0%     -       till.balance till.sale\n\
         patient  2.0 min  5%     20.0 s  reporting.reconcile\n"
    );
}

#[test]
fn use_changes_one_line_and_keeps_the_rest() {
    let (_folder, file) = copy("good.toml");
    let before = fs::read_to_string(&file).unwrap();
    let run = azuretally(&["preset", "use", "peak", "--document", file.to_str().unwrap()]);
    assert_eq!(run.code, Some(0), "{}", run.stderr);
    assert!(run.stdout.contains("preset `peak` in place of `ordinary`"));
    let after = fs::read_to_string(&file).unwrap();
    assert_eq!(after, before.replace("preset = \"ordinary\"", "preset = \"peak\""));
}

#[test]
fn use_leaves_the_document_alone_when_anything_is_wrong() {
    for (name, preset) in [("good.toml", "xmas"), ("contradictions.toml", "peak")] {
        let (_folder, file) = copy(name);
        let before = fs::read_to_string(&file).unwrap();
        let run = azuretally(&["preset", "use", preset, "--document", file.to_str().unwrap()]);
        assert_eq!(run.code, Some(1));
        assert_eq!(fs::read_to_string(&file).unwrap(), before);
    }
}

#[test]
fn a_command_without_entries_says_what_is_missing() {
    let run = azuretally(&["status"]);
    assert_eq!(run.code, Some(2));
    assert_eq!(run.stderr, "error: no entry is named; `--entry ADDR` names one\n");
}
