//! End-to-end tests of `azuretally-audit`.
#![allow(clippy::unwrap_used)]

use azuretally_api::{
    admin::CallCounts,
    record::{CallRecord, ClassRecord, Outcome, RecordEntry, SettingsRecord},
};
use azuretally_policy::record::HashChain;
use std::{fs, process::Command};
use tempfile::TempDir;

fn call(class: &str, key: &str, arrival_us: u64, dispatch_us: u64) -> RecordEntry {
    RecordEntry::Call(Box::new(CallRecord {
        revision: 3,
        era: None,
        service: "till".to_owned(),
        operation: "sale".to_owned(),
        class: class.to_owned(),
        caller: "kiosk-1".to_owned(),
        key: Some(key.to_owned()),
        arrival_us,
        deadline_us: arrival_us + 500_000,
        dispatch_us: Some(dispatch_us),
        end_us: dispatch_us + 6_000,
        target: Some("target-1".to_owned()),
        peer: None,
        attempts: 1,
        outcome: Outcome::Answered,
        reason: None,
    }))
}

fn record() -> Vec<String> {
    let class = |name: &str| ClassRecord {
        name: name.to_owned(),
        timeout_ms: 500,
        floor_percent: 0.0,
        still_ms: None,
    };
    let classes = vec![class("urgent"), class("patient")];
    let preset = "ordinary".to_owned();
    let counts = CallCounts { taken: 2, answered: 2, in_time: 2, ..CallCounts::default() };
    let entries = [
        RecordEntry::Start { failure_domain: "a".to_owned() },
        RecordEntry::Settings(SettingsRecord { revision: 3, era: None, preset, classes }),
        call("urgent", "sale-1", 0, 90_000),
        call("patient", "sale-2", 100_000, 100_500),
        RecordEntry::End(counts),
    ];
    let mut chain = HashChain::new("entry-1", "00ff");
    entries.map(|e| serde_json::to_string(&chain.append(e)).unwrap()).to_vec()
}

/// Runs the program on a file with `lines`. Each option in `options` with a text gets the name of a
/// file with that text as its value. Returns the exit code and the standard output.
fn audit(lines: &[String], options: &[(&str, &str)]) -> (Option<i32>, String) {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join("record"), lines.join("\n") + "\n").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_azuretally-audit"));
    command.current_dir(&folder).arg("record");
    for (option, text) in options {
        command.arg(option);
        if !text.is_empty() {
            fs::write(folder.path().join("extra"), text).unwrap();
            command.arg("extra");
        }
    }
    let output = command.output().unwrap();
    (output.status.code(), String::from_utf8(output.stdout).unwrap())
}

/// Summary line for a complete record.
const SUMMARY: &str = "5 lines of 1 incarnations: 2 calls = 2 answered + 0 not run + 0 unknown\n";

#[test]
fn a_complete_record_passes() {
    let runs = r#"{"runs": {"sale-1": 1, "sale-2": 1}}"#;
    let (code, out) = audit(&record(), &[("--runs", runs), ("--complete", "")]);
    assert_eq!((code, out), (Some(0), format!("{SUMMARY}ok: no breach\n")));
}

#[test]
fn a_changed_line_is_reported() {
    let mut lines = record();
    lines[2] = lines[2].replace("kiosk-1", "kiosk-2");
    let (code, out) = audit(&lines, &[]);
    let breach = "breach: record:3: the line was changed: its hash does not match\n";
    assert_eq!((code, out), (Some(1), format!("{breach}{SUMMARY}failed: 1 breaches\n")));
}

#[test]
fn a_dropped_line_is_reported() {
    let mut lines = record();
    lines.remove(3);
    let (code, out) = audit(&lines, &[]);
    assert_eq!(code, Some(1));
    assert!(out.starts_with(
        "breach: record:4: lines 4 to 4 are missing\n\
         breach: record:4: 2 calls counted as answered, but 1 have a line\n"
    ));
}

#[test]
fn swapped_lines_are_reported() {
    let mut lines = record();
    lines.swap(2, 3);
    let (code, out) = audit(&lines, &[]);
    assert_eq!(code, Some(1));
    assert!(out.contains("breach: record:3: lines 3 to 3 are missing\n"), "{out}");
    assert!(out.contains("breach: record:4: found line 3, expected line 5\n"), "{out}");
}

#[test]
fn a_missing_end_is_a_breach_only_with_complete() {
    let lines = record();
    let (code, out) = audit(&lines[..4], &[]);
    assert_eq!(code, Some(0));
    assert!(out.starts_with("open: record:4: no end after line 4"), "{out}");
    let (code, out) = audit(&lines[..4], &[("--complete", "")]);
    assert_eq!(code, Some(1));
    assert!(out.starts_with("breach: record:4: no end after line 4"), "{out}");
}

#[test]
fn runs_that_differ_from_the_record_are_reported() {
    let runs = r#"{"runs": {"sale-1": 2}}"#;
    let (code, out) = audit(&record(), &[("--runs", runs)]);
    assert_eq!(code, Some(1));
    assert!(out.contains("record:3: targets counted 2 runs of key `sale-1`, at most 1 is allowed"));
    assert!(
        out.contains("record:4: recorded as answered, but no target counted a run of key `sale-2`")
    );
}

#[test]
fn a_command_line_without_sources_is_rejected() {
    let output = Command::new(env!("CARGO_BIN_EXE_azuretally-audit")).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
}
