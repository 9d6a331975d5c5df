//! Child processes of the tool.

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

/// How long a process may take to end after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two looks at a process that is to end.
const STOP_PAUSE: Duration = Duration::from_millis(10);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// A child process, ended and reaped when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the binary `name` that stands beside this one. Its standard error goes to `log`.
    ///
    /// # Errors
    ///
    /// [`LoadError::MissingBinary`] or [`LoadError::Start`].
    pub fn start<I, A>(
        name: &'static str,
        arguments: I,
        log: &Path,
    ) -> Result<Self, Report<LoadError>>
    where
        I: IntoIterator<Item = A>,
        A: AsRef<OsStr>,
    {
        let path = beside(name)?;
        let log = File::create(log).change_context_lazy(|| LoadError::Write(log.to_owned()))?;
        let child = Command::new(path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .change_context(LoadError::Start(name))?;
        Ok(Self { child })
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that the process has used, in s.
    pub fn cpu_s(&self) -> f64 {
        cpu_s(&format!("/proc/{}/stat", self.id()))
    }

    /// Resident memory of the process, in MiB.
    pub fn resident_mib(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<f64>().ok());
        kib.unwrap_or_default() / 1_024.0
    }

    /// Processor time by name of the thread, in s.
    pub fn threads(&self) -> Vec<(String, f64)> {
        let Ok(tasks) = fs::read_dir(format!("/proc/{}/task", self.id())) else {
            return Vec::new();
        };
        let read = |task: fs::DirEntry| {
            let name = fs::read_to_string(task.path().join("comm")).ok()?;
            let stat = task.path().join("stat");
            Some((name.trim().to_owned(), cpu_s(&stat.display().to_string())))
        };
        tasks.flatten().filter_map(read).collect()
    }

    /// Sends `signal` to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Ends the process, by SIGKILL when it does not heed SIGTERM, and reaps it.
    pub fn stop(&mut self) {
        if self.has_ended() {
            return;
        }
        self.signal(Signal::TERM);
        let end = Instant::now() + STOP_TIMEOUT;
        while Instant::now() < end {
            if self.has_ended() {
                return;
            }
            thread::sleep(STOP_PAUSE);
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

fn beside(name: &str) -> Result<PathBuf, Report<LoadError>> {
    let own = std::env::current_exe().change_context(LoadError::Runtime)?;
    let path = own.with_file_name(name);
    if path.is_file() { Ok(path) } else { Err(Report::new(LoadError::MissingBinary(path))) }
}

fn cpu_s(path: &str) -> f64 {
    let stat = fs::read_to_string(path).unwrap_or_default();
    // The name in parentheses may hold blanks; utime and stime are the 12th and 13th field after it.
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks: f64 =
        after.split_whitespace().skip(11).take(2).filter_map(|f| f.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S
}
