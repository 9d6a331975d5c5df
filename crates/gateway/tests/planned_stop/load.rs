//! Callers with the habits of the deployments, and the calls that they make.

use super::{
    call::{Answer, Call},
    caller::{Caller, End},
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use std::{collections::VecDeque, io, net::SocketAddr, ops::RangeInclusive, time::Duration};
use tokio::{
    io::AsyncReadExt,
    time::{Instant, sleep, timeout},
};

/// Time that a caller waits for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(8);
/// Upper bounds of the random pauses of a caller: before a call, between the calls of a pipeline,
/// and before it reads.
const CALL_PAUSE_MS: u64 = 30;
const PIPELINE_PAUSE_MS: u64 = 10;
const READ_PAUSE_MS: u64 = 100;
/// Number of calls that a pipeline holds.
const PIPELINE_DEPTHS: RangeInclusive<usize> = 2..=6;
/// One call in this number takes [`LONG_FRACTION`] of its time limit.
const LONG_CALL_INTERVAL: u64 = 40;
const LONG_FRACTION: f64 = 0.9;
/// Mean and maximum size of an answer, in bytes.
const MEAN_ANSWER_BYTES: f64 = 5_000.0;
const MAX_ANSWER_BYTES: f64 = 30_000.0;

/// How a caller uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Habit {
    /// A connection is kept for one call at a time.
    Kept,
    /// Each call has a connection of its own.
    Fresh,
    /// Further calls are sent before the first answer.
    Pipelined,
}

/// A call that a caller has made.
#[derive(Debug)]
pub(crate) struct MadeCall {
    pub(crate) call: Call,
    pub(crate) habit: Habit,
    /// Index of the gateway.
    pub(crate) gateway: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) answer: Option<Answer>,
    /// Whether an earlier call on the connection had no answer when this one ended.
    pub(crate) is_behind: bool,
    /// How the connection ended, if the call has no answer.
    pub(crate) end: Option<String>,
}

/// A caller that makes calls until its gateways refuse connections.
#[derive(Debug)]
pub(crate) struct LoadCaller {
    habit: Habit,
    /// Whether the first failed write ends the connection before it is read to its end.
    is_hasty: bool,
    has_small_buffer: bool,
    /// Gateways that have not refused a connection.
    gateways: Vec<(usize, SocketAddr)>,
    random: Pcg64,
    name: String,
    made: Vec<MadeCall>,
    call_count: usize,
}

/// A call without an answer yet.
struct Pending {
    call: Call,
    sent: Instant,
}

impl LoadCaller {
    /// Creates caller `number` of `gateways`.
    pub(crate) fn new(name: String, number: u64, gateways: Vec<(usize, SocketAddr)>) -> Self {
        let mut random = Pcg64::seed_from_u64(number);
        let habit = match random.random_range(0..4) {
            0 => Habit::Kept,
            1 => Habit::Fresh,
            _ => Habit::Pipelined,
        };
        Self {
            habit,
            is_hasty: random.random_ratio(1, 4),
            has_small_buffer: random.random_ratio(1, 2),
            gateways,
            random,
            name,
            made: Vec::new(),
            call_count: 0,
        }
    }

    /// Makes calls until `end` or until no gateway accepts connections.
    pub(crate) async fn run(mut self, end: Instant) -> Vec<MadeCall> {
        while !self.gateways.is_empty() && Instant::now() < end {
            let index = self.random.random_range(0..self.gateways.len());
            let (number, address) = self.gateways[index];
            match self.connect(address).await {
                Ok(caller) => self.use_connection(caller, number, end).await,
                Err(_) => drop(self.gateways.swap_remove(index)),
            }
        }
        self.made
    }

    async fn connect(&self, address: SocketAddr) -> io::Result<Caller> {
        match self.has_small_buffer {
            true => Caller::connect_with_small_buffer(address).await,
            false => Caller::connect(address).await,
        }
    }

    /// Makes calls on a connection until it ends.
    async fn use_connection(&mut self, mut caller: Caller, gateway: usize, end: Instant) {
        let depth = match self.habit {
            Habit::Pipelined => self.random.random_range(PIPELINE_DEPTHS),
            Habit::Kept | Habit::Fresh => 1,
        };
        let mut pending = VecDeque::new();
        let mut is_open = true;
        while is_open {
            self.pause(CALL_PAUSE_MS).await;
            is_open = Instant::now() < end;
            while is_open && pending.len() < depth {
                let call = self.next_call();
                let sent = caller.send(&call).await;
                pending.push_back(Pending { call, sent: Instant::now() });
                if let Err(e) = sent {
                    if self.is_hasty {
                        return self.end_calls(pending, gateway, &format!("write: {e}"));
                    }
                    is_open = false;
                }
                self.pause(PIPELINE_PAUSE_MS).await;
            }
            self.pause(READ_PAUSE_MS).await;
            if pending.is_empty() {
                return;
            }
            match read_answer(&mut caller).await {
                Ok(answer) => {
                    is_open &= !answer.is_last() && self.habit != Habit::Fresh;
                    self.answer_call(&mut pending, gateway, answer);
                }
                Err(end) => return self.end_calls(pending, gateway, &end.to_string()),
            }
        }
        while !pending.is_empty() {
            match read_answer(&mut caller).await {
                Ok(answer) => self.answer_call(&mut pending, gateway, answer),
                Err(end) => return self.end_calls(pending, gateway, &end.to_string()),
            }
        }
    }

    fn answer_call(&mut self, pending: &mut VecDeque<Pending>, gateway: usize, answer: Answer) {
        let Some(Pending { call, sent }) = pending.pop_front() else { return };
        self.made.push(MadeCall {
            call,
            habit: self.habit,
            gateway,
            sent,
            ended: Instant::now(),
            answer: Some(answer),
            is_behind: false,
            end: None,
        });
    }

    /// Records that the connection has ended before the answers to `pending`.
    fn end_calls(&mut self, pending: VecDeque<Pending>, gateway: usize, end: &str) {
        for (position, Pending { call, sent }) in pending.into_iter().enumerate() {
            self.made.push(MadeCall {
                call,
                habit: self.habit,
                gateway,
                sent,
                ended: Instant::now(),
                answer: None,
                is_behind: position > 0,
                end: Some(end.to_owned()),
            });
        }
    }

    fn next_call(&mut self) -> Call {
        self.call_count += 1;
        let (route, mean_ms) = match self.habit {
            Habit::Kept if self.random.random_ratio(1, 2) => ("look", 160.0),
            Habit::Kept => ("sale", 210.0),
            Habit::Fresh => ("list", 400.0),
            Habit::Pipelined => ("roster", 640.0),
        };
        let call = Call::new(&format!("{}-{}", self.name, self.call_count), route);
        let limit_ms = call.time_limit().as_millis() as f64;
        let service_ms = match self.random.random_range(0..LONG_CALL_INTERVAL) {
            0 => limit_ms * LONG_FRACTION,
            _ => mean_ms * self.random.random_range(0.5..1.5),
        };
        let uniform: f64 = self.random.random_range(0.001..1.0);
        let bytes = (-uniform.ln() * MEAN_ANSWER_BYTES).min(MAX_ANSWER_BYTES);
        call.service_ms(service_ms as u64).bytes(bytes as usize)
    }

    async fn pause(&mut self, max_ms: u64) {
        let pause = self.random.random_range(0..=max_ms);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Reads until an answer is complete and removes it from what has been received.
pub(crate) async fn read_answer(caller: &mut Caller) -> Result<Answer, End> {
    loop {
        if let Some(answer) = Answer::take(&mut caller.received) {
            return Ok(answer);
        }
        match timeout(READ_TIMEOUT, caller.stream.read_buf(&mut caller.received)).await {
            Ok(Ok(0)) => return Err(End::Orderly),
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return Err(End::Failed(e)),
            Err(_) => return Err(End::Open),
        }
    }
}
