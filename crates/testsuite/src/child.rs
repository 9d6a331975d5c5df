//! A process under test.

use crate::{binaries::binary, eventually::eventually};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    fs::{self, File},
    path::{Path, PathBuf},
    process::{self, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};

/// Number of last log lines that are printed for each process when a test fails.
const LOG_TAIL_LINES: usize = 15;

/// A child process, which is killed and reaped when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    log: PathBuf,
    process: process::Child,
    status: Option<ExitStatus>,
}

impl Child {
    /// Starts the binary `program`. Its output is appended to `name.log` in `directory`.
    pub fn start(directory: &Path, name: &str, program: &str, args: &[String]) -> Self {
        let log = directory.join(format!("{name}.log"));
        let file = File::options().create(true).append(true).open(&log).expect("log file");
        let process = Command::new(binary(program))
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone().expect("log file"))
            .stderr(file)
            .spawn()
            .unwrap_or_else(|e| panic!("cannot start {program}: {e}"));
        Self { name: name.to_owned(), log, process, status: None }
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if self.status.is_none() {
            let _ = self.process.kill();
            self.status = self.process.wait().ok();
        }
    }

    /// Waits until the process has exited, at most for `limit`.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> ExitStatus {
        let what = format!("{} has exited", self.name);
        let process = &mut self.process;
        let status = eventually(&what, limit, async || process.try_wait().ok().flatten()).await;
        self.status = Some(status);
        status
    }

    /// Returns whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        if self.status.is_none() {
            self.status = self.process.try_wait().ok().flatten();
        }
        self.status.is_none()
    }

    /// Returns the output of the process so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        if self.status.is_none() {
            let pid = Pid::from_child(&self.process);
            kill_process(pid, signal).unwrap_or_else(|e| panic!("cannot signal: {e}"));
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
        if thread::panicking() {
            let log = self.log();
            let lines: Vec<_> = log.lines().collect();
            let last_lines = &lines[lines.len().saturating_sub(LOG_TAIL_LINES)..];
            eprintln!("--- {} ---\n{}", self.name, last_lines.join("\n"));
        }
    }
}
