//! The processes of a run: their start, their messages, their measurement and their end.

use crate::role::{Role, RoleMessage, RoleReport, RoleSettings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// Clock ticks a second in `/proc/PID/stat`, which the kernel keeps at 100 for every program.
const TICKS_PER_S: f64 = 100.0;
/// How long a process may take to begin and to end.
const START_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// A process of a role.
pub struct RoleProcess {
    pub role: Role,
    child: Child,
    settings_pipe: Option<ChildStdin>,
    messages: mpsc::Receiver<RoleMessage>,
    /// Newest figures that it has told.
    pub progress: BTreeMap<String, f64>,
    pub report: Option<Box<RoleReport>>,
}

impl RoleProcess {
    /// Starts a process and gives it its settings.
    pub fn start(program: &Path, settings: &RoleSettings) -> Result<Self, String> {
        let name = settings.role.name();
        let mut child = Command::new(program)
            .arg("role")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{name}: cannot start: {e}"))?;
        let mut pipe = child.stdin.take().ok_or("no pipe to the process")?;
        let output = child.stdout.take().ok_or("no pipe from the process")?;
        let line = serde_json::to_string(settings).map_err(|e| e.to_string())?;
        writeln!(pipe, "{line}").map_err(|e| format!("{name}: no settings: {e}"))?;
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

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it can be used.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        match self.messages.recv_timeout(START_TIMEOUT) {
            Ok(RoleMessage::Ready) => Ok(()),
            _ => Err(format!("{}: it did not begin", self.role.name())),
        }
    }

    /// What it has said since the last time.
    pub fn receive_messages(&mut self) -> Vec<RoleMessage> {
        let mut messages = Vec::new();
        while let Ok(message) = self.messages.try_recv() {
            if let Some(message) = self.note(message) {
                messages.push(message);
            }
        }
        messages
    }

    fn note(&mut self, message: RoleMessage) -> Option<RoleMessage> {
        match message {
            RoleMessage::Progress(figures) => self.progress = figures,
            RoleMessage::Report(report) => self.report = Some(report),
            other => return Some(other),
        }
        None
    }

    /// Whether it ended without a report.
    pub fn has_failed(&mut self) -> bool {
        if self.report.is_some() || !matches!(self.child.try_wait(), Ok(Some(_))) {
            return false;
        }
        // Its last lines may still be on their way to us.
        while let Ok(message) = self.messages.recv() {
            self.note(message);
        }
        self.report.is_none()
    }

    /// Tells it to stop, without waiting.
    pub fn request_stop(&mut self) {
        self.settings_pipe = None;
    }

    /// Waits for its report and its end; kills it if it takes too long.
    pub fn stop(&mut self) -> Result<RoleReport, String> {
        self.request_stop();
        let until = Instant::now() + STOP_TIMEOUT;
        while self.report.is_none() {
            let left = until.saturating_duration_since(Instant::now());
            match self.messages.recv_timeout(left) {
                Ok(message) => drop(self.note(message)),
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
            .ok_or_else(|| format!("{}: it ended without a report", self.role.name()))
    }
}

impl Drop for RoleProcess {
    /// An experiment that fails leaves nothing behind: the pipe's end stops the role, which ends what it
    /// has started.
    fn drop(&mut self) {
        self.request_stop();
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a process uses at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    pub cpu_s: f64,
    pub memory: u64,
    pub sockets: u64,
}

/// Reads what a process uses; none once it has ended.
pub fn usage(pid: u32) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may contain anything.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let memory = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = memory.split_whitespace().next()?.parse().ok()?;
    let sockets = std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?;
    let sockets = sockets.flatten().filter(|entry| {
        std::fs::read_link(entry.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    });
    Some(Usage {
        cpu_s: ticks / TICKS_PER_S,
        memory: kib * 1024,
        sockets: sockets.count() as u64,
    })
}

/// What a process used in the measured window.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ProcessFigures {
    pub name: String,
    /// Cores used on average, and in the second in which it used the most.
    pub cpu_mean: f64,
    pub cpu_peak: f64,
    pub memory_mb_mean: f64,
    pub memory_mb_max: f64,
    pub sockets_max: u64,
    /// Starts; more than one for controllers that were killed or ended.
    pub starts: u32,
}

/// Samples of one process over a run.
#[derive(Debug, Default)]
struct Samples {
    starts: u32,
    last: Option<(Instant, u32, f64)>,
    cpu_s: f64,
    seconds: f64,
    cpu_peak: f64,
    memory: Vec<u64>,
    sockets_max: u64,
}

/// Samples all processes of a run.
#[derive(Debug, Default)]
pub struct Sampler {
    by_name: BTreeMap<String, Samples>,
    pids: HashMap<String, u32>,
}

impl Sampler {
    /// A process that is to be measured; again if it was started again.
    pub fn add(&mut self, name: &str, pid: u32) {
        self.pids.insert(name.to_owned(), pid);
        self.by_name.entry(name.to_owned()).or_default().starts += 1;
    }

    /// Number of processes that are measured.
    pub fn process_count(&self) -> usize {
        self.pids.len()
    }

    /// Takes one sample of each process; it counts if the window has begun. Returns the memory of all.
    pub fn sample(&mut self, in_window: bool) -> u64 {
        let mut all = 0;
        for (name, pid) in &self.pids {
            let Some(usage) = usage(*pid) else { continue };
            all += usage.memory;
            let Some(samples) = self.by_name.get_mut(name) else {
                continue;
            };
            samples.take(*pid, usage, in_window);
        }
        all
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
    fn take(&mut self, pid: u32, usage: Usage, in_window: bool) {
        let now = Instant::now();
        let before = self.last.replace((now, pid, usage.cpu_s));
        if !in_window {
            return;
        }
        self.memory.push(usage.memory);
        self.sockets_max = self.sockets_max.max(usage.sockets);
        if let Some((at, _, cpu_s)) = before.filter(|(_, same, _)| *same == pid) {
            let passed = now.duration_since(at).as_secs_f64();
            let used = usage.cpu_s - cpu_s;
            self.cpu_s += used;
            self.seconds += passed;
            self.cpu_peak = self.cpu_peak.max(used / passed.max(0.1));
        }
    }

    fn figures(&self, name: &str) -> ProcessFigures {
        let mb = |bytes: f64| bytes / 1e6;
        let count = self.memory.len().max(1) as f64;
        ProcessFigures {
            name: name.to_owned(),
            cpu_mean: self.cpu_s / self.seconds.max(0.1),
            cpu_peak: self.cpu_peak,
            memory_mb_mean: mb(self.memory.iter().sum::<u64>() as f64 / count),
            memory_mb_max: mb(self.memory.iter().max().copied().unwrap_or_default() as f64),
            sockets_max: self.sockets_max,
            starts: self.starts,
        }
    }
}
