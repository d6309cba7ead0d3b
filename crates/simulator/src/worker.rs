//! Stand-in of a worker.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::{Command, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

/// A task on the machine.
#[derive(Debug, Clone)]
pub struct WorkerTask {
    pub state: TaskState,
    pub exit_cause: Option<ExitCause>,
    pub fetched_at: u64,
    pub done_at: Option<u64>,
    /// When a task that was told to stop will have saved.
    pub saved_at: Option<u64>,
}

impl WorkerTask {
    /// Whether the task counts as being on its machine.
    pub fn is_present(&self) -> bool {
        !matches!(self.state, TaskState::Fetching | TaskState::Exited)
    }
}

/// A task and its attempt.
pub type TaskKey = (String, u64);

/// Something that happened on the worker and that the rules look at.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskTransition {
    Started(String),
    Done(String),
}

/// Class of jobs that were submitted with a mistake and fail on every machine.
pub const FAILING_CLASS: &str = "mistaken";

/// The worker of one machine.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub epoch: u64,
    seq: u64,
    pub token: u64,
    pub tasks: BTreeMap<TaskKey, WorkerTask>,
    images: BTreeSet<String>,
    /// Sending time of the last answered heartbeat, or the begin of the session.
    lease_from: u64,
    pub controller: usize,
    /// The heartbeat in flight: its number, its sending time, its session.
    pub in_flight: Option<(u64, u64, u64)>,
    pub next_heartbeat_at: u64,
    pub last_heartbeat_at: u64,
    pub status_changed: bool,
    pub hung_until: u64,
    pub dead: bool,
    /// It ended with tasks on it.
    pub crashed_with_tasks: bool,
    /// Tasks that were completed here; their results are kept.
    results: BTreeSet<String>,
    pub fails_all_tasks: bool,
    /// Commands that stop tasks are ignored, against the rules.
    pub ignores_stops: bool,
    gang_wait: u64,
    /// Tasks that it has killed since its lease had run out.
    pub tasks_killed_by_lease: u64,
    gangs: BTreeMap<TaskKey, u64>,
}

impl Worker {
    /// A worker that begins now.
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, now: u64) -> Self {
        Worker {
            name: name.into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            epoch: 1,
            seq: 0,
            token: 0,
            tasks: BTreeMap::new(),
            images: BTreeSet::new(),
            lease_from: now,
            controller: 0,
            in_flight: None,
            next_heartbeat_at: now,
            last_heartbeat_at: 0,
            status_changed: false,
            hung_until: 0,
            dead: false,
            crashed_with_tasks: false,
            results: BTreeSet::new(),
            fails_all_tasks: false,
            ignores_stops: false,
            gang_wait: 45_000,
            tasks_killed_by_lease: 0,
            gangs: BTreeMap::new(),
        }
    }

    /// The next message about the machine.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.seq += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: format!("{}:9000", self.name),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            worker_epoch: self.epoch,
            sequence_number: self.seq,
            token: self.token,
            reclaimed_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), held)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: held.state,
                    exit_cause: held.exit_cause,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    /// Whether something newer than this heartbeat has been sent.
    pub fn has_sent_newer(&self, report: &Heartbeat) -> bool {
        (report.worker_epoch, report.sequence_number) < (self.epoch, self.seq)
    }

    /// Ends the session if the lease has run out.
    pub fn check_lease(&mut self, now: u64, lease: u64) {
        if now > self.lease_from + lease {
            self.epoch += 1;
            self.tasks_killed_by_lease +=
                self.tasks.values().filter(|held| held.is_present()).count() as u64;
            self.tasks.clear();
            self.gangs.clear();
            self.lease_from = now;
            self.status_changed = true;
        }
    }

    /// An answer to the heartbeat numbered `number`. False if it is dropped.
    pub fn handle_heartbeat_response(
        &mut self,
        number: u64,
        answer: &HeartbeatResponse,
        now: u64,
        jobs: &HashMap<String, JobRequest>,
    ) -> bool {
        let Some((current, sent, session)) = self.in_flight else {
            return false;
        };
        if current != number {
            return false;
        }
        self.in_flight = None;
        if answer.token < self.token || session != self.epoch {
            return false;
        }
        self.raise(answer.token);
        self.lease_from = self.lease_from.max(sent);
        for command in &answer.commands {
            self.execute(command, now, jobs);
        }
        true
    }

    /// Keeps the lease up without an answer to a heartbeat, as no worker may.
    pub fn renew_without_reply(&mut self, now: u64) {
        self.lease_from = now;
    }

    fn raise(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.status_changed = true;
        }
    }

    /// Direct commands; true if executed.
    pub fn handle_direct_call(
        &mut self,
        token: u64,
        session: u64,
        commands: &[Command],
        now: u64,
        jobs: &HashMap<String, JobRequest>,
    ) -> bool {
        if token < self.token || session != self.epoch {
            return false;
        }
        self.raise(token);
        for command in commands {
            self.execute(command, now, jobs);
        }
        true
    }

    fn execute(&mut self, command: &Command, now: u64, jobs: &HashMap<String, JobRequest>) {
        match command {
            Command::Launch { task, attempt } => self.start_task(task, *attempt, now, jobs),
            Command::Stop { .. } if self.ignores_stops => {}
            Command::Stop {
                task,
                attempt,
                grace_s,
            } => {
                let job = jobs.get(task.split('/').next().unwrap_or_default());
                self.stop_task(task, *attempt, *grace_s, job, now);
            }
            Command::Forget { task, attempt } => {
                let key = (task.clone(), *attempt);
                if self
                    .tasks
                    .get(&key)
                    .is_some_and(|h| h.state == TaskState::Exited)
                {
                    self.tasks.remove(&key);
                }
            }
        }
    }

    fn start_task(
        &mut self,
        task: &str,
        attempt: u64,
        now: u64,
        jobs: &HashMap<String, JobRequest>,
    ) {
        let key = (task.to_owned(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        self.status_changed = true;
        let id = task.split('/').next().unwrap_or_default();
        let exited = |why| WorkerTask {
            state: TaskState::Exited,
            exit_cause: Some(why),
            fetched_at: 0,
            done_at: None,
            saved_at: None,
        };
        let Some(job) = jobs.get(id) else {
            self.tasks.insert(key, exited(ExitCause::Unknown));
            return;
        };
        let busy = self
            .tasks
            .iter()
            .any(|((other, _), held)| other == task && held.state != TaskState::Exited);
        if busy {
            self.tasks.insert(key, exited(ExitCause::Busy));
            return;
        }
        let live = self
            .tasks
            .iter()
            .filter(|(_, h)| h.state != TaskState::Exited);
        let used: f64 = live
            .filter_map(|((other, _), _)| jobs.get(other.split('/').next()?))
            .map(|j| j.cpus)
            .sum();
        if used + job.cpus > 4.0 {
            self.tasks.insert(key, exited(ExitCause::NoFreeCapacity));
            return;
        }
        let fetch = if self.images.contains(&job.image) {
            0
        } else {
            (job.image_gb * 1000.0) as u64
        };
        self.tasks.insert(
            key,
            WorkerTask {
                state: TaskState::Fetching,
                exit_cause: None,
                fetched_at: now + fetch,
                done_at: None,
                saved_at: None,
            },
        );
    }

    fn stop_task(
        &mut self,
        task: &str,
        attempt: u64,
        grace_s: f64,
        job: Option<&JobRequest>,
        now: u64,
    ) {
        let save_s = job
            .filter(|j| j.checkpoint_interval_s > 0.0)
            .map(|j| j.checkpoint_save_time_s);
        if let Some(held) = self.tasks.get_mut(&(task.to_owned(), attempt)) {
            let saves = save_s.filter(|s| *s <= grace_s && grace_s > 0.0);
            match (held.state, saves) {
                (TaskState::Exited, _) => {}
                // Only a second command without grace ends a task that is saving.
                (TaskState::Saving, _) if grace_s > 0.0 => {}
                (TaskState::Running, Some(save_s)) => {
                    held.state = TaskState::Saving;
                    held.saved_at = Some(now + (save_s * 1_000.0) as u64);
                    self.status_changed = true;
                }
                _ => {
                    held.state = TaskState::Exited;
                    held.exit_cause = Some(ExitCause::Stopped);
                    self.status_changed = true;
                }
            }
        }
    }

    /// Lets tasks go on. A gang's tasks start through [`Worker::set_gang_task_state`].
    pub fn advance(
        &mut self,
        now: u64,
        jobs: &HashMap<String, JobRequest>,
        run_ms: impl Fn(&str) -> u64,
    ) -> Vec<TaskTransition> {
        let mut transitions = Vec::new();
        for ((task, attempt), held) in &mut self.tasks {
            let Some(job) = jobs.get(task.split('/').next().unwrap_or_default()) else {
                continue;
            };
            if held.state == TaskState::Fetching && now >= held.fetched_at {
                self.images.insert(job.image.clone());
                transitions.push(TaskTransition::Started(task.clone()));
                self.status_changed = true;
                if self.fails_all_tasks || job.class == FAILING_CLASS {
                    held.state = TaskState::Exited;
                    held.exit_cause = Some(ExitCause::Error);
                    continue;
                }
                if self.results.contains(task) {
                    held.state = TaskState::Exited;
                    held.exit_cause = Some(ExitCause::Done);
                    continue;
                }
                if job.kind == JobKind::Gang {
                    held.state = TaskState::Waiting;
                    self.gangs.insert((task.clone(), *attempt), now);
                } else {
                    held.state = TaskState::Running;
                    if job.kind == JobKind::Array {
                        held.done_at = Some(now + run_ms(task));
                    }
                }
            }
            if held.state == TaskState::Saving && held.saved_at.is_some_and(|at| now >= at) {
                held.state = TaskState::Exited;
                held.exit_cause = Some(ExitCause::Stopped);
                self.status_changed = true;
            }
            if held.state == TaskState::Waiting {
                let since = self
                    .gangs
                    .get(&(task.clone(), *attempt))
                    .copied()
                    .unwrap_or(now);
                if now > since + self.gang_wait {
                    held.state = TaskState::Exited;
                    held.exit_cause = Some(ExitCause::GangIncomplete);
                    self.status_changed = true;
                }
            }
            // A gang's tasks end together, see `World::step_gangs`.
            if job.kind == JobKind::Array
                && held.state == TaskState::Running
                && held.done_at.is_some_and(|at| now >= at)
            {
                held.state = TaskState::Exited;
                held.exit_cause = Some(ExitCause::Done);
                self.results.insert(task.clone());
                transitions.push(TaskTransition::Done(task.clone()));
                self.status_changed = true;
            }
        }
        transitions
    }

    /// A gang's task starts or ends with the others.
    pub fn set_gang_task_state(&mut self, key: &TaskKey, state: TaskState, why: Option<ExitCause>) {
        if let Some(held) = self.tasks.get_mut(key) {
            held.state = state;
            held.exit_cause = why;
            self.status_changed = true;
            if why == Some(ExitCause::Done) {
                self.results.insert(key.0.clone());
            }
        }
    }

    /// Whether a heartbeat is due.
    pub fn heartbeat_due(&self, now: u64) -> bool {
        self.in_flight.is_none()
            && (now >= self.next_heartbeat_at
                || (self.status_changed && now >= self.last_heartbeat_at + 500))
    }
}
