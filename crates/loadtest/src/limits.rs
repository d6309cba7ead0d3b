//! Limits: those of the stand-ins, and those that the machine and the operators set to an experiment.

use crate::config::Experiment;
use std::fs;
use thiserror::Error;

/// Most memory of all processes of an experiment; also under half of the machine's.
pub const MAX_MEMORY_BYTES: u64 = 12 * 1024 * 1024 * 1024;
/// Fewer processes than this.
pub const PROCESS_LIMIT: usize = 300;
/// Time beyond an experiment's duration after which it is stopped in any case.
pub const MAX_OVERTIME_S: f64 = 90.0;

/// Expected memory of the parts of a run, a little above what was measured.
const WORKER_BYTES: u64 = 64 * 1024;
const CONTROLLER_BYTES: u64 = 32 * 1024 * 1024;
const CONTROLLER_BYTES_A_WORKER: u64 = 24 * 1024;
const STANDIN_BYTES: u64 = 64 * 1024 * 1024;
/// Descriptors that a process needs besides its workers' and controllers'.
const SPARE_DESCRIPTORS: u64 = 200;

/// An experiment that this machine does not hold.
#[derive(Debug, Error)]
pub enum LimitError {
    #[error(
        "field `{field}`: {needed} descriptors needed in one process ({why}), its limit is {limit}"
    )]
    Descriptors {
        field: &'static str,
        needed: u64,
        limit: u64,
        why: &'static str,
    },
    #[error("field `workers.count`: about {needed} MiB needed, {allowed} MiB allowed: {why}")]
    ExpectedMemory {
        needed: u64,
        allowed: u64,
        why: &'static str,
    },
    #[error("{used} MiB in use by the experiment, {allowed} MiB allowed: stopped")]
    MemoryInUse { used: u64, allowed: u64 },
    #[error("field `workers.per_process`: {0} processes, fewer than {PROCESS_LIMIT} are allowed")]
    Processes(usize),
    #[error("{0} is not readable: the limits are not known")]
    Unreadable(&'static str),
}

/// A token bucket.
#[derive(Debug)]
pub struct RateLimit {
    per_s: f64,
    burst: f64,
    level: f64,
    at_ms: u64,
}

impl RateLimit {
    /// A full bucket that allows bursts of so many seconds' worth.
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let burst = (per_s * burst_s).max(1.0);
        RateLimit {
            per_s,
            burst,
            level: burst,
            at_ms: 0,
        }
    }

    /// Takes one, if there is one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.at_ms = self.at_ms.max(now_ms);
        self.level = (self.level + passed * self.per_s).min(self.burst);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}

/// What this machine has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostResources {
    pub memory_bytes: u64,
    pub available_bytes: u64,
    pub max_open_files: u64,
}

impl HostResources {
    /// Reads what the kernel says.
    pub fn read() -> Result<Self, LimitError> {
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let kib = |name: &str| number_after(&memory, name).map(|kib| kib * 1024);
        Ok(HostResources {
            memory_bytes: kib("MemTotal:").ok_or(LimitError::Unreadable("/proc/meminfo"))?,
            available_bytes: kib("MemAvailable:").ok_or(LimitError::Unreadable("/proc/meminfo"))?,
            max_open_files: number_after(&limits, "Max open files")
                .ok_or(LimitError::Unreadable("/proc/self/limits"))?,
        })
    }

    /// Memory that an experiment may use.
    pub fn allowed_memory(&self) -> u64 {
        MAX_MEMORY_BYTES.min(self.memory_bytes / 2)
    }

    /// Whether an experiment fits, by what is expected of it.
    pub fn check_expected_use(&self, experiment: &Experiment) -> Result<(), LimitError> {
        self.check_descriptors(experiment)?;
        let processes = experiment.worker_processes() as usize;
        check_processes(processes + experiment.controllers.count as usize + 5)?;
        let workers = u64::from(experiment.workers.count);
        let controllers = u64::from(experiment.controllers.count);
        let needed = workers * (WORKER_BYTES + CONTROLLER_BYTES_A_WORKER)
            + controllers * CONTROLLER_BYTES
            + (processes as u64 + 4) * STANDIN_BYTES;
        let over = |allowed: u64, why| LimitError::ExpectedMemory {
            needed: needed >> 20,
            allowed: allowed >> 20,
            why,
        };
        if needed > self.allowed_memory() {
            return Err(over(
                self.allowed_memory(),
                "half of the machine, 12 GiB at most",
            ));
        }
        if needed > self.available_bytes {
            return Err(over(self.available_bytes, "the rest is in use"));
        }
        Ok(())
    }

    fn check_descriptors(&self, experiment: &Experiment) -> Result<(), LimitError> {
        let controllers = u64::from(experiment.controllers.count);
        // A listener, the connection for reports, and one for direct commands from each controller.
        let workers = u64::from(experiment.workers.per_process.min(experiment.workers.count));
        let needed = workers * (2 + controllers.min(2)) + SPARE_DESCRIPTORS;
        self.has(
            needed,
            "workers.per_process",
            "listeners and connections of workers",
        )?;
        // A controller that leads all partitions has every worker's report, and asks half of them.
        let workers = u64::from(experiment.workers.count);
        let needed = workers + workers / 2 + SPARE_DESCRIPTORS;
        self.has(needed, "workers.count", "all workers at one controller")
    }

    fn has(&self, needed: u64, field: &'static str, why: &'static str) -> Result<(), LimitError> {
        if needed <= self.max_open_files {
            return Ok(());
        }
        Err(LimitError::Descriptors {
            field,
            needed,
            limit: self.max_open_files,
            why,
        })
    }

    /// Whether a running experiment is still within its memory.
    pub fn check_memory_use(&self, used: u64) -> Result<(), LimitError> {
        let allowed = self.allowed_memory();
        if used <= allowed {
            return Ok(());
        }
        Err(LimitError::MemoryInUse {
            used: used >> 20,
            allowed: allowed >> 20,
        })
    }
}

/// Whether there are fewer processes than allowed.
pub fn check_processes(count: usize) -> Result<(), LimitError> {
    if count < PROCESS_LIMIT {
        return Ok(());
    }
    Err(LimitError::Processes(count))
}

fn number_after(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line[name.len()..].split_whitespace().next()?.parse().ok()
}
