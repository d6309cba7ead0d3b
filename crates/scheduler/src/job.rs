//! A job within a partition, and the placements of its tasks.

use model::{Attempt, FencingToken, JobKind, JobSpec, MachineName, Timestamp, WorkerEpoch};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use wire::workers::TaskState;

/// Tasks whose progress is recorded together.
pub const CHUNK: u32 = 64;

/// Why and how a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// Grace handed to the worker, in ms.
    pub grace_ms: u64,
}

/// A task's one place. It counts against machine and team until it is proven gone.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    pub machine: MachineName,
    pub attempt: Attempt,
    /// Durable in the state service; only then may it be launched.
    pub durable: bool,
    /// Taken over from a predecessor, which may have launched it in ways unknown to us.
    pub inherited: bool,
    /// Session of the worker in which it was launched by us.
    pub launched: Option<WorkerEpoch>,
    /// Launched in the answer to a report. Only the next report settles whether it got there:
    /// the body of a direct answer may be older than the arrival of that answer.
    pub launched_in_response: bool,
    /// A direct launch whose answer never came: it may yet be executed until the worker has
    /// seen a higher token or a newer session.
    pub unconfirmed_launch_of: Option<(FencingToken, WorkerEpoch)>,
    /// State in the newest report.
    pub last_status: Option<TaskState>,
    pub stop: Option<Stop>,
    pub placed_at: Timestamp,
}

/// A job that is neither done nor cleared away.
#[derive(Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// When it was submitted, in ms on a clock that all holders share.
    pub order: u64,
    pub seen_at: Timestamp,
    /// How far its size sets it back in the order.
    pub size_penalty: Duration,
    /// When it should be over, counted from its submission: its own deadline, or what is expected
    /// of its class.
    pub completion_objective: Option<Duration>,
    /// How far what is left of it sets it back further in a shortage.
    pub overload_penalty: Duration,
    pub cancelled: bool,
    /// Until when its machines may be answered while a launch of it that could still arrive is not void:
    /// an answer after that could keep it running for longer than a cancellation allows.
    pub(crate) renew_until: Timestamp,
    /// Its end is being written or has been written.
    pub finishing: bool,
    done: Vec<u64>,
    done_count: u32,
    pub placed: BTreeMap<u32, Placement>,
    /// Next task that has never been queued; later ones enter the queue as room appears.
    pub cursor: u32,
    /// Failures in a row of each task that failed.
    pub failures: BTreeMap<u32, u32>,
    /// Machines on which a task of this job failed, a few at most.
    pub failed_on: Vec<MachineName>,
    pub successes: u32,
    /// The longest that a task took to fail.
    pub longest_failure: Duration,
    /// Best-effort work whose team has had hardly any place for so long that it may take a few
    /// anywhere.
    pub stranded: bool,
    /// Within the team's guarantee at present.
    pub guaranteed: bool,
    /// Within it also if the team's work of higher priority is counted first. Only this protects it
    /// from the higher work of other teams, and only what lies beyond it falls to their guaranteed
    /// work of lower priority.
    pub strictly_guaranteed: bool,
    /// On machines with GPUs it runs beside work that uses them, and takes nothing from it.
    pub only_beside: bool,
    /// When the gang's tasks were first seen running, in this attempt and by this holder.
    pub gang_began: Option<Timestamp>,
}

/// A placed task as the ledger keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedTask(pub u32, pub u64, pub String);

/// Progress of one chunk of a job's tasks, as the ledger keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Bit i: task i of the chunk is done. Hexadecimal, to be exact in every JSON reader.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<PlacedTask>,
}

impl TaskChunk {
    /// Whether nothing is to be remembered.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.placed.is_empty()
    }

    /// Whether all that it says can be taken over.
    pub fn is_sound(&self) -> bool {
        let done = self.done.is_empty() || u64::from_str_radix(&self.done, 16).is_ok();
        let placed = |task: &PlacedTask| task.0 < CHUNK && !task.2.is_empty();
        done && self.placed.iter().all(placed)
    }
}

impl Placement {
    /// A placement that has just been chosen and is known to nobody else.
    pub fn new(machine: MachineName, attempt: Attempt, now: Timestamp) -> Self {
        Placement {
            machine,
            attempt,
            durable: false,
            inherited: false,
            launched: None,
            launched_in_response: false,
            unconfirmed_launch_of: None,
            last_status: None,
            stop: None,
            placed_at: now,
        }
    }

    /// A placement that a predecessor has recorded and may have launched.
    pub fn inherited(machine: MachineName, attempt: Attempt, now: Timestamp) -> Self {
        Placement {
            durable: true,
            inherited: true,
            ..Placement::new(machine, attempt, now)
        }
    }
}

impl Job {
    /// A job of which nothing has run.
    pub fn new(spec: impl Into<Arc<JobSpec>>, order: u64, now: Timestamp) -> Self {
        let spec = spec.into();
        let words = spec.tasks.div_ceil(CHUNK) as usize;
        Job {
            spec,
            order,
            seen_at: now,
            size_penalty: Duration::ZERO,
            completion_objective: None,
            overload_penalty: Duration::ZERO,
            cancelled: false,
            renew_until: Timestamp::default(),
            finishing: false,
            done: vec![0; words],
            done_count: 0,
            placed: BTreeMap::new(),
            cursor: 0,
            failures: BTreeMap::new(),
            failed_on: Vec::new(),
            successes: 0,
            longest_failure: Duration::ZERO,
            stranded: false,
            guaranteed: false,
            strictly_guaranteed: false,
            only_beside: false,
            gang_began: None,
        }
    }

    /// Whether it is best-effort work at present: what lies within a guarantee is not.
    pub fn is_best_effort(&self) -> bool {
        self.spec.is_best_effort() && !self.guaranteed
    }

    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get((index / CHUNK) as usize)
            .is_some_and(|word| word & (1 << (index % CHUNK)) != 0)
    }

    /// Marks a task done; false if it was already.
    pub fn mark_done(&mut self, index: u32) -> bool {
        if index >= self.spec.tasks || self.is_done(index) {
            return false;
        }
        self.done[(index / CHUNK) as usize] |= 1 << (index % CHUNK);
        self.done_count += 1;
        self.failures.remove(&index);
        true
    }

    /// Tasks that are done.
    pub fn done_count(&self) -> u32 {
        self.done_count
    }

    /// Tasks that are neither placed nor done.
    pub(crate) fn waiting(&self) -> u64 {
        u64::from(self.spec.tasks - self.done_count()).saturating_sub(self.placed.len() as u64)
    }

    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.spec.tasks
    }

    /// Tasks that run now, for display.
    pub fn running_count(&self) -> u32 {
        let runs =
            |p: &&Placement| matches!(p.last_status, Some(TaskState::Running | TaskState::Saving));
        self.placed.values().filter(runs).count() as u32
    }

    /// The chunk's progress for the ledger.
    pub fn chunk(&self, chunk: u32) -> TaskChunk {
        let word = self.done.get(chunk as usize).copied().unwrap_or(0);
        let from = chunk * CHUNK;
        let placed = self
            .placed
            .range(from..from + CHUNK)
            .map(|(index, p)| PlacedTask(index - from, p.attempt.0, p.machine.to_string()))
            .collect();
        TaskChunk {
            done: if word == 0 {
                String::new()
            } else {
                format!("{word:x}")
            },
            placed,
        }
    }

    /// Takes over a chunk from the ledger. Placements come back as inherited.
    pub fn restore(&mut self, chunk: u32, body: &TaskChunk, now: Timestamp) {
        let from = chunk * CHUNK;
        if let Ok(word) = u64::from_str_radix(&body.done, 16) {
            for bit in (0..CHUNK).filter(|bit| word & (1 << bit) != 0) {
                self.mark_done(from + bit);
            }
        }
        for PlacedTask(at, attempt, machine) in &body.placed {
            let index = from + at;
            // A gang's tasks are all done with the first, wherever they are.
            let over = self.is_done(index) && self.spec.kind != JobKind::Gang;
            if *at >= CHUNK || index >= self.spec.tasks || over {
                continue;
            }
            let machine = MachineName::from(machine.as_str());
            self.placed
                .insert(index, Placement::inherited(machine, Attempt(*attempt), now));
        }
    }
}
