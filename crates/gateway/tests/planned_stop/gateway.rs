//! Gateway processes.

use azuretally_gateway::native::READINESS_PATH;
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep},
};

/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of lines of a log in the message of a failed test.
const MAX_LOG_LINES: usize = 20;
/// Time within which a gateway must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A gateway process, which is killed and reaped when dropped.
#[derive(Debug)]
pub(crate) struct Gateway {
    /// Address at which it accepts calls.
    pub(crate) calls: SocketAddr,
    readiness: SocketAddr,
    /// Binary of the next process.
    pub(crate) binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

impl Gateway {
    /// Starts a process with the settings file `settings`. Its output is appended to `log`.
    pub(crate) fn start(
        settings: PathBuf,
        log: PathBuf,
        calls: SocketAddr,
        readiness: SocketAddr,
    ) -> Self {
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_azuretally-gateway"));
        Self::start_build(binary, settings, log, calls, readiness)
    }

    /// Starts a process of the build at `binary`, otherwise like [`start`](Self::start).
    pub(crate) fn start_build(
        binary: PathBuf,
        settings: PathBuf,
        log: PathBuf,
        calls: SocketAddr,
        readiness: SocketAddr,
    ) -> Self {
        let process = start_process(&binary, &settings, &log);
        Self { calls, readiness, binary, settings, log, process }
    }

    /// Starts a new process after the last one has exited.
    pub(crate) fn restart(&mut self) {
        self.process = start_process(&self.binary, &self.settings, &self.log);
    }

    /// Waits until the gateway is ready.
    pub(crate) async fn wait_until_ready(&self) {
        let start = Instant::now();
        while !is_ready(self.readiness).await {
            assert!(start.elapsed() < START_TIMEOUT, "the gateway is not ready:\n{}", self.log());
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends `signal` to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.process), signal).expect("the process runs");
    }

    /// Begins the planned stop.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has exited, at most for `limit`.
    pub(crate) async fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.process.try_wait().expect("a child process") {
                return status;
            }
            assert!(start.elapsed() < limit, "the gateway has not exited:\n{}", self.log());
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Appends `text` to the settings file.
    pub(crate) fn append_settings(&self, text: &str) {
        let current = fs::read_to_string(&self.settings).expect("the settings file exists");
        fs::write(&self.settings, current + text).expect("the settings file is writable");
    }

    /// Returns the id of the process.
    pub(crate) fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the resident memory of the process, in kB.
    pub(crate) fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process_id()));
        let status = status.expect("the process runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.trim().strip_suffix(" kB")?.parse().ok()).expect("a size")
    }

    /// Returns the log of all processes of this gateway.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the first warnings, errors and ends of connections in the log.
    pub(crate) fn notable_log(&self) -> String {
        let is_notable =
            |line: &&str| !line.starts_with("INFO") || line.contains("connection ended");
        let log = self.log();
        let lines: Vec<_> = log.lines().filter(is_notable).take(MAX_LOG_LINES).collect();
        lines.join("\n")
    }

    /// Returns the lines of the log that name the call `id`, and those on the ends of connections.
    pub(crate) fn log_of(&self, id: &str) -> String {
        let field = format!(" id={id} ");
        let is_relevant = |line: &&str| line.contains(&field) || line.contains("connection ended");
        let log = self.log();
        let lines: Vec<_> = log.lines().filter(is_relevant).take(MAX_LOG_LINES).collect();
        lines.join("\n")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start_process(binary: &Path, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log file");
    Command::new(binary)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output.try_clone().expect("a log file"))
        .stderr(output)
        .spawn()
        .expect("the gateway is built")
}

async fn is_ready(address: SocketAddr) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await?;
        let request =
            format!("GET {READINESS_PATH} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        std::io::Result::Ok(answer)
    };
    ask.await.is_ok_and(|answer| answer.starts_with(b"HTTP/1.1 200"))
}
