//! Callers that read slowly and keep their connections, at gateways that do not stop.

use super::{call::Call, caller::Caller, deployment::Deployment, load::read_answer};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64;
use std::{net::SocketAddr, ops::RangeInclusive, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Number of callers, and of the targets that serve them.
const CALLERS: u64 = 100;
const TARGETS: u16 = 16;
/// Time in which callers begin to send calls.
const CALL_TIME: Duration = Duration::from_secs(12);
/// Calls that a caller sends before it reads.
const DEPTHS: RangeInclusive<usize> = 1..=6;
/// Times after which a caller reads, in ms.
const READ_DELAYS_MS: [u64; 3] = [0, 100, 400];
/// Sizes of the answers, in bytes.
const ANSWER_BYTES: RangeInclusive<usize> = 40..=60_000;
/// Time that targets take for a call, in ms.
const SERVICE_MS: RangeInclusive<u64> = 1..=50;
/// Number of lost calls that a failure shows.
const MAX_SHOWN: usize = 8;

/// A call that was not answered in full.
#[derive(Debug)]
struct Loss {
    call: Call,
    /// Local address of the caller.
    from: SocketAddr,
    /// Age of the connection.
    age: Duration,
    end: String,
}

impl Loss {
    /// Describes the loss, with the end of the connection in the log of the gateway.
    fn describe(&self, log: &str) -> String {
        let Self { call, from, age, end } = self;
        let field = format!("from={from} ");
        let line = log.lines().find(|l| l.contains(&field) && l.contains("connection ended"));
        let line = line.unwrap_or("no line at this level");
        format!("{} of {} bytes after {age:?}: {end}; {line}", call.id, call.bytes)
    }
}

/// What one caller has seen.
#[derive(Debug, Default)]
struct Seen {
    whole: usize,
    refused: usize,
    losses: Vec<Loss>,
}

/// Sends calls and reads their answers late until `end`, on connections that it keeps.
async fn run_caller(gateway: SocketAddr, number: u64, end: Instant) -> (Seen, Vec<Call>) {
    let mut random = Pcg64::seed_from_u64(number);
    let (mut seen, mut refused, mut count) = (Seen::default(), Vec::new(), 0);
    'connections: while Instant::now() < end {
        let mut caller = Caller::connect_with_small_buffer(gateway).await.expect("connected");
        let opened = Instant::now();
        let from = caller.stream.local_addr().expect("connected");
        while Instant::now() < end {
            let mut calls = Vec::new();
            for _ in 0..random.random_range(DEPTHS) {
                count += 1;
                let call = Call::new(&format!("slow-{number}-{count}"), "roster")
                    .service_ms(random.random_range(SERVICE_MS))
                    .bytes(random.random_range(ANSWER_BYTES));
                // A call that cannot be written is among those without an answer.
                let _ = caller.send(&call).await;
                calls.push(call);
            }
            let delay_ms = READ_DELAYS_MS.choose(&mut random).copied().unwrap_or(0);
            sleep(Duration::from_millis(delay_ms)).await;
            for call in calls {
                match read_answer(&mut caller).await {
                    Ok(answer) if answer.is_whole(&call) => seen.whole += 1,
                    Ok(_) => refused.push(call),
                    Err(end) => {
                        let (age, end) = (opened.elapsed(), end.to_string());
                        seen.losses.push(Loss { call, from, age, end });
                        continue 'connections;
                    }
                }
            }
        }
    }
    seen.refused = refused.len();
    (seen, refused)
}

/// The kernel ended connections whose callers read slowly though they made progress, since it
/// counts the time without a window over several closings of the window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_read_slowly_keep_their_connections_and_get_whole_answers() {
    let deployment = Deployment::start(1, TARGETS).await;
    let gateway = deployment.gateways[0].calls;
    let end = Instant::now() + CALL_TIME;
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        tasks.spawn(run_caller(gateway, number, end));
    }
    let mut total = Seen::default();
    for (seen, refused) in tasks.join_all().await {
        total.whole += seen.whole;
        total.refused += seen.refused;
        total.losses.extend(seen.losses);
        for call in refused {
            assert!(deployment.run_of(&call.id).is_none(), "{} ran and was refused", call.id);
        }
    }
    let Seen { whole, refused, losses } = total;
    let log = deployment.gateways[0].log();
    let shown: Vec<_> = losses.iter().take(MAX_SHOWN).map(|loss| loss.describe(&log)).collect();
    println!("{whole} whole, {refused} refused, {} lost", losses.len());
    assert!(whole > CALLERS as usize, "{whole} whole answers");
    assert!(
        losses.is_empty(),
        "{} of {} lost:\n{}",
        losses.len(),
        whole + losses.len(),
        shown.join("\n")
    );
    deployment.shut_down().await;
}
