//! The rate limit of the simulated services, and the limits of this host on the memory, processes and open files of an
//! experiment.

use crate::config::Experiment;
use std::fs;
use thiserror::Error;

/// Most memory of all processes of an experiment; half of the host's memory is a limit as well.
pub const MAX_MEMORY_BYTES: u64 = 12 * 1024 * 1024 * 1024;
/// An experiment must have fewer processes than this.
pub const PROCESS_LIMIT: usize = 300;
/// Time after the end of an experiment's duration at which it is stopped even if the users have not ended.
pub const MAX_OVERTIME_S: f64 = 90.0;

/// Expected memory of the parts of a run, with a small margin.
const WORKER_BYTES: u64 = 64 * 1024;
const CONTROLLER_BYTES: u64 = 32 * 1024 * 1024;
const CONTROLLER_BYTES_PER_WORKER: u64 = 24 * 1024;
const SIMULATED_PROCESS_BYTES: u64 = 64 * 1024 * 1024;
/// Open files that a process needs besides the sockets of workers and controllers.
const OTHER_OPEN_FILES: u64 = 200;

/// An experiment that exceeds the limits of this host.
#[derive(Debug, Error)]
pub enum LimitError {
    #[error(
        "field `{field}`: one process needs {needed} open files ({why}), its limit is {limit}"
    )]
    OpenFiles {
        field: &'static str,
        needed: u64,
        limit: u64,
        why: &'static str,
    },
    #[error(
        "field `workers.count`: about {needed} MiB of memory needed, {allowed} MiB allowed: {why}"
    )]
    ExpectedMemory {
        needed: u64,
        allowed: u64,
        why: &'static str,
    },
    #[error("stopped: the experiment uses {used} MiB of memory, {allowed} MiB are allowed")]
    MemoryInUse { used: u64, allowed: u64 },
    #[error("field `workers.per_process`: {0} processes, fewer than {PROCESS_LIMIT} are allowed")]
    Processes(usize),
    #[error("cannot read the limits of this host from {0}")]
    Unreadable(&'static str),
}

/// A token bucket.
#[derive(Debug)]
pub struct RateLimit {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at_ms: u64,
}

impl RateLimit {
    /// A full bucket that allows bursts of `burst_s` seconds' worth of requests, at least one.
    pub fn new(per_s: f64, burst_s: f64) -> Self {
        let burst = (per_s * burst_s).max(1.0);
        RateLimit {
            per_s,
            burst,
            tokens: burst,
            refilled_at_ms: 0,
        }
    }

    /// Takes a token; false if there is none.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let passed_s = now_ms.saturating_sub(self.refilled_at_ms) as f64 / 1_000.0;
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
        self.tokens = (self.tokens + passed_s * self.per_s).min(self.burst);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Resources of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostResources {
    pub memory_bytes: u64,
    pub available_bytes: u64,
    /// Open files that one process may have.
    pub max_open_files: u64,
}

impl HostResources {
    /// Reads the resources from `/proc`.
    pub fn read() -> Result<Self, LimitError> {
        let memory = fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
        let bytes_of = |name: &str| number_after(&memory, name).map(|kib| kib * 1024);
        Ok(HostResources {
            memory_bytes: bytes_of("MemTotal:").ok_or(LimitError::Unreadable("/proc/meminfo"))?,
            available_bytes: bytes_of("MemAvailable:")
                .ok_or(LimitError::Unreadable("/proc/meminfo"))?,
            max_open_files: number_after(&limits, "Max open files")
                .ok_or(LimitError::Unreadable("/proc/self/limits"))?,
        })
    }

    /// Memory that an experiment may use.
    pub fn allowed_memory_bytes(&self) -> u64 {
        MAX_MEMORY_BYTES.min(self.memory_bytes / 2)
    }

    /// Checks an experiment's expected use of resources before it starts.
    pub fn check_expected_use(&self, experiment: &Experiment) -> Result<(), LimitError> {
        self.check_open_files(experiment)?;
        let processes = experiment.worker_process_count() as usize;
        check_processes(processes + experiment.controllers.count as usize + 5)?;
        let workers = u64::from(experiment.workers.count);
        let controllers = u64::from(experiment.controllers.count);
        let needed = workers * (WORKER_BYTES + CONTROLLER_BYTES_PER_WORKER)
            + controllers * CONTROLLER_BYTES
            + (processes as u64 + 4) * SIMULATED_PROCESS_BYTES;
        let exceeded = |allowed: u64, why| LimitError::ExpectedMemory {
            needed: needed >> 20,
            allowed: allowed >> 20,
            why,
        };
        if needed > self.allowed_memory_bytes() {
            return Err(exceeded(
                self.allowed_memory_bytes(),
                "half of the host's memory, 12 GiB at most",
            ));
        }
        if needed > self.available_bytes {
            return Err(exceeded(
                self.available_bytes,
                "the rest of the host's memory is in use",
            ));
        }
        Ok(())
    }

    fn check_open_files(&self, experiment: &Experiment) -> Result<(), LimitError> {
        let controllers = u64::from(experiment.controllers.count);
        // For each worker a listener, the connection for heartbeats, and connections for direct calls: one from each
        // controller, two at most.
        let workers = u64::from(experiment.workers.per_process.min(experiment.workers.count));
        let needed = workers * (2 + controllers.min(2)) + OTHER_OPEN_FILES;
        self.check_open_file_limit(
            needed,
            "workers.per_process",
            "listeners and connections of workers",
        )?;
        // A controller that leads all partitions has a connection for the heartbeats of every worker, and connections for
        // direct calls to half of them.
        let workers = u64::from(experiment.workers.count);
        let needed = workers + workers / 2 + OTHER_OPEN_FILES;
        self.check_open_file_limit(needed, "workers.count", "all workers at one controller")
    }

    fn check_open_file_limit(
        &self,
        needed: u64,
        field: &'static str,
        why: &'static str,
    ) -> Result<(), LimitError> {
        if needed <= self.max_open_files {
            return Ok(());
        }
        Err(LimitError::OpenFiles {
            field,
            needed,
            limit: self.max_open_files,
            why,
        })
    }

    /// Checks the memory that a running experiment uses.
    pub fn check_memory_use(&self, used_bytes: u64) -> Result<(), LimitError> {
        let allowed = self.allowed_memory_bytes();
        if used_bytes <= allowed {
            return Ok(());
        }
        Err(LimitError::MemoryInUse {
            used: used_bytes >> 20,
            allowed: allowed >> 20,
        })
    }
}

/// Checks the number of processes of an experiment.
pub fn check_processes(count: usize) -> Result<(), LimitError> {
    if count < PROCESS_LIMIT {
        return Ok(());
    }
    Err(LimitError::Processes(count))
}

/// The number after `name` on the first line that begins with it.
fn number_after(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line[name.len()..].split_whitespace().next()?.parse().ok()
}
