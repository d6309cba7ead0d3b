//! What reports prove.

use crate::job::{Job, Placement};
use crate::machine::{Machine, OrphanedTask};
use crate::partition_state::PartitionState;
use model::duration_from_secs;
use model::{
    Attempt, FencingToken, JobKind, MachineName, SequenceNumber, TaskId, Timestamp, WorkerEpoch,
};
use std::time::Duration;
use wire::workers::{ExitCause, Heartbeat, TaskState, TaskStatus};

/// How long before a machine is taken its tasks are stopped, besides the time to save.
const RECLAIM_MARGIN: Duration = Duration::from_millis(2_500);

/// How a worker's message reached us.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatusSource {
    /// A report: the worker has dealt with the answer to the one before.
    Heartbeat,
    /// The answer to a direct call: an answer of ours may still be on its way.
    Direct,
}

impl PartitionState {
    /// Takes in a report or the body of a worker's answer. False if it is not newer than
    /// what is known: then it proves nothing.
    pub fn reconcile(&mut self, report: &Heartbeat, source: StatusSource, now: Timestamp) -> bool {
        let name = MachineName::from(report.machine.as_str());
        let silence = self.heartbeat_timeout();
        let Some(machine) = self.machines.get_mut(&name) else {
            return false;
        };
        let (session, seq) = (WorkerEpoch(report.session), SequenceNumber(report.seq));
        if machine.last_seen_at.is_some() && (session, seq) <= (machine.session, machine.seq) {
            return false;
        }
        let first = machine.last_seen_at.is_none();
        let reached = source == StatusSource::Direct && machine.suspected_since.take().is_some();
        if reached {
            tracing::debug!(machine = %name, "reached again");
        } else if source == StatusSource::Heartbeat
            && !first
            && session > machine.session
            && machine.answered_lately(self.lease, now)
        {
            // Its lease has ended although we answered: our answers do not reach it.
            machine.suspected_since.get_or_insert(now);
        }
        let returns = !machine.usable(now, silence);
        machine.session = session;
        machine.seq = seq;
        machine.seen_token = machine.seen_token.max(FencingToken(report.token));
        machine.last_seen_at = Some(now);
        machine.probe_state.missed = 0;
        if source == StatusSource::Heartbeat {
            machine.last_heartbeat_at = Some(now);
            // One report is in flight at a time, so the answer to the one before is settled.
            machine.answer_launches.clear();
        }
        machine.address = Some(report.address.clone());
        if let Some(replicated_endpoint) = machine.replicated_endpoint.take() {
            // It reported to our predecessor until just now, and has an interval to come to us.
            if replicated_endpoint.reporting && replicated_endpoint.session == session {
                machine.last_heartbeat_at.get_or_insert(now);
            }
        }
        machine.notice = report.notice_s.map(|s| now + duration_from_secs(s));
        if first && machine.tasks.is_empty() {
            machine.idle_since = now;
        }
        let has_token = FencingToken(report.token) >= machine.token;
        // Any report would bear the current token: only a higher one than the launch's counts.
        if machine
            .unconfirmed_launch
            .is_some_and(|(token, session)| machine.seen_token > token || machine.session > session)
        {
            machine.unconfirmed_launch = None;
        }
        let listed: Vec<(TaskId, &TaskStatus)> = report
            .tasks
            .iter()
            .filter_map(|entry| Some((TaskId::parse(&entry.task)?, entry)))
            .collect();
        let placed: Vec<TaskId> = machine.tasks.iter().copied().collect();
        for task in placed {
            self.observe_placement(task, &name, &listed, has_token, source, now);
        }
        self.find_strays(&name, &listed, now);
        if let Some(machine) = self.machines.get_mut(&name) {
            if machine.usable(now, silence) {
                self.capacity_index.enter(machine);
            }
        }
        if first || reached || source == StatusSource::Heartbeat && returns {
            self.queue.move_all(now);
        }
        true
    }

    fn observe_placement(
        &mut self,
        task: TaskId,
        name: &MachineName,
        listed: &[(TaskId, &TaskStatus)],
        has_token: bool,
        source: StatusSource,
        now: Timestamp,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        settle_direct(placement, machine);
        let this = |(id, entry): &&(TaskId, &TaskStatus)| {
            *id == task && Attempt(entry.attempt) == placement.attempt
        };
        let Some((_, entry)) = listed.iter().find(this) else {
            self.absent(task, has_token, source, now);
            return;
        };
        placement.last_status = Some(entry.state);
        placement.inherited = false;
        placement.launched = Some(machine.session);
        placement.launched_in_response = false;
        if entry.state != TaskState::Fetching {
            self.capacity_index
                .touch_image(machine, &job.spec.image, job.spec.image_gb);
        }
        match entry.state {
            TaskState::Exited => self.exited(task, entry.why.unwrap_or(ExitCause::Error), now),
            TaskState::Running => {
                let since = placement.placed_at;
                job.seen_running(since, now);
                self.record_gang_start(task.job, now);
            }
            TaskState::Waiting => self.record_gang_fetch(task.job),
            _ => {}
        }
    }

    /// A newer report does not show the task.
    fn absent(&mut self, task: TaskId, has_token: bool, source: StatusSource, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let gang = job.spec.kind == JobKind::Gang;
        let Some(placement) = job.placed.get_mut(&task.index) else {
            return;
        };
        if let Some((token, session)) = placement.unconfirmed_launch_of {
            // A direct launch may still be under way: the task stays bound to its machine.
            let machine = placement.machine.clone();
            if placement.stop.is_some() || placement.last_status.is_some() {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.record_lost_launch(token, session);
                }
            }
            return;
        }
        if placement.launched_in_response && source == StatusSource::Direct {
            return;
        }
        placement.launched_in_response = false;
        if placement.inherited {
            // Until the worker has seen our token, a predecessor's command may arrive.
            if !has_token {
                return;
            }
            placement.inherited = false;
        }
        let task_machine = placement.machine.clone();
        let was_seen = placement.last_status.take().is_some();
        let was_launched = placement.launched.take().is_some();
        if placement.stop.is_some()
            || was_seen
            || (gang && was_launched && job.gang_began.is_some())
        {
            // It was there and is not any more (a new session), or it never got there and is
            // no longer wanted.
            self.drop_placement(task, now, true);
        } else if self
            .machines
            .get(&task_machine)
            .is_some_and(|m| m.suspected_since.is_some())
        {
            // What could still arrive is settled, and nothing that is sent again would.
            self.drop_placement(task, now, true);
        }
        // Otherwise the launch was lost with its answer; it is sent again to the same place.
    }

    /// An exited task: its outcome is kept, and the task forgotten once that is durable.
    fn exited(&mut self, task: TaskId, why: ExitCause, now: Timestamp) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(placement) = job.placed.get(&task.index) else {
            return;
        };
        let attempt = placement.attempt;
        let name = placement.machine.clone();
        if let Some((token, session)) = placement.unconfirmed_launch_of {
            // Forgetting it now could let the lost launch start it again.
            if let Some(machine) = self.machines.get_mut(&name) {
                machine.record_lost_launch(token, session);
            }
        }
        let stopped = placement.stop.is_some();
        tracing::debug!(%task, machine = %name, ?why, stopped, "exited");
        match why {
            ExitCause::Done => {
                job.successes += 1;
                if job.spec.kind == JobKind::Gang {
                    // One task done: every task is.
                    for index in 0..job.spec.tasks {
                        job.mark_done(index);
                    }
                } else {
                    job.mark_done(task.index);
                }
                if let Some(machine) = self.machines.get_mut(&name) {
                    machine.failures_by_job.clear();
                }
            }
            ExitCause::Error if !stopped => self.task_error(task, &name, now),
            ExitCause::NoRoom | ExitCause::Busy | ExitCause::Unknown => {
                *job.failures.entry(task.index).or_default() += 1;
            }
            _ => {}
        }
        self.undurable_outcomes.insert((task, attempt));
        self.touch(task);
        self.drop_placement(task, now, true);
        let of_gang = |job: &Job| job.spec.kind == JobKind::Gang && job.all_done();
        if self.jobs.get(&task.job).is_some_and(of_gang) {
            self.stop_gang(task.job, now);
        }
    }

    /// Tasks on the machine that have no placement here.
    fn find_strays(
        &mut self,
        name: &MachineName,
        listed: &[(TaskId, &TaskStatus)],
        now: Timestamp,
    ) {
        let mut orphaned_tasks = Vec::new();
        for (task, entry) in listed.iter().copied() {
            let attempt = Attempt(entry.attempt);
            let ours = self
                .jobs
                .get(&task.job)
                .and_then(|job| job.placed.get(&task.index))
                .is_some_and(|p| p.machine == *name && p.attempt == attempt);
            if !ours {
                orphaned_tasks.push(OrphanedTask {
                    task,
                    attempt,
                    state: entry.state,
                    why: entry.why,
                });
            }
        }
        if let Some(machine) = self.machines.get_mut(name) {
            machine.orphaned_tasks = orphaned_tasks;
            machine.update_exited_tasks(now);
        }
    }

    /// Tasks on machines that the cloud is about to take are stopped just before: those that save
    /// get the time to, and for all of them the exit is proof at once, where a machine that is
    /// gone would have to be waited out for a whole lease.
    pub fn drain_reclaimed_machines(&mut self, now: Timestamp) {
        let mut stops = Vec::new();
        for machine in self.machines.values() {
            let Some(taken) = machine.notice else {
                continue;
            };
            let left = Duration::from_millis(taken.as_millis().saturating_sub(now.as_millis()));
            for task in &machine.tasks {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let saves = job.spec.checkpoint > Duration::ZERO;
                let needed = if saves {
                    job.spec.save + RECLAIM_MARGIN
                } else {
                    RECLAIM_MARGIN
                };
                let stops_already = job
                    .placed
                    .get(&task.index)
                    .is_some_and(|p| p.stop.is_some());
                if left <= needed && !stops_already {
                    stops.push((*task, job.spec.kind));
                }
            }
        }
        for (task, kind) in stops {
            if kind == JobKind::Gang {
                self.stop_gang(task.job, now);
            } else {
                let grace = self.grace_period(task);
                self.stop_task(task, grace, now);
            }
        }
    }

    /// Machines on which every task must be gone since nobody can have answered them for a
    /// whole lease.
    pub fn expire_leases(&mut self, now: Timestamp) {
        let lapsed: Vec<MachineName> = self
            .machines
            .values()
            .filter(|m| {
                !m.tasks.is_empty()
                    && m.lease_expired(now, self.predecessors_valid_until, self.lease)
            })
            .map(|m| m.name.clone())
            .collect();
        for name in lapsed {
            let tasks: Vec<TaskId> = match self.machines.get(&name) {
                Some(machine) => machine.tasks.iter().copied().collect(),
                None => continue,
            };
            tracing::info!(machine = %name, tasks = tasks.len(), "a machine's lease has lapsed");
            for task in tasks {
                let Some(job) = self.jobs.get_mut(&task.job) else {
                    continue;
                };
                let Some(p) = job.placed.get_mut(&task.index) else {
                    continue;
                };
                // The lease ends a session, and a launch names the session it was meant for.
                p.unconfirmed_launch_of = None;
                self.drop_placement(task, now, true);
            }
        }
    }
}

/// A worker that has seen a higher token, or has begun a newer session, executes no command
/// that was sent before.
fn settle_direct(placement: &mut Placement, machine: &Machine) {
    if let Some((token, session)) = placement.unconfirmed_launch_of {
        if machine.seen_token > token || machine.session > session {
            placement.unconfirmed_launch_of = None;
        }
    }
}
