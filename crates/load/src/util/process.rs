//! Child processes.

use crate::core::LoadError;
use error_stack::{Report, ResultExt};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    ffi::OsStr,
    fs::{self, File},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// Time that a process has to exit after SIGTERM before it is killed.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between checks whether a process has exited.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Child process that is terminated and reaped on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the binary `name` from the directory of this one. Its standard error is written to
    /// the file `log`.
    ///
    /// # Errors
    ///
    /// [`LoadError::MissingBinary`] if the binary does not exist, [`LoadError::WriteFile`] if the
    /// log cannot be created, [`LoadError::StartProcess`] if the process cannot be started.
    pub fn start<I, A>(
        name: &'static str,
        arguments: I,
        log: &Path,
    ) -> Result<Self, Report<LoadError>>
    where
        I: IntoIterator<Item = A>,
        A: AsRef<OsStr>,
    {
        let path = sibling_binary(name)?;
        let log = File::create(log).change_context_lazy(|| LoadError::WriteFile(log.to_owned()))?;
        let child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .change_context(LoadError::StartProcess(name))?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the CPU time that the process has used, in s.
    pub fn cpu_s(&self) -> f64 {
        read_cpu_s(&format!("/proc/{}/stat", self.id()))
    }

    /// Returns the resident memory of the process, in MiB.
    pub fn resident_mib(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
        kib.unwrap_or_default() / 1_024.0
    }

    /// Returns the name and the CPU time, in s, of each thread.
    pub fn thread_cpu_s(&self) -> Vec<(String, f64)> {
        let Ok(tasks) = fs::read_dir(format!("/proc/{}/task", self.id())) else {
            return Vec::new();
        };
        let read = |task: fs::DirEntry| {
            let name = fs::read_to_string(task.path().join("comm")).ok()?;
            let stat = task.path().join("stat");
            Some((name.trim().to_owned(), read_cpu_s(&stat.display().to_string())))
        };
        tasks.flatten().filter_map(read).collect()
    }

    /// Sends `signal` to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Terminates the process with SIGTERM, or with SIGKILL if it does not exit in time, and reaps
    /// it.
    pub fn stop(&mut self) {
        if self.has_ended() {
            return;
        }
        self.signal(Signal::TERM);
        let deadline = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < deadline {
            if self.has_ended() {
                return;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Returns the path of the binary `name` in the directory of this one.
fn sibling_binary(name: &str) -> Result<PathBuf, Report<LoadError>> {
    let executable = std::env::current_exe().change_context(LoadError::Runtime)?;
    let path = executable.with_file_name(name);
    if path.is_file() { Ok(path) } else { Err(Report::new(LoadError::MissingBinary(path))) }
}

/// Reads the CPU time, in s, from a `stat` file of procfs. Returns 0 if it cannot be read.
fn read_cpu_s(path: &str) -> f64 {
    let stat = fs::read_to_string(path).unwrap_or_default();
    // The name in parentheses may contain spaces. utime and stime are fields 12 and 13 after it.
    let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 =
        fields.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
