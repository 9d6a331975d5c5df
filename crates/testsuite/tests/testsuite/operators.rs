//! Command-line programs of operators against a running fleet: status, watch, presets, explain,
//! drain and audit.

use azuretally_api::admin::EntryStatus;
use azuretally_testsuite::{Call, DEFAULT_TIMEOUT, Fleet, binary, eventually};
use std::{
    fs,
    process::{Command, Stdio},
};
use tempfile::TempDir;
use tokio::task::spawn_blocking;

const SALES: u32 = 5;

/// Exit code and output of a program.
struct Output {
    code: Option<i32>,
    stdout: String,
    stderr: String,
}

async fn run_program(program: &str, fleet: &Fleet, args: &[&str]) -> Output {
    let mut command = Command::new(binary(program));
    command.args(args).stdin(Stdio::null());
    for entry in &fleet.entries {
        command.arg("--entry").arg(entry.admin.to_string());
    }
    let output = spawn_blocking(move || command.output().unwrap()).await.unwrap();
    Output {
        code: output.status.code(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}

async fn azuretally(fleet: &Fleet, args: &[&str]) -> Output {
    run_program("azuretally", fleet, args).await
}

async fn make_sales(fleet: &Fleet) {
    let to = eventually("a direction with a token", DEFAULT_TIMEOUT, async || {
        fleet.directions().await.entries.into_iter().find(|d| !d.token.is_empty())
    })
    .await;
    for i in 0..SALES {
        let sale = Call::sale(format!("sale-{i}"), &to);
        let reply = fleet.caller.call(to.address, &sale).await.unwrap();
        assert!(reply.is_answered(), "{:?}", reply.headers);
    }
}

#[tokio::test]
async fn commands_report_status_calls_and_metrics() {
    let fleet = Fleet::builder().start().await;
    make_sales(&fleet).await;

    let status = azuretally(&fleet, &["status"]).await;
    assert_eq!(status.code, Some(0), "{}", status.stderr);
    for entry in &fleet.entries {
        assert!(status.stdout.contains(&entry.host), "{}", status.stdout);
    }
    let json = azuretally(&fleet, &["status", "--json"]).await;
    let states: Vec<EntryStatus> = serde_json::from_str(&json.stdout).unwrap();
    assert_eq!(states.len(), fleet.entries.len());
    for counts in states.iter().flat_map(|s| s.calls.values()) {
        let accounted = counts.answered + counts.not_run + counts.unknown + counts.in_flight;
        assert_eq!(counts.taken, accounted);
    }

    let watch = azuretally(&fleet, &["watch", "--once"]).await;
    assert!(watch.stdout.contains("urgent in time"), "{}{}", watch.stdout, watch.stderr);
    assert!(watch.stdout.contains("ordinary (1)"), "{}", watch.stdout);
    let presets = azuretally(&fleet, &["preset", "list"]).await;
    assert_eq!(presets.stdout.matches("ordinary").count(), fleet.entries.len());

    let explained = eventually("the record of the call", DEFAULT_TIMEOUT, async || {
        let explained = azuretally(&fleet, &["explain", "sale-3"]).await;
        (explained.code == Some(0)).then_some(explained.stdout)
    })
    .await;
    assert!(explained.contains("operation  till.sale"), "{explained}");
    assert!(explained.contains("outcome    answered"), "{explained}");
    let missing = azuretally(&fleet, &["explain", "sale-none"]).await;
    assert_eq!(missing.code, Some(1));
    assert_eq!(missing.stderr, "error: no entry asked has a record of `sale-none`\n");

    let metrics = azuretally(&fleet, &["metrics"]).await;
    let sold = "azuretally_calls_total{operation=\"till.sale\",outcome=\"answered\"}";
    assert!(metrics.stdout.contains(sold), "{}", metrics.stdout);
}

#[tokio::test]
async fn drained_entry_stops_and_its_record_passes_the_audit() {
    let mut fleet = Fleet::builder().start().await;
    make_sales(&fleet).await;
    let directory = TempDir::new().unwrap();
    let runs = directory.path().join("runs.json");
    fs::write(&runs, serde_json::to_string(&fleet.target_report().await).unwrap()).unwrap();
    let runs = runs.to_str().unwrap();
    let last = format!("sale-{}", SALES - 1);
    eventually("the record of the last sale", DEFAULT_TIMEOUT, async || {
        let explained = azuretally(&fleet, &["explain", &last]).await;
        (explained.code == Some(0)).then_some(())
    })
    .await;
    let audit = run_program("azuretally-audit", &fleet, &["--runs", runs]).await;
    assert_eq!(audit.code, Some(0), "{}{}", audit.stdout, audit.stderr);
    assert!(audit.stdout.ends_with("ok: no breach\n"), "{}", audit.stdout);

    let drain = azuretally(&fleet, &["drain", "entry-1"]).await;
    assert_eq!(drain.code, Some(0), "{}", drain.stderr);
    assert!(drain.stdout.starts_with("stopping: entry-1: "), "{}", drain.stdout);
    assert!(fleet.entry("entry-1").process().wait_for_exit(DEFAULT_TIMEOUT).await.success());
    let watch = azuretally(&fleet, &["watch", "--once"]).await;
    assert_eq!(watch.code, Some(1), "an entry that does not answer is reported");
    assert!(watch.stderr.contains("warning: cannot ask the entry at"), "{}", watch.stderr);
    let unknown = azuretally(&fleet, &["drain", "entry-9"]).await;
    assert!(unknown.stderr.contains("no entry asked has the host name `entry-9`"));
}

#[tokio::test]
async fn record_of_a_killed_entry_is_kept_by_a_peer() {
    let mut fleet = Fleet::builder().start().await;
    make_sales(&fleet).await;
    let holder =
        eventually("the entry that sold has its lines copied", DEFAULT_TIMEOUT, async || {
            for entry in &fleet.entries {
                let status = entry.status().await.ok()?;
                let sales = status.calls.get("till.sale").map_or(0, |c| c.answered);
                // The record also has a start line and a settings line.
                if sales == u64::from(SALES) && status.record.copied >= u64::from(SALES) + 2 {
                    return (status.record.copied == status.record.last).then_some(status.host);
                }
            }
            None
        })
        .await;
    let last = format!("sale-{}", SALES - 1);
    let before = azuretally(&fleet, &["explain", &last]).await;
    fleet.entry(&holder).kill();
    let after = azuretally(&fleet, &["explain", &last]).await;
    assert_eq!((after.code, &after.stdout), (Some(0), &before.stdout));
    assert!(after.stdout.starts_with(&holder), "{}", after.stdout);
    fleet.entries.retain(|e| e.host != holder);
    let audit = run_program("azuretally-audit", &fleet, &[]).await;
    assert_eq!(audit.code, Some(0), "{}{}", audit.stdout, audit.stderr);
    assert!(audit.stdout.contains("lines of 3 incarnations"), "{}", audit.stdout);
}

/// Makes far more concurrent calls of two classes than there are slots, so that both classes queue.
async fn overload(fleet: &Fleet) {
    const CALLS: usize = 240;
    let to = fleet.direction().await;
    let calls = (0..CALLS).map(|i| {
        let path = if i % 2 == 0 { "/till/balance" } else { "/till/reconcile" };
        let id = format!("overload-{i}");
        let call = if i % 2 == 0 { Call::get(path, id) } else { Call::post(path, id, "batch") };
        let (caller, call) = (fleet.caller.clone(), call.caller(format!("kiosk-{}", i % 7)));
        tokio::spawn(async move { caller.call(to.address, &call).await })
    });
    let calls: Vec<_> = calls.collect();
    for call in calls {
        call.await.unwrap().unwrap();
    }
}

#[tokio::test]
async fn record_under_overload_follows_the_class_order_of_the_preset() {
    let fleet = Fleet::builder().targets(2).service_ms(15.0).start().await;
    overload(&fleet).await;
    let recorded = eventually("the counters of all calls", DEFAULT_TIMEOUT, async || {
        let json = azuretally(&fleet, &["status", "--json"]).await;
        let states: Vec<EntryStatus> = serde_json::from_str(&json.stdout).ok()?;
        let sum = |name: &str| -> u64 {
            states.iter().filter_map(|s| s.calls.get(name)).map(|c| c.taken - c.in_flight).sum()
        };
        (sum("till.reconcile") >= 120 && sum("till.balance") >= 120).then_some(())
    });
    recorded.await;
    let audit = run_program("azuretally-audit", &fleet, &[]).await;
    assert_eq!(audit.code, Some(0), "{}{}", audit.stdout, audit.stderr);
}
