//! A simulated worker: it runs the tasks of one machine, sends heartbeats and obeys commands.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::users::{JobKind, JobRequest};
use wire::workers::{Command, ExitCause, Heartbeat, HeartbeatResponse, TaskState, TaskStatus};

/// CPUs of each machine.
const MACHINE_CPUS: f64 = 4.0;
/// Least time between two heartbeats of a worker.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 500;

/// A task on the machine. Times are in ms of simulated time.
#[derive(Debug, Clone)]
pub struct WorkerTask {
    pub state: TaskState,
    pub exit_cause: Option<ExitCause>,
    /// When its image will have been fetched.
    pub fetched_at: u64,
    /// When it will have completed; none for services and for gang tasks that do not run yet.
    pub done_at: Option<u64>,
    /// When a task that was told to stop will have saved its checkpoint.
    pub saved_at: Option<u64>,
}

impl WorkerTask {
    /// Whether the task has started on the machine and has not exited.
    pub fn is_present(&self) -> bool {
        !matches!(self.state, TaskState::Fetching | TaskState::Exited)
    }
}

/// What a machine still knows after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineMemory {
    /// Its tasks, worker epoch, sequence number and fencing token: only its worker stopped for a moment.
    All,
    /// The same without tasks, in the next worker epoch.
    NextEpoch,
    /// The same without tasks, in the same worker epoch.
    WithoutTasks,
    /// Nothing. The protocol excludes it: "The message with the larger (`shift`, `tick`) is the newer one".
    Nothing,
}

/// Id of a task and number of its attempt.
pub type TaskKey = (String, u64);

/// A transition of a task that the rules check, with the id of the task.
#[derive(Debug, Clone, PartialEq)]
pub enum TaskTransition {
    /// Its image was fetched and it started.
    Started(String),
    /// It completed.
    Done(String),
}

/// Class of jobs whose tasks fail on every machine, because users made a mistake in them.
pub const FAILING_CLASS: &str = "mistaken";

/// The worker of one machine. Times are in ms of simulated time.
#[derive(Debug)]
pub struct Worker {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// Worker epoch: it rises whenever the lease expires.
    pub epoch: u64,
    sequence_number: u64,
    /// Highest fencing token received.
    pub token: u64,
    pub tasks: BTreeMap<TaskKey, WorkerTask>,
    /// Images in the machine's cache.
    cached_images: BTreeSet<String>,
    /// When the lease began to run: when the last answered heartbeat was sent, or when the epoch began.
    lease_started_at: u64,
    /// Index of the controller that it sends its heartbeats to.
    pub controller: usize,
    /// The heartbeat in flight: its number, when it was sent, and the epoch then.
    pub in_flight: Option<(u64, u64, u64)>,
    pub next_heartbeat_at: u64,
    pub last_heartbeat_at: u64,
    /// Whether its status has changed since the last heartbeat.
    pub status_changed: bool,
    /// Until when the machine hangs.
    pub hung_until: u64,
    pub dead: bool,
    /// Whether the machine crashed while it had tasks.
    pub crashed_with_tasks: bool,
    /// Tasks that completed here. Their results are kept: such a task exits as done when it is launched again.
    completed_tasks: BTreeSet<String>,
    pub fails_all_tasks: bool,
    /// Whether it ignores stop commands, which no correct worker does.
    pub ignores_stops: bool,
    /// How long a gang's task waits for the other tasks of the gang to start.
    gang_start_timeout_ms: u64,
    /// Number of tasks that it has killed because its lease had expired.
    pub tasks_killed_by_lease: u64,
    /// When it was last restarted.
    pub restarted_at: Option<u64>,
    /// How often it started each attempt.
    pub launches: BTreeMap<TaskKey, u64>,
    /// Attempts that it was told to stop, and those that it was told to forget.
    pub stopped_attempts: BTreeSet<TaskKey>,
    pub forgotten_attempts: BTreeSet<TaskKey>,
    /// Since when each task of a gang has been waiting for the other tasks of the gang.
    gang_waits_since: BTreeMap<TaskKey, u64>,
}

impl Worker {
    /// A worker that starts now.
    pub fn new(name: &str, machine_type: &str, zone: &str, spot: bool, now: u64) -> Self {
        Worker {
            name: name.into(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
            epoch: 1,
            sequence_number: 0,
            token: 0,
            tasks: BTreeMap::new(),
            cached_images: BTreeSet::new(),
            lease_started_at: now,
            controller: 0,
            in_flight: None,
            next_heartbeat_at: now,
            last_heartbeat_at: 0,
            status_changed: false,
            hung_until: 0,
            dead: false,
            crashed_with_tasks: false,
            completed_tasks: BTreeSet::new(),
            fails_all_tasks: false,
            ignores_stops: false,
            gang_start_timeout_ms: 45_000,
            tasks_killed_by_lease: 0,
            restarted_at: None,
            launches: BTreeMap::new(),
            stopped_attempts: BTreeSet::new(),
            forgotten_attempts: BTreeSet::new(),
            gang_waits_since: BTreeMap::new(),
        }
    }

    /// Restarts the worker, which sends its next heartbeat at `up_at`. Returns the number of tasks that it lost.
    pub fn restart(&mut self, memory: MachineMemory, up_at: u64) -> u64 {
        self.restarted_at = Some(up_at);
        self.in_flight = None;
        self.next_heartbeat_at = up_at;
        if memory == MachineMemory::All {
            return 0;
        }
        let lost = self.tasks.values().filter(|task| task.is_present()).count();
        self.tasks.clear();
        self.gang_waits_since.clear();
        match memory {
            MachineMemory::NextEpoch => {
                self.epoch += 1;
                self.lease_started_at = up_at;
            }
            MachineMemory::Nothing => {
                self.epoch = 1;
                self.sequence_number = 0;
                self.token = 0;
                self.lease_started_at = up_at;
            }
            MachineMemory::All | MachineMemory::WithoutTasks => {}
        }
        lost as u64
    }

    /// Creates the next heartbeat.
    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence_number += 1;
        Heartbeat {
            machine: self.name.clone(),
            address: format!("{}:9000", self.name),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            worker_epoch: self.epoch,
            sequence_number: self.sequence_number,
            token: self.token,
            reclaimed_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|((task, attempt), status)| TaskStatus {
                    task: task.clone(),
                    attempt: *attempt,
                    state: status.state,
                    exit_cause: status.exit_cause,
                    checkpoint_saved: None,
                })
                .collect(),
        }
    }

    /// Whether a newer heartbeat than this one has been created.
    pub fn has_sent_newer(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.worker_epoch, heartbeat.sequence_number) < (self.epoch, self.sequence_number)
    }

    /// Kills all tasks and begins a new epoch if the lease has expired.
    pub fn check_lease(&mut self, now: u64, lease_ms: u64) {
        if now > self.lease_started_at + lease_ms {
            self.epoch += 1;
            self.tasks_killed_by_lease += self
                .tasks
                .values()
                .filter(|status| status.is_present())
                .count() as u64;
            self.tasks.clear();
            self.gang_waits_since.clear();
            self.lease_started_at = now;
            self.status_changed = true;
        }
    }

    /// Handles the response to the heartbeat with this number. False if it is dropped, since the heartbeat is not the
    /// one in flight, the token is older than one received before or the epoch has ended.
    pub fn handle_heartbeat_response(
        &mut self,
        number: u64,
        response: &HeartbeatResponse,
        now: u64,
        jobs: &HashMap<String, JobRequest>,
    ) -> bool {
        let Some((current_number, sent_at, epoch)) = self.in_flight else {
            return false;
        };
        if current_number != number {
            return false;
        }
        self.in_flight = None;
        if response.token < self.token || epoch != self.epoch {
            return false;
        }
        self.adopt_token(response.token);
        self.lease_started_at = self.lease_started_at.max(sent_at);
        for command in &response.commands {
            self.execute(command, now, jobs);
        }
        true
    }

    /// Renews the lease without a response to a heartbeat, which no correct worker does.
    pub fn renew_without_reply(&mut self, now: u64) {
        self.lease_started_at = now;
    }

    fn adopt_token(&mut self, token: u64) {
        if token > self.token {
            self.token = token;
            self.status_changed = true;
        }
    }

    /// Handles a direct call. False if its commands are not executed, since the token is older than one received
    /// before or they are meant for another epoch.
    pub fn handle_direct_call(
        &mut self,
        token: u64,
        epoch: u64,
        commands: &[Command],
        now: u64,
        jobs: &HashMap<String, JobRequest>,
    ) -> bool {
        if token < self.token || epoch != self.epoch {
            return false;
        }
        self.adopt_token(token);
        for command in commands {
            self.execute(command, now, jobs);
        }
        true
    }

    fn execute(&mut self, command: &Command, now: u64, jobs: &HashMap<String, JobRequest>) {
        match command {
            Command::Launch { task, attempt } => self.launch_task(task, *attempt, now, jobs),
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
                    self.forgotten_attempts.insert(key);
                }
            }
        }
    }

    fn launch_task(
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
        *self.launches.entry(key.clone()).or_default() += 1;
        let id = task.split('/').next().unwrap_or_default();
        let exited = |cause| WorkerTask {
            state: TaskState::Exited,
            exit_cause: Some(cause),
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
            .any(|((other, _), status)| other == task && status.state != TaskState::Exited);
        if busy {
            self.tasks.insert(key, exited(ExitCause::Busy));
            return;
        }
        let not_exited = self
            .tasks
            .iter()
            .filter(|(_, other)| other.state != TaskState::Exited);
        let used_cpus: f64 = not_exited
            .filter_map(|((other, _), _)| jobs.get(other.split('/').next()?))
            .map(|j| j.cpus)
            .sum();
        if used_cpus + job.cpus > MACHINE_CPUS {
            self.tasks.insert(key, exited(ExitCause::NoFreeCapacity));
            return;
        }
        // An image that is not cached is fetched at 1 GB/s.
        let fetch_ms = if self.cached_images.contains(&job.image) {
            0
        } else {
            (job.image_gb * 1000.0) as u64
        };
        self.tasks.insert(
            key,
            WorkerTask {
                state: TaskState::Fetching,
                exit_cause: None,
                fetched_at: now + fetch_ms,
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
        let key = (task.to_owned(), attempt);
        if let Some(status) = self.tasks.get_mut(&key) {
            self.stopped_attempts.insert(key);
            let save_in_grace_s = save_s.filter(|s| *s <= grace_s && grace_s > 0.0);
            match (status.state, save_in_grace_s) {
                (TaskState::Exited, _) => {}
                // Only another stop command, without a grace period, stops a task that is saving.
                (TaskState::Saving, _) if grace_s > 0.0 => {}
                (TaskState::Running, Some(save_s)) => {
                    status.state = TaskState::Saving;
                    status.saved_at = Some(now + (save_s * 1_000.0) as u64);
                    self.status_changed = true;
                }
                _ => {
                    status.state = TaskState::Exited;
                    status.exit_cause = Some(ExitCause::Stopped);
                    self.status_changed = true;
                }
            }
        }
    }

    /// Advances all tasks to `now`. `run_ms` gives the run time of an array's task. A gang's tasks wait here until the
    /// caller starts them all with [`Worker::set_gang_task_state`].
    pub fn advance(
        &mut self,
        now: u64,
        jobs: &HashMap<String, JobRequest>,
        run_ms: impl Fn(&str) -> u64,
    ) -> Vec<TaskTransition> {
        let mut transitions = Vec::new();
        for ((task, attempt), status) in &mut self.tasks {
            let Some(job) = jobs.get(task.split('/').next().unwrap_or_default()) else {
                continue;
            };
            if status.state == TaskState::Fetching && now >= status.fetched_at {
                self.cached_images.insert(job.image.clone());
                transitions.push(TaskTransition::Started(task.clone()));
                self.status_changed = true;
                if self.fails_all_tasks || job.class == FAILING_CLASS {
                    status.state = TaskState::Exited;
                    status.exit_cause = Some(ExitCause::Error);
                    continue;
                }
                if self.completed_tasks.contains(task) {
                    status.state = TaskState::Exited;
                    status.exit_cause = Some(ExitCause::Done);
                    continue;
                }
                if job.kind == JobKind::Gang {
                    status.state = TaskState::Waiting;
                    self.gang_waits_since.insert((task.clone(), *attempt), now);
                } else {
                    status.state = TaskState::Running;
                    if job.kind == JobKind::Array {
                        status.done_at = Some(now + run_ms(task));
                    }
                }
            }
            if status.state == TaskState::Saving && status.saved_at.is_some_and(|at| now >= at) {
                status.state = TaskState::Exited;
                status.exit_cause = Some(ExitCause::Stopped);
                self.status_changed = true;
            }
            if status.state == TaskState::Waiting {
                let since = self
                    .gang_waits_since
                    .get(&(task.clone(), *attempt))
                    .copied()
                    .unwrap_or(now);
                if now > since + self.gang_start_timeout_ms {
                    status.state = TaskState::Exited;
                    status.exit_cause = Some(ExitCause::GangIncomplete);
                    self.status_changed = true;
                }
            }
            // A gang's tasks complete together, see `World::step_gangs`.
            if job.kind == JobKind::Array
                && status.state == TaskState::Running
                && status.done_at.is_some_and(|at| now >= at)
            {
                status.state = TaskState::Exited;
                status.exit_cause = Some(ExitCause::Done);
                self.completed_tasks.insert(task.clone());
                transitions.push(TaskTransition::Done(task.clone()));
                self.status_changed = true;
            }
        }
        transitions
    }

    /// Sets the state of a gang's task: it starts or exits together with the other tasks of the gang.
    pub fn set_gang_task_state(
        &mut self,
        key: &TaskKey,
        state: TaskState,
        exit_cause: Option<ExitCause>,
    ) {
        if let Some(status) = self.tasks.get_mut(key) {
            status.state = state;
            status.exit_cause = exit_cause;
            self.status_changed = true;
            if exit_cause == Some(ExitCause::Done) {
                self.completed_tasks.insert(key.0.clone());
            }
        }
    }

    /// Whether a heartbeat is due.
    pub fn heartbeat_due(&self, now: u64) -> bool {
        self.in_flight.is_none()
            && (now >= self.next_heartbeat_at
                || (self.status_changed
                    && now >= self.last_heartbeat_at + MIN_HEARTBEAT_INTERVAL_MS))
    }
}
