//! Tests of `azuretally trace` and `azuretally outcomes`.

use crate::support::azuretally;

#[test]
fn trace_prints_the_lines_of_a_call_in_order() {
    let run = azuretally(&["trace", "call-1", "gateway-1.txt"]);
    assert_eq!(run.code, Some(0), "{}", run.stderr);
    let lines: Vec<&str> = run.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{}", run.stdout);
    assert!(lines[0].contains("calls: sent") && lines[0].contains("belief_ms=400"));
    assert!(lines[1].contains("verdict=Refused") && lines[1].contains("+40 ms"));
    assert!(lines[2].contains("reason=refused"));
    assert!(run.stderr.contains("1 lines are not from a gateway log"));
}

#[test]
fn trace_fails_for_an_unknown_call() {
    let run = azuretally(&["trace", "call-9", "gateway-1.txt"]);
    assert_ne!(run.code, Some(0));
    assert!(run.stderr.contains("call-9"), "{}", run.stderr);
}

#[test]
fn outcomes_are_counted_by_cause() {
    let run = azuretally(&["outcomes", "gateway-1.txt"]);
    assert_eq!(run.code, Some(0), "{}", run.stderr);
    for cells in [
        ["1", "not-run", "refused", "check", "call-1"],
        ["1", "answered-late", "200", "check", "call-2"],
        ["1", "timed-out", "deadline", "sale", "call-3"],
        ["1", "answered", "200", "check", "call-4"],
    ] {
        let found = run.stdout.lines().any(|l| l.split_whitespace().eq(cells));
        assert!(found, "{cells:?} in\n{}", run.stdout);
    }
    let run = azuretally(&["--json", "outcomes", "--late-ms", "2000", "gateway-1.txt"]);
    assert!(run.stdout.contains(r#""calls":2"#), "{}", run.stdout);
}

#[test]
fn missing_arguments_are_usage_errors() {
    for args in [&["trace"][..], &["trace", "call-1"], &["outcomes"]] {
        let run = azuretally(args);
        assert_eq!(run.code, Some(2), "{args:?}: {}", run.stderr);
    }
}
