//! The scripts of the review: `review-stand-ins CASE RECORD`. Exits with 1 if the rule of the case was
//! broken, with 0 if it held, and with 2 if the case could not run.

mod backend;
mod cases;
mod consumer;
mod deployment;
mod gateway;
mod http;
mod links;
mod net;
mod record;
mod store;

use std::{env, panic, path::PathBuf, process::exit, thread, time::Duration};

/// Time after which a run is given up.
const MAX_RUN: Duration = Duration::from_secs(115);

fn main() {
    let mut args = env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: review-stand-ins CASE RECORD");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = PathBuf::from(record);
    let (sender, receiver) = std::sync::mpsc::channel();
    let run = thread::spawn(move || {
        let verdict = panic::catch_unwind(|| cases::run(&case, &record, has_trouble));
        let _ = sender.send(verdict);
    });
    // The gateways end with the thread that started them, at the latest.
    let verdict = receiver.recv_timeout(MAX_RUN);
    if verdict.is_ok() {
        let _ = run.join();
    }
    match verdict {
        Ok(Ok(Some(true))) => exit(0),
        Ok(Ok(Some(false))) => exit(1),
        _ => exit(2),
    }
}
