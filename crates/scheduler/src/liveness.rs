//! Failure detection: machines that have missed heartbeats, and which of them are lost.
//!
//! Workers send heartbeats every few seconds, so a missed heartbeat alone detects a crash late. A
//! machine without a status for long enough is sent a liveness probe; two unanswered probes in a row
//! mean that it is lost, and having the cloud release it lets its tasks start elsewhere before its lease
//! expires. A first unanswered probe raises an alarm for the zone, which has all machines of the zone
//! probed at once: unless half of them answer, the network is at fault, and releasing them would not
//! help.
//!
//! It also happens that a machine's heartbeats arrive here while replies and commands do not arrive
//! there. Having sent something proves nothing. Unanswered commands, or a new worker epoch although the
//! lease was renewed, make the machine suspected: no new tasks are placed there, launches that the worker
//! has certainly not received are placed elsewhere, and it is probed until it answers. It is used again
//! as soon as it does.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::zone_alarms::ZoneAlarms;
use model::{FencingToken, MachineName, Timestamp, WorkerEpoch, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// A machine with replicas is probed when its newest status is older than this.
const PROBE_AFTER: Duration = Duration::from_secs(3);
/// The same for a machine whose zone has an alarm.
const PROBE_AFTER_IN_ALARM: Duration = Duration::from_millis(400);
/// Pause between an unanswered probe and the next one.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two probes of a suspected machine.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time by which a heartbeat may be late before its machine is probed.
const HEARTBEAT_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);
/// Unanswered probes after which a machine is lost.
const MAX_MISSED_PROBES: u32 = 2;
/// Machines probed in one scan.
const MAX_PROBES_PER_SCAN: usize = 100;
/// Machines of a previous leader that are probed for the first time in one scan: each needs a new
/// connection.
const MAX_INITIAL_PROBES_PER_SCAN: usize = 50;
/// Machines without heartbeats at the same time that are not yet taken for a network fault, whatever
/// the size of the partition.
const MAX_UNRESPONSIVE_MACHINES: usize = 3;
/// The same as a divisor of the number of known machines.
const MAX_UNRESPONSIVE_DIVISOR: usize = 5;

/// A liveness probe: a direct call that asks for the worker's status. Sent under this leader's token, it
/// also makes the worker drop everything that a previous leader has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    pub machine: MachineName,
    pub address: String,
    pub token: FencingToken,
    pub worker_epoch: WorkerEpoch,
}

impl PartitionState {
    /// Machines to be probed now, which then count as being probed. `since` is when workers had had time
    /// to find this leader.
    ///
    /// Machines that only a previous leader has had contact with are probed at once, under this leader's
    /// token: the leader need not wait until each of them finds it, and a machine that crashed together
    /// with the previous leader is detected like any other.
    pub fn machines_to_probe(&mut self, since: Timestamp, now: Timestamp) -> Vec<Probe> {
        let since = since.max(self.running_since);
        let overdue_after = self.longest_heartbeat_interval() + HEARTBEAT_DELAY_ALLOWANCE;
        let mut probes = Vec::new();
        let mut initial_probes = 0;
        for machine in self.machines.values_mut() {
            if machine.replicated_endpoint.is_some() {
                if initial_probes < MAX_INITIAL_PROBES_PER_SCAN {
                    if let Some(probe) = machine.initial_probe(now) {
                        initial_probes += 1;
                        probes.push(probe);
                    }
                }
                continue;
            }
            if probes.len() < MAX_PROBES_PER_SCAN
                && machine.is_probe_due(since, overdue_after, &self.zone_alarms, now)
            {
                probes.extend(machine.probe());
            }
        }
        probes
    }

    /// Records whether a machine has answered its probe.
    pub fn record_probe_result(&mut self, name: &MachineName, answered: bool, now: Timestamp) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.probe_state.pending = false;
        if answered {
            machine.probe_state.missed = 0;
            return;
        }
        machine.probe_state.missed += 1;
        machine.probe_state.last_missed_at = now;
        if machine.probe_state.missed == 1 {
            machine.probe_state.first_missed_at = now;
        }
        if machine.probe_state.missed >= MAX_MISSED_PROBES && machine.tasks.is_empty() {
            // Nothing depends on it: it is used again when it sends a heartbeat.
            machine.replicated_endpoint = None;
        }
        self.zone_alarms.raise(&machine.zone, now);
    }

    /// Commands to a machine were not answered.
    pub fn record_unanswered_commands(&mut self, name: &MachineName, now: Timestamp) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.suspected_since.get_or_insert(now);
        }
    }

    /// Machines with tasks that have not answered their probes, while most machines of their zone have
    /// sent a status since the first of these probes failed. A status from before that proves nothing:
    /// this controller may have been cut off from the network since.
    pub fn lost_machines(&self) -> Vec<MachineName> {
        let has_missed_probes = |machine: &Machine| machine.probe_state.missed >= MAX_MISSED_PROBES;
        if !self.machines.values().any(has_missed_probes) {
            return Vec::new();
        }
        let last_seen = self.last_seen_by_zone();
        let zone_mostly_answers = |machine: &Machine| {
            last_seen.get(&machine.zone).is_some_and(|times| {
                let first_missed_at = machine.probe_state.first_missed_at;
                let earlier = times.partition_point(|at| *at < first_missed_at);
                earlier * 2 <= times.len()
            })
        };
        self.machines
            .values()
            .filter(|machine| has_missed_probes(machine))
            .filter(|machine| !machine.tasks.is_empty() && !machine.leaving)
            .filter(|machine| !machine.is_unreachable())
            .filter(|machine| zone_mostly_answers(machine))
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// The times of the newest statuses of all machines that may have been probed, sorted for each zone.
    fn last_seen_by_zone(&self) -> BTreeMap<&ZoneName, Vec<Timestamp>> {
        // Machines without tasks are not probed; one that lost its tasks with its lease was probed before.
        let may_be_probed =
            |machine: &&Machine| !machine.tasks.is_empty() || machine.probe_state.missed > 0;
        let mut zones: BTreeMap<&ZoneName, Vec<Timestamp>> = BTreeMap::new();
        for machine in self.machines.values().filter(may_be_probed) {
            let last_seen_at = machine.last_seen_at.unwrap_or_default();
            zones.entry(&machine.zone).or_default().push(last_seen_at);
        }
        zones.values_mut().for_each(|times| times.sort_unstable());
        zones
    }

    /// Machines with replicas that have not sent a heartbeat for `timeout` while most others have. For a
    /// machine without any heartbeat the time counts from `leading_since`. `regular_timeout` is an age
    /// that no heartbeat reaches as a rule.
    pub fn unresponsive_machines_with_replicas(
        &self,
        leading_since: Timestamp,
        now: Timestamp,
        regular_timeout: Duration,
        timeout: Duration,
    ) -> Vec<MachineName> {
        let is_unresponsive = |machine: &&Machine, timeout: Duration| {
            match machine.last_heartbeat_at {
                Some(at) => now.duration_since(at.max(self.running_since)) > timeout,
                // A machine that boots has no tasks yet and is not unresponsive.
                None => !machine.tasks.is_empty() && now.duration_since(leading_since) > timeout,
            }
        };
        let unresponsive = self
            .machines
            .values()
            .filter(|machine| is_unresponsive(machine, regular_timeout))
            .count();
        let known = self
            .machines
            .values()
            .filter(|machine| machine.last_heartbeat_at.is_some() || !machine.tasks.is_empty())
            .count();
        // Many at a time, or the first of many: the fault lies with this controller or the network.
        let at_most = MAX_UNRESPONSIVE_MACHINES.max(known / MAX_UNRESPONSIVE_DIVISOR);
        if unresponsive > at_most || unresponsive * 2 > known {
            return Vec::new();
        }
        self.machines
            .values()
            .filter(|machine| is_unresponsive(machine, timeout))
            .filter(|machine| machine.replica_count > 0 && !machine.leaving)
            .map(|machine| machine.name.clone())
            .collect()
    }
}

impl Machine {
    /// The probe of a machine that only a previous leader has had contact with, if one is due.
    fn initial_probe(&mut self, now: Timestamp) -> Option<Probe> {
        let endpoint = self.replicated_endpoint.as_ref()?;
        let since_last = now.duration_since(self.probe_state.last_missed_at);
        let is_due = self.probe_state.missed == 0 || since_last >= PROBE_RETRY_INTERVAL;
        if !is_due || self.probe_state.pending || self.leaving {
            return None;
        }
        self.probe_state.pending = true;
        Some(Probe {
            machine: self.name.clone(),
            address: endpoint.address.clone(),
            token: self.token,
            worker_epoch: endpoint.worker_epoch,
        })
    }

    /// Whether a machine that has sent its status to this leader is to be probed now.
    fn is_probe_due(
        &self,
        since: Timestamp,
        overdue_after: Duration,
        zone_alarms: &ZoneAlarms,
        now: Timestamp,
    ) -> bool {
        let last_missed_at = self.probe_state.last_missed_at;
        let is_due_as_suspect = self.suspected_since.is_some()
            && now.duration_since(last_missed_at) >= SUSPECT_PROBE_INTERVAL;
        let is_of_interest = !self.tasks.is_empty() || is_due_as_suspect;
        if !is_of_interest || self.probe_state.pending || self.leaving {
            return false;
        }
        let Some(last_seen_at) = self.last_seen_at else {
            return false;
        };
        let has_alarm = zone_alarms.is_active(&self.zone, now);
        let probe_after = match (self.probe_state.missed, has_alarm, self.replica_count > 0) {
            (1.., ..) => PROBE_RETRY_INTERVAL,
            (0, true, _) => PROBE_AFTER_IN_ALARM,
            (0, false, true) => PROBE_AFTER.min(overdue_after),
            (0, false, false) => overdue_after,
        };
        let last_contact = last_seen_at.max(since).max(last_missed_at);
        is_due_as_suspect || now.duration_since(last_contact) >= probe_after
    }

    /// A probe without a token of its own, which any worker answers; none without a known address.
    fn probe(&mut self) -> Option<Probe> {
        let address = self.address.clone()?;
        self.probe_state.pending = true;
        Some(Probe {
            machine: self.name.clone(),
            address,
            token: FencingToken(0),
            worker_epoch: WorkerEpoch(0),
        })
    }
}
