//! Measures the size and CPU time of the audit record line of one call.
//!
//! `cargo run --release -p azuretally-policy --example record_cost`

use azuretally_api::record::{CallRecord, Outcome, RecordEntry};
use azuretally_policy::record::HashChain;
use std::time::Instant;

/// Number of lines that are measured.
const LINES: u64 = 200_000;

fn call(i: u64) -> CallRecord {
    let at = i * 100 + 10_000_000_000;
    CallRecord {
        revision: 1_200,
        era: None,
        service: "till".to_owned(),
        operation: "sale".to_owned(),
        class: "urgent".to_owned(),
        caller: format!("kiosk-{}", i % 500),
        key: Some(format!("entry-3.0011223344556677.{at}.{:032x}/sale-{i}", u128::from(i))),
        arrival_us: at,
        deadline_us: at + 500_000,
        dispatch_us: Some(at + 80),
        end_us: at + 6_300,
        target: Some("till-11".to_owned()),
        peer: None,
        attempts: 1,
        outcome: Outcome::Answered,
        reason: None,
    }
}

fn main() {
    let calls: Vec<CallRecord> = (0..LINES).map(call).collect();
    let mut chain = HashChain::new("entry-3", "0011223344556677");
    let start = Instant::now();
    let lines: Vec<_> =
        calls.into_iter().map(|c| chain.append(RecordEntry::Call(Box::new(c)))).collect();
    let chain_time = start.elapsed();
    let start = Instant::now();
    let bytes: usize =
        lines.iter().filter_map(|l| serde_json::to_vec(l).ok()).map(|l| l.len()).sum();
    let write_time = start.elapsed();
    println!("bytes of one line       {}", bytes as u64 / LINES);
    println!("chaining, us a line     {:.2}", chain_time.as_secs_f64() * 1e6 / LINES as f64);
    println!("writing as JSON, us     {:.2}", write_time.as_secs_f64() * 1e6 / LINES as f64);
}
