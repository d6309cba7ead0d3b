//! The main process's side of a run's processes: it starts and stops them, receives their messages and samples their
//! CPU time, memory and sockets.

use crate::role::{Role, RoleMessage, RoleReport, RoleSettings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Clock ticks per second in `/proc/PID/stat`; the kernel always reports 100.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// How long a process may take to become ready, and to stop.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// A process that runs a role.
pub struct RoleProcess {
    pub role: Role,
    child: Child,
    settings_pipe: Option<ChildStdin>,
    messages: mpsc::Receiver<RoleMessage>,
    /// Figures of its latest progress message.
    pub progress: BTreeMap<String, f64>,
    pub report: Option<Box<RoleReport>>,
}

impl RoleProcess {
    /// Starts a process and sends it its settings.
    pub fn start(program: &Path, settings: &RoleSettings) -> Result<Self, String> {
        let name = settings.role.name();
        let mut child = Command::new(program)
            .arg("role")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{name}: cannot start: {e}"))?;
        let mut pipe = child
            .stdin
            .take()
            .ok_or("the process has no standard input")?;
        let output = child
            .stdout
            .take()
            .ok_or("the process has no standard output")?;
        let line = serde_json::to_string(settings).map_err(|e| e.to_string())?;
        writeln!(pipe, "{line}").map_err(|e| format!("{name}: cannot send the settings: {e}"))?;
        let (sender, messages) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let Ok(message) = serde_json::from_str(&line) else {
                    continue;
                };
                if sender.send(message).is_err() {
                    return;
                }
            }
        });
        Ok(RoleProcess {
            role: settings.role.clone(),
            child,
            settings_pipe: Some(pipe),
            messages,
            progress: BTreeMap::new(),
            report: None,
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process is ready.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        match self.messages.recv_timeout(START_TIMEOUT) {
            Ok(RoleMessage::Ready) => Ok(()),
            _ => Err(format!(
                "{}: the process did not become ready",
                self.role.name()
            )),
        }
    }

    /// Returns the messages since the last call, other than progress and the report, which are kept in the fields.
    pub fn receive_messages(&mut self) -> Vec<RoleMessage> {
        let mut messages = Vec::new();
        while let Ok(message) = self.messages.try_recv() {
            if let Some(message) = self.handle_message(message) {
                messages.push(message);
            }
        }
        messages
    }

    /// Keeps progress and the report; returns any other message.
    fn handle_message(&mut self, message: RoleMessage) -> Option<RoleMessage> {
        match message {
            RoleMessage::Progress(figures) => self.progress = figures,
            RoleMessage::Report(report) => self.report = Some(report),
            other => return Some(other),
        }
        None
    }

    /// Whether the process has exited without a report.
    pub fn has_failed(&mut self) -> bool {
        if self.report.is_some() || !matches!(self.child.try_wait(), Ok(Some(_))) {
            return false;
        }
        // Its last messages may not have been received yet.
        while let Ok(message) = self.messages.recv() {
            self.handle_message(message);
        }
        self.report.is_none()
    }

    /// Tells the process to stop, without waiting for it.
    pub fn request_stop(&mut self) {
        self.settings_pipe = None;
    }

    /// Stops the process and waits for its report; kills it after `STOP_TIMEOUT`.
    pub fn stop(&mut self) -> Result<RoleReport, String> {
        self.request_stop();
        let deadline = Instant::now() + STOP_TIMEOUT;
        while self.report.is_none() {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.messages.recv_timeout(left) {
                Ok(message) => drop(self.handle_message(message)),
                Err(_) => break,
            }
        }
        if self.report.is_none() {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
        let report = self.report.take();
        report
            .map(|r| *r)
            .ok_or_else(|| format!("{}: the process exited without a report", self.role.name()))
    }
}

impl Drop for RoleProcess {
    /// Leaves no process behind when an experiment fails: closing the pipe stops the role, which kills the processes that
    /// it has started.
    fn drop(&mut self) {
        self.request_stop();
        let deadline = Instant::now() + Duration::from_secs(5);
        while Instant::now() < deadline {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Resources used by a process: CPU time since its start, and memory and sockets now.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    pub cpu_s: f64,
    pub memory_bytes: u64,
    pub socket_count: u64,
}

/// Reads the resources used by a process; none if it has exited.
pub fn read_usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The program's name in parentheses may contain spaces and parentheses.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let resident_memory = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = resident_memory.split_whitespace().next()?.parse().ok()?;
    let sockets = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    let sockets = sockets.flatten().filter(|entry| {
        std::fs::read_link(entry.path())
            .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"))
    });
    Some(Usage {
        cpu_s: ticks / CLOCK_TICKS_PER_S,
        memory_bytes: kib * 1024,
        socket_count: sockets.count() as u64,
    })
}

/// Resources that a process used in the measured window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessFigures {
    pub name: String,
    /// Cores used on average, and in the sampling interval (1 s) with the highest use.
    pub cpu_mean: f64,
    pub cpu_peak: f64,
    pub memory_mb_mean: f64,
    pub memory_mb_max: f64,
    pub sockets_max: u64,
    /// Number of starts: more than one for controllers that were killed or exited.
    pub starts: u32,
}

/// Aggregated samples of one process over a run.
#[derive(Debug, Default)]
struct Samples {
    starts: u32,
    /// Time of the last sample, the process id and its CPU time.
    last_sample: Option<(Instant, u32, f64)>,
    cpu_s: f64,
    sampled_s: f64,
    cpu_peak: f64,
    memory_bytes: Vec<u64>,
    sockets_max: u64,
}

/// Samples the resource use of all processes of a run.
#[derive(Debug, Default)]
pub struct Sampler {
    by_name: BTreeMap<String, Samples>,
    pids: HashMap<String, u32>,
}

impl Sampler {
    /// Adds a process to sample, or a new process id after a restart.
    pub fn add(&mut self, name: &str, pid: u32) {
        self.pids.insert(name.to_owned(), pid);
        self.by_name.entry(name.to_owned()).or_default().starts += 1;
    }

    /// Number of processes that are sampled.
    pub fn process_count(&self) -> usize {
        self.pids.len()
    }

    /// Samples each process and returns the memory of all in bytes. Samples count only in the measured window.
    pub fn sample(&mut self, in_window: bool) -> u64 {
        let mut total_memory_bytes = 0;
        for (name, pid) in &self.pids {
            let Some(usage) = read_usage(*pid) else {
                continue;
            };
            total_memory_bytes += usage.memory_bytes;
            let Some(samples) = self.by_name.get_mut(name) else {
                continue;
            };
            samples.add(*pid, usage, in_window);
        }
        total_memory_bytes
    }

    /// The figures of all processes.
    pub fn figures(&self) -> Vec<ProcessFigures> {
        let figures = self.by_name.iter();
        figures
            .map(|(name, samples)| samples.figures(name))
            .collect()
    }
}

impl Samples {
    fn add(&mut self, pid: u32, usage: Usage, in_window: bool) {
        let now = Instant::now();
        let previous = self.last_sample.replace((now, pid, usage.cpu_s));
        if !in_window {
            return;
        }
        self.memory_bytes.push(usage.memory_bytes);
        self.sockets_max = self.sockets_max.max(usage.socket_count);
        if let Some((at, _, cpu_s)) = previous.filter(|(_, previous_pid, _)| *previous_pid == pid) {
            let passed_s = now.duration_since(at).as_secs_f64();
            let used_s = usage.cpu_s - cpu_s;
            self.cpu_s += used_s;
            self.sampled_s += passed_s;
            self.cpu_peak = self.cpu_peak.max(used_s / passed_s.max(0.1));
        }
    }

    fn figures(&self, name: &str) -> ProcessFigures {
        let mb = |bytes: f64| bytes / 1e6;
        let count = self.memory_bytes.len().max(1) as f64;
        ProcessFigures {
            name: name.to_owned(),
            cpu_mean: self.cpu_s / self.sampled_s.max(0.1),
            cpu_peak: self.cpu_peak,
            memory_mb_mean: mb(self.memory_bytes.iter().sum::<u64>() as f64 / count),
            memory_mb_max: mb(self.memory_bytes.iter().max().copied().unwrap_or_default() as f64),
            sockets_max: self.sockets_max,
            starts: self.starts,
        }
    }
}
