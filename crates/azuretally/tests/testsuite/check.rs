//! Tests of `azuretally check`.

use crate::support::azuretally;

#[track_caller]
fn assert_refused(file: &str, problems: &str) {
    let run = azuretally(&["check", file]);
    assert_eq!(run.code, Some(1));
    assert_eq!(run.stdout, "");
    assert_eq!(run.stderr, format!("{problems}error: 1 of 1 documents refused\n"));
}

#[test]
fn valid_document_is_accepted() {
    let run = azuretally(&["check", "good.toml"]);
    assert_eq!(run.code, Some(0));
    assert_eq!(
        run.stdout,
        "ok: good.toml: deployment `spaza-link`, preset `ordinary` in force, 2 services, \
         16 entries\n"
    );
    assert_eq!(run.stderr, "");
}

#[test]
fn all_unknown_keys_are_reported() {
    assert_refused(
        "unknown_keys.toml",
        "unknown_keys.toml:12: services.till.colour: unknown key\n\
         unknown_keys.toml:43: presets.ordinary.classes.0.timeout_s: unknown key; did you mean \
         `timeout_ms`, with that unit?\n",
    );
}

#[test]
fn value_with_a_unit_is_reported() {
    assert_refused(
        "wrong_unit.toml",
        "wrong_unit.toml:42: presets.ordinary.classes.0.timeout_ms: invalid type: string \
         \"500 ms\", expected u32\n",
    );
}

#[test]
fn all_contradictions_are_reported() {
    assert_refused(
        "contradictions.toml",
        "contradictions.toml:6: measuring.target_ms_per_s: 4001 ms/s is more than one target of \
         every service has (2000 ms/s)\n\
         contradictions.toml:10: services.till.path: `/till` is the path of service `reporting` \
         too\n\
         contradictions.toml:11: services.till.slots: 0 is not between 1 and 65536\n\
         contradictions.toml:13: services.till.entry_set: 17 is more than the 16 entries\n\
         contradictions.toml:39: presets.ordinary.classes: the floors sum up to 110%, at most \
         100% can be given away\n\
         contradictions.toml:48: presets.ordinary.classes.1.floor_percent: 110 is not between 0 \
         and 100\n\
         contradictions.toml:49: presets.ordinary.classes.1.still_ms: 60000 ms is not below the \
         class's timeout of 60000 ms\n",
    );
}

#[test]
fn unknown_preset_is_reported() {
    assert_refused(
        "no_such_preset.toml",
        "no_such_preset.toml:3: preset: no preset named `xmas`\n",
    );
}

#[test]
fn each_operation_must_be_in_exactly_one_class() {
    assert_refused(
        "classes.toml",
        "classes.toml:39: presets.ordinary: operation `till.sale` has no class\n\
         classes.toml:41: presets.ordinary.classes.0.operations: no operation `till.refund`\n\
         classes.toml:45: presets.ordinary.classes.1.name: class `urgent` stands twice\n\
         classes.toml:46: presets.ordinary.classes.1.operations: `till.balance` stands twice\n",
    );
}

#[test]
fn all_files_are_checked() {
    let run = azuretally(&["check", "good.toml", "wrong_unit.toml", "no_such_preset.toml"]);
    assert_eq!(run.code, Some(1));
    assert!(run.stdout.starts_with("ok: good.toml"));
    assert!(run.stderr.ends_with("error: 2 of 3 documents refused\n"));
}

#[test]
fn missing_file_and_unknown_command_have_different_exit_codes() {
    let run = azuretally(&["check", "missing.toml"]);
    assert_eq!(run.code, Some(1));
    assert!(run.stderr.starts_with("error: cannot read `missing.toml`\n"));
    let run = azuretally(&["chek"]);
    assert_eq!(run.code, Some(2));
    assert!(run.stderr.contains("no command named `chek`"));
}
