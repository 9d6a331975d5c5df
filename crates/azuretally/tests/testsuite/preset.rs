//! Tests of `azuretally preset` on documents, and of `azuretally status` without entries.
#![allow(clippy::unwrap_used)]

use crate::support::azuretally;
use std::{fs, path::PathBuf};
use tempfile::TempDir;

fn copy_fixture(name: &str) -> (TempDir, PathBuf) {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("published.toml");
    let source = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    fs::copy(source, &file).unwrap();
    (folder, file)
}

#[test]
fn list_marks_the_active_preset() {
    let run = azuretally(&["preset", "list", "--document", "good.toml"]);
    assert_eq!(run.code, Some(0));
    assert_eq!(run.stdout, "* ordinary: urgent, patient\n  peak: urgent, patient\n");
}

#[test]
fn show_prints_the_classes_in_order() {
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
fn use_changes_only_the_preset_line() {
    let (_folder, file) = copy_fixture("good.toml");
    let before = fs::read_to_string(&file).unwrap();
    let run = azuretally(&["preset", "use", "peak", "--document", file.to_str().unwrap()]);
    assert_eq!(run.code, Some(0), "{}", run.stderr);
    assert!(run.stdout.contains("preset `peak` in place of `ordinary`"));
    let after = fs::read_to_string(&file).unwrap();
    assert_eq!(after, before.replace("preset = \"ordinary\"", "preset = \"peak\""));
}

#[test]
fn use_keeps_the_document_on_errors() {
    for (name, preset) in [("good.toml", "xmas"), ("contradictions.toml", "peak")] {
        let (_folder, file) = copy_fixture(name);
        let before = fs::read_to_string(&file).unwrap();
        let run = azuretally(&["preset", "use", preset, "--document", file.to_str().unwrap()]);
        assert_eq!(run.code, Some(1));
        assert_eq!(fs::read_to_string(&file).unwrap(), before);
    }
}

#[test]
fn status_without_entries_is_a_usage_error() {
    let run = azuretally(&["status"]);
    assert_eq!(run.code, Some(2));
    assert_eq!(run.stderr, "error: no entry given; use `--entry ADDR`\n");
}
