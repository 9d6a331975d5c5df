//! Planned stops of several gateways at once and in overlap, all of them in full use.

use super::{
    deployment::{Deployment, GRACE, LOSS_SLACK},
    load::{Habit, LoadCaller, MadeCall},
    verdict::Verdict,
};
use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64;
use rustix::process::Signal;
use std::{env, fmt, str::FromStr, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Time from the first calls to the first signal of a round.
const WARM_UP: Duration = Duration::from_millis(800);
/// Largest number of gateways that stop in one round.
const MAX_STOPS_PER_ROUND: usize = 3;
/// Time within which the signals of a round are sent.
const ROUND_SPREAD_MS: u64 = 1_500;
/// Time after the last signal of a round until which callers make calls.
const CALL_TIME: Duration = Duration::from_secs(3);
/// Time after SIGTERM from which a connection may end with the process.
const EXIT_TIME: Duration = Duration::from_millis(5_400);

/// Size of a run, from environment variables.
#[derive(Clone, Copy, Debug)]
struct Size {
    gateways: u8,
    callers: usize,
    stops: usize,
    seed: u64,
}

impl Size {
    fn from_env() -> Self {
        Self {
            gateways: variable("AZURETALLY_STOP_GATEWAYS", 3),
            callers: variable("AZURETALLY_STOP_CALLERS", 60),
            stops: variable("AZURETALLY_STOP_STOPS", 2),
            seed: variable("AZURETALLY_STOP_SEED", 1),
        }
    }
}

fn variable<T>(name: &str, default: T) -> T
where
    T: FromStr,
{
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Causes of docs/incidents/planned-stop.md that a loss may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// A reset discarded an answer given after the signal.
    ResetAfterAnswer,
    /// The call was in progress when the process exited.
    Exit,
    /// A reset discarded an answer given before the signal.
    IdleClose,
    Other,
}

/// A call that was lost.
#[derive(Debug)]
struct Loss {
    cause: Cause,
    text: String,
}

/// Results of a run.
#[derive(Debug, Default)]
struct Report {
    /// Calls by habit and verdict.
    counts: IndexMap<(Habit, Verdict), usize>,
    /// Times after SIGTERM at which calls were cut that were still run in the last sixth of the grace
    /// time.
    excused: Vec<Duration>,
    losses: Vec<Loss>,
    /// Connections of each gateway when its stop began.
    connections: Vec<usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ((habit, verdict), count) in &self.counts {
            writeln!(f, "{habit:?} {verdict:?}: {count}")?;
        }
        let first = self.excused.iter().min();
        writeln!(f, "excused: {}, the first after {first:?}", self.excused.len())?;
        writeln!(f, "connections at the stops: {:?}", self.connections)?;
        for cause in [Cause::ResetAfterAnswer, Cause::Exit, Cause::IdleClose, Cause::Other] {
            let count = self.losses.iter().filter(|loss| loss.cause == cause).count();
            writeln!(f, "lost by {cause:?}: {count}")?;
        }
        for loss in &self.losses {
            writeln!(f, "{:?}: {}", loss.cause, loss.text)?;
        }
        Ok(())
    }
}

/// Answers to calls that targets had run were lost when several gateways stopped in full use.
///
/// In each round, a target stops too, and the gateways read new settings.
/// The size of the run is set by `AZURETALLY_STOP_GATEWAYS`, `_CALLERS`, `_STOPS` and `_SEED`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stops_in_overlap_lose_no_call() {
    let size = Size::from_env();
    let targets = u16::try_from(size.callers / 4 + 4).unwrap_or(u16::MAX);
    let mut deployment = Deployment::start(size.gateways, targets).await;
    let mut random = Pcg64::seed_from_u64(size.seed);
    let mut report = Report::default();
    let mut left = size.stops;
    while left > 0 {
        let count = random.random_range(1..=MAX_STOPS_PER_ROUND.min(left));
        let round = Round::new(&mut random, size, count.min(deployment.gateways.len()));
        left -= round.stops.len();
        round.run(&mut deployment, size.callers, &mut report).await;
    }
    let whole: usize =
        report.counts.iter().filter(|((_, v), _)| *v == Verdict::Whole).map(|(_, n)| n).sum();
    assert!(whole > size.callers, "{whole} whole answers\n{report}");
    assert!(report.losses.is_empty(), "{size:?}\n{report}");
    println!("{size:?}\n{report}");
    deployment.shut_down().await;
}

/// Stops of several gateways and the calls around them.
#[derive(Debug)]
struct Round {
    /// Gateways with the times of their signals, in the order of these.
    stops: Vec<(usize, Duration)>,
    seed: u64,
}

impl Round {
    fn new(random: &mut Pcg64, size: Size, count: usize) -> Self {
        let mut gateways: Vec<usize> = (0..usize::from(size.gateways)).collect();
        gateways.shuffle(random);
        let mut delays: Vec<_> = (0..count)
            .map(|_| Duration::from_millis(random.random_range(0..ROUND_SPREAD_MS)))
            .collect();
        delays.sort_unstable();
        Self { stops: gateways.into_iter().zip(delays).collect(), seed: random.random() }
    }

    async fn run(&self, deployment: &mut Deployment, callers: usize, report: &mut Report) {
        let start = Instant::now() + WARM_UP;
        let last = self.stops.last().map_or(Duration::ZERO, |(_, delay)| *delay);
        let mut tasks = JoinSet::new();
        for number in 0..callers {
            let stopped = self.stops.iter().map(|(g, _)| (*g, deployment.gateways[*g].calls));
            let seed = self.seed.wrapping_add(number as u64);
            let name = format!("{:x}-{number}", self.seed >> 32);
            let caller = LoadCaller::new(name, seed, stopped.collect());
            tasks.spawn(caller.run(start + last + CALL_TIME));
        }
        let mut signals = IndexMap::new();
        for (gateway, delay) in &self.stops {
            sleep_until(start + *delay).await;
            deployment.gateways[*gateway].terminate();
            signals.insert(*gateway, Instant::now());
        }
        self.disturb(deployment);
        let made: Vec<_> = tasks.join_all().await.into_iter().flatten().collect();
        for (gateway, _) in &self.stops {
            deployment.gateways[*gateway].wait_for_exit(GRACE).await;
        }
        let logs = RoundLogs::read(deployment, &self.stops);
        report.connections.extend(&logs.connections);
        for call in &made {
            report.add(deployment, call, signals[&call.gateway], &logs);
        }
        for (gateway, _) in &self.stops {
            deployment.gateways[*gateway].restart();
            deployment.gateways[*gateway].wait_until_ready().await;
        }
        sleep(WARM_UP).await;
    }
}

impl Round {
    /// Replaces a target, publishes new settings and has all gateways read their settings file.
    fn disturb(&self, deployment: &mut Deployment) {
        let target = self.seed as usize % deployment.targets.len();
        deployment.replace_target(target);
        deployment.publish_next();
        for gateway in &deployment.gateways {
            gateway.signal(Signal::HUP);
        }
    }
}

/// What the gateways of a round have logged.
#[derive(Debug, Default)]
struct RoundLogs {
    /// Ids of the calls that were read.
    read: IndexSet<String>,
    /// Outcomes of calls by id.
    outcomes: IndexMap<String, String>,
    /// Connections of each gateway when its stop began.
    connections: Vec<usize>,
}

impl RoundLogs {
    fn read(deployment: &Deployment, stops: &[(usize, Duration)]) -> Self {
        let mut logs = Self::default();
        for (gateway, _) in stops {
            let text = deployment.gateways[*gateway].log();
            for line in text.lines() {
                let Some(id) = field(line, "id") else { continue };
                logs.read.insert(id.to_owned());
                if let Some(outcome) = field(line, "outcome") {
                    logs.outcomes.insert(id.to_owned(), outcome.to_owned());
                }
            }
            let stop = text.lines().rev().find(|line| line.contains("planned stop, connections="));
            let connections = stop.and_then(|line| field(line, "connections")?.parse().ok());
            logs.connections.push(connections.unwrap_or(0));
        }
        logs
    }
}

/// Returns the value of the field `name` of a log line.
fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

impl Report {
    /// Counts a call to a gateway that was stopped at `signal`.
    fn add(&mut self, deployment: &Deployment, made: &MadeCall, signal: Instant, logs: &RoundLogs) {
        let id = &*made.call.id;
        let elapsed = made.ended - made.sent;
        let verdict = Verdict::new(deployment, &made.call, made.answer.as_ref(), elapsed);
        *self.counts.entry((made.habit, verdict)).or_default() += 1;
        let was_read = logs.read.contains(id);
        let is_lost = match verdict {
            Verdict::Cut => true,
            Verdict::Unread => was_read && !made.is_behind && elapsed > LOSS_SLACK,
            Verdict::Whole | Verdict::Refused | Verdict::TimedOut | Verdict::Failed => false,
        };
        if is_lost && deployment.is_excused(id, signal, made.sent, made.ended) {
            self.excused.push(made.ended - signal);
        } else if is_lost {
            let outcome = logs.outcomes.get(id).map(String::as_str);
            self.losses.push(loss(deployment, made, signal, outcome));
        }
    }
}

fn loss(deployment: &Deployment, made: &MadeCall, signal: Instant, outcome: Option<&str>) -> Loss {
    let answered = deployment.run_of(&made.call.id).and_then(|run| run.answered);
    let cause = if answered.is_some_and(|answered| answered < signal) {
        Cause::IdleClose
    } else if outcome == Some("answered") {
        Cause::ResetAfterAnswer
    } else if made.ended >= signal + EXIT_TIME {
        Cause::Exit
    } else {
        Cause::Other
    };
    let after_signal = |at: Instant| match at.checked_duration_since(signal) {
        Some(after) => format!("{} ms", after.as_millis()),
        None => format!("-{} ms", (signal - at).as_millis()),
    };
    let text = format!(
        "{} {:?} gateway={} sent={} target={} ended={} behind={} status={} end={} log={}",
        made.call.id,
        made.habit,
        made.gateway,
        after_signal(made.sent),
        answered.map_or_else(|| "-".to_owned(), after_signal),
        after_signal(made.ended),
        made.is_behind,
        made.answer.as_ref().map_or(0, |answer| answer.status),
        made.end.as_deref().unwrap_or("-"),
        outcome.unwrap_or("-"),
    );
    Loss { cause, text }
}
