//! Old heartbeats that reach a new leader before anything else that their machines send.
//!
//! Heartbeats are kept for several lease durations, whatever sessions and leaders they are from. At each change of a
//! partition's leader, and of the partition of a machine, some of them are drawn for each machine concerned, and are
//! delivered in any order. Some of the machines are disconnected meanwhile, so that they cannot be asked.

use super::active_fault::ActiveFault;
use super::events::{Message, ScheduledEvent};
use super::old_heartbeat_counts::{AttemptHistory, HeartbeatRecipient, OldHeartbeatCase};
use super::old_heartbeat_delivery::{Leadership, OldHeartbeatDelivery, SentHeartbeat};
use super::World;
use crate::worker::{TaskKey, Worker};
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use wire::state::{StateRequest, Write};
use wire::workers::{Heartbeat, TaskState};

/// How long heartbeats are kept, in lease durations.
const KEPT_LEASES: u64 = 4;
/// Maximum number of heartbeats that are drawn for a machine at a time.
const MAX_DRAWN: usize = 4;
/// The drawn heartbeats of a machine arrive within this time, one after the other.
const ARRIVAL_WINDOW_MS: u64 = 400;
/// Pause before a heartbeat is delivered again that the controller has not accepted as a leader.
const REDELIVERY_INTERVAL_MS: u64 = 15;
/// How long a heartbeat is delivered again.
const MAX_REDELIVERY_MS: u64 = 4_000;

/// What a machine has last sent to a leader of its partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LastStatus {
    to: Leadership,
    is_old: bool,
}

/// The kept heartbeats, and what is known of deliveries.
#[derive(Debug, Default)]
pub(super) struct HeartbeatArchive {
    sent: BTreeMap<String, VecDeque<SentHeartbeat>>,
    last_statuses: BTreeMap<String, LastStatus>,
    partitions: BTreeMap<String, u32>,
    all_down_since: Option<u64>,
    /// Start of the last time during which all controllers were down for longer than a lease.
    last_outage_at: Option<u64>,
}

impl World {
    /// The percentage of the heartbeats that are kept, and for how long machines are disconnected at most; none while
    /// the fault is not active.
    fn old_heartbeat_fault(&self) -> Option<(u64, u64)> {
        self.network.find_active(|fault| match fault {
            ActiveFault::OldHeartbeatsFirst(percent, cut_ms) => Some((*percent, *cut_ms)),
            _ => None,
        })
    }

    /// Keeps a heartbeat that is being sent, if that fault is active.
    pub(super) fn keep_heartbeat(&mut self, machine: &str, heartbeat: &Heartbeat) {
        let Some((percent, _)) = self.old_heartbeat_fault() else {
            return;
        };
        if self.rng.random_range(0..100) >= percent {
            return;
        }
        let sent = SentHeartbeat {
            heartbeat: Box::new(heartbeat.clone()),
            sent_at: self.now,
            partition: self.old_heartbeats.partitions.get(machine).copied(),
        };
        let oldest = self
            .now
            .saturating_sub(KEPT_LEASES * self.parameters.lease_duration_ms);
        let kept = self.old_heartbeats.sent.entry(machine.into()).or_default();
        kept.push_back(sent);
        while kept.front().is_some_and(|sent| sent.sent_at < oldest) {
            kept.pop_front();
        }
    }

    fn leadership_of(&self, partition: u32) -> Option<Leadership> {
        let term = self.term(partition)?;
        Some(Leadership { partition, term })
    }

    /// Draws old heartbeats for all machines of a partition whose leader has changed.
    pub(super) fn schedule_old_heartbeats_for_new_leader(&mut self, partition: u32) {
        if self.old_heartbeat_fault().is_none() {
            return;
        }
        for machine in self.machines_up_of(partition) {
            self.schedule_old_heartbeats(&machine, partition);
        }
    }

    /// Draws old heartbeats for the machines that a committed transaction has transferred to other partitions.
    pub(super) fn schedule_old_heartbeats_for_new_owners(&mut self, request: &StateRequest) {
        let StateRequest::Transaction(txn) = request else {
            return;
        };
        let writes_machines =
            |write: &Write| matches!(write, Write::Put { key, .. } if key.starts_with("s/m/"));
        if self.old_heartbeat_fault().is_none() || !txn.writes.iter().any(writes_machines) {
            return;
        }
        let recorded: BTreeMap<String, u32> = self
            .machine_records()
            .filter_map(|record| {
                let name = record.get(0)?.as_str()?.to_owned();
                let partition = record.get(4)?.as_u64()?;
                Some((name, partition as u32))
            })
            .collect();
        let before = std::mem::replace(&mut self.old_heartbeats.partitions, recorded.clone());
        for (machine, partition) in recorded {
            if before.get(&machine).is_some_and(|old| *old != partition) {
                self.schedule_old_heartbeats(&machine, partition);
            }
        }
    }

    /// Draws old heartbeats of a machine for the leader of its partition, and disconnects some of the machines.
    fn schedule_old_heartbeats(&mut self, machine: &str, partition: u32) {
        let (Some((_, cut_ms)), Some(to)) =
            (self.old_heartbeat_fault(), self.leadership_of(partition))
        else {
            return;
        };
        let Some(kept) = self.old_heartbeats.sent.get(machine) else {
            return;
        };
        let kept: Vec<SentHeartbeat> = kept.iter().cloned().collect();
        let count = self.rng.random_range(1..=MAX_DRAWN);
        let drawn: Vec<SentHeartbeat> = kept
            .choose_multiple(&mut self.rng, count)
            .cloned()
            .collect();
        let mut at = self.now;
        for sent in drawn {
            at += self
                .rng
                .random_range(1..ARRIVAL_WINDOW_MS / MAX_DRAWN as u64);
            let until = at + MAX_REDELIVERY_MS;
            let delivery = OldHeartbeatDelivery { sent, to, until };
            self.schedule(at, ScheduledEvent::DeliverOldHeartbeat(Box::new(delivery)));
        }
        if cut_ms > 0 && self.rng.random_bool(0.5) {
            let duration_ms = self.rng.random_range(1..=cut_ms);
            self.activate(
                ActiveFault::MachineDisconnected(machine.into()),
                duration_ms,
            );
        }
    }

    /// Delivers an old heartbeat to the leader. While the controller does not act as the leader yet, it is delivered
    /// again a little later.
    pub(super) fn deliver_old_heartbeat(&mut self, delivery: OldHeartbeatDelivery) {
        if self.leadership_of(delivery.to.partition) != Some(delivery.to) {
            return;
        }
        let leader = self
            .leader(delivery.to.partition)
            .and_then(|name| name.strip_prefix('n')?.parse().ok());
        let Some(controller) = leader else { return };
        let machine = delivery.sent.heartbeat.machine.clone();
        let before = self.old_heartbeats.last_statuses.get(&machine).copied();
        let message = Message::Heartbeat {
            controller,
            machine: machine.clone(),
            // No worker waits for the reply.
            number: 0,
            heartbeat: delivery.sent.heartbeat.clone(),
        };
        self.old_heartbeats.last_statuses.remove(&machine);
        self.deliver(message);
        let accepted = LastStatus {
            to: delivery.to,
            is_old: true,
        };
        let is_accepted = self
            .old_heartbeats
            .last_statuses
            .get(&machine)
            .is_some_and(|last| last.to == delivery.to);
        if is_accepted {
            self.record_old_heartbeat(&delivery, before);
            self.old_heartbeats.last_statuses.insert(machine, accepted);
            return;
        }
        if let Some(before) = before {
            self.old_heartbeats.last_statuses.insert(machine, before);
        }
        if self.now < delivery.until {
            let at = self.now + REDELIVERY_INTERVAL_MS;
            self.schedule(at, ScheduledEvent::DeliverOldHeartbeat(Box::new(delivery)));
        }
    }

    /// Records that a controller has got the answer of a machine's worker to a direct call.
    pub(super) fn record_machine_answered(&mut self, controller: usize, machine: &str) {
        let partition = self.old_heartbeats.partitions.get(machine).copied();
        let leader = partition.and_then(|partition| self.leader(partition));
        if leader == Some(format!("n{controller}").as_str()) {
            self.record_status_received(machine);
        }
    }

    /// Records that the leader has received a status of a machine: it has answered a heartbeat, or got an answer.
    pub(super) fn record_status_received(&mut self, machine: &str) {
        if self.old_heartbeat_fault().is_none() {
            return;
        }
        let partition = self.old_heartbeats.partitions.get(machine).copied();
        let Some(to) = partition.and_then(|partition| self.leadership_of(partition)) else {
            return;
        };
        let last = LastStatus { to, is_old: false };
        self.old_heartbeats
            .last_statuses
            .insert(machine.into(), last);
    }

    /// Counts an old heartbeat that a leader has accepted, if it was the machine's first status. `before` is what the
    /// machine had sent last.
    fn record_old_heartbeat(
        &mut self,
        delivery: &OldHeartbeatDelivery,
        before: Option<LastStatus>,
    ) {
        let heartbeat = &delivery.sent.heartbeat;
        let Some(worker) = self.workers.get(&heartbeat.machine).filter(|w| !w.dead) else {
            return;
        };
        if let Some(before) = before.filter(|before| before.to == delivery.to) {
            self.coverage.old_heartbeats.followed_by_another += u64::from(before.is_old);
            return;
        }
        let sent_at = delivery.sent.sent_at;
        let changed_owner = delivery.sent.partition != Some(delivery.to.partition);
        let recipient = match changed_owner {
            true => HeartbeatRecipient::NewOwner,
            false => HeartbeatRecipient::NewLeader,
        };
        let outage_at = self.old_heartbeats.last_outage_at;
        let after_outage = outage_at.is_some_and(|at| sent_at < at);
        let histories = self.listed_histories(worker, heartbeat);
        let cut = ActiveFault::MachineDisconnected(heartbeat.machine.clone());
        let is_disconnected = self.network.is_active(&cut);
        let counts = &mut self.coverage.old_heartbeats;
        counts.first_statuses += 1;
        counts.earlier_epoch += u64::from(heartbeat.worker_epoch < worker.epoch);
        counts.earlier_token += u64::from(heartbeat.token < delivery.to.term);
        let is_older_than_lease = sent_at + self.parameters.lease_duration_ms < self.now;
        counts.older_than_lease += u64::from(is_older_than_lease);
        counts.of_disconnected += u64::from(is_disconnected);
        counts.omitted_tasks += omitted_tasks(worker, heartbeat);
        counts.exited_tasks += exited_tasks(worker, heartbeat);
        for history in histories {
            let case = OldHeartbeatCase {
                recipient,
                after_outage,
                history,
            };
            *counts.cases.entry(case).or_default() += 1;
        }
    }

    /// The histories of the attempts that a heartbeat lists as not exited. An attempt may have several.
    fn listed_histories(&self, worker: &Worker, heartbeat: &Heartbeat) -> Vec<AttemptHistory> {
        let mut histories = Vec::new();
        for listed in &heartbeat.tasks {
            if listed.state == TaskState::Exited {
                continue;
            }
            let key = (listed.task.clone(), listed.attempt);
            match worker.launches.get(&key) {
                Some(1) => histories.push(AttemptHistory::LaunchedOnce),
                Some(_) => histories.push(AttemptHistory::LaunchedAgain),
                None => {}
            }
            if self.is_on_other_machine(worker, &key) {
                histories.push(AttemptHistory::Moved);
            }
            if worker.stopped_attempts.contains(&key) {
                histories.push(AttemptHistory::Stopped);
            }
            if self.rules.done_tasks.contains(&key.0) {
                histories.push(AttemptHistory::Done);
            }
        }
        histories
    }

    /// Whether a task is on another machine than this worker's.
    pub(super) fn is_on_other_machine(&self, worker: &Worker, key: &TaskKey) -> bool {
        self.workers
            .values()
            .filter(|other| !other.dead && other.name != worker.name)
            .flat_map(|other| &other.tasks)
            .any(|((task, _), status)| *task == key.0 && status.is_present())
    }

    /// Records that a controller has crashed or started.
    pub(super) fn record_running_controllers(&mut self) {
        let all_down = self.controllers.iter().all(Option::is_none);
        let now = self.now;
        let archive = &mut self.old_heartbeats;
        if all_down {
            archive.all_down_since.get_or_insert(now);
        } else if let Some(since) = archive.all_down_since.take() {
            if now > since + self.parameters.lease_duration_ms {
                archive.last_outage_at = Some(since);
            }
        }
    }
}

/// Number of tasks that are on the machine and that a heartbeat does not list.
fn omitted_tasks(worker: &Worker, heartbeat: &Heartbeat) -> u64 {
    let is_listed = |(task, attempt): &TaskKey| {
        heartbeat
            .tasks
            .iter()
            .any(|listed| listed.task == *task && listed.attempt == *attempt)
    };
    let present = worker
        .tasks
        .iter()
        .filter(|(_, status)| status.is_present());
    present.filter(|(key, _)| !is_listed(key)).count() as u64
}

/// Number of tasks that are on the machine and that a heartbeat shows as exited.
fn exited_tasks(worker: &Worker, heartbeat: &Heartbeat) -> u64 {
    let exited = heartbeat
        .tasks
        .iter()
        .filter(|listed| listed.state == TaskState::Exited);
    let is_present = |key: TaskKey| {
        worker
            .tasks
            .get(&key)
            .is_some_and(|status| status.state != TaskState::Exited)
    };
    exited
        .filter(|listed| is_present((listed.task.clone(), listed.attempt)))
        .count() as u64
}
