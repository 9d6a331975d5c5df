//! Stand-ins and scenarios of the second review. Usage: `review-stand-ins-2 SCENARIO RECORD`, in the root of
//! the repository; RECORD is the file that gets what was sent, answered and run. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod crash;
mod deployment;
mod foreign;
mod gateway;
mod http;
mod record;
mod store;
mod storm;
mod unnamed;

use record::Record;
use std::{env, fs, path::PathBuf, process, sync::Arc};

fn main() {
    let mut args = env::args().skip(1);
    if env::args().nth(1).is_some_and(|name| name == "backend") {
        return crash::run_backend(args.skip(1));
    }
    let (Some(scenario), Some(path)) = (args.next(), args.next()) else { process::exit(2) };
    let root = env::current_dir().expect("the repository");
    let record = Arc::new(Record::create(&PathBuf::from(path)));
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("scenario={scenario} trouble={trouble}"));
    let temporary = env::temp_dir().join(format!("review-{scenario}-{}", process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let outcome = match scenario.as_str() {
        "storm" => storm::run(&root, &temporary, &record, trouble),
        "unnamed" => unnamed::run(&root, &temporary, &record, trouble),
        "crash" => crash::run(&root, &temporary, &record, trouble),
        "foreign" => foreign::run(&root, &temporary, &record, trouble),
        _ => None,
    };
    record.line(&format!("broken={outcome:?}"));
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&temporary);
    }
    process::exit(match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    });
}
