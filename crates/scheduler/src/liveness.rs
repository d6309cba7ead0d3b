//! Failure detection: which machines are lost, and which ones are unreachable for a while.
//!
//! Workers send heartbeats every few seconds, so missed heartbeats alone would reveal a crash late. A
//! machine that has not sent a status for long enough is sent a liveness probe. A machine that leaves two
//! probes in a row unanswered is lost: the leader has the cloud release it, so that its tasks start
//! elsewhere before its lease expires. The first unanswered probe raises an alarm for the zone, which has
//! all machines with tasks in the zone probed at once. Unless at least half of them answer, the network is
//! at fault, and no machine is released, since that would not help.
//!
//! It also happens that a machine's heartbeats arrive here, but replies and commands do not arrive there.
//! A command that was sent is no evidence that it arrived. Unanswered commands make a machine suspected,
//! and so does a new worker epoch although the lease was renewed. A suspected machine gets no new tasks,
//! tasks whose launch it has certainly not received are placed elsewhere, and it is probed until it
//! answers. From then on it is used again.

use crate::machine::Machine;
use crate::partition_state::PartitionState;
use crate::zone_alarms::ZoneAlarms;
use model::{FencingToken, MachineName, Timestamp, WorkerEpoch, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age of the newest status beyond which a machine with replicas is probed.
const PROBE_AFTER: Duration = Duration::from_secs(3);
/// The same for any machine with tasks while its zone has an alarm.
const PROBE_AFTER_IN_ALARM: Duration = Duration::from_millis(400);
/// Pause between an unanswered probe and the next one.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two probes of a suspected machine.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time beyond the longest regular heartbeat interval after which a machine is probed.
const HEARTBEAT_DELAY_ALLOWANCE: Duration = Duration::from_millis(300);
/// Number of unanswered probes in a row after which a machine is lost.
const MAX_MISSED_PROBES: u32 = 2;
/// Maximum number of machines that are probed in one scan.
const MAX_PROBES_PER_SCAN: usize = 100;
/// Maximum number of machines known only from a previous leader that are probed in one scan: each probe
/// needs a new connection.
const MAX_INITIAL_PROBES_PER_SCAN: usize = 50;
/// Number of machines that may miss heartbeats at the same time, whatever the size of the partition, before
/// the fault is taken to lie with this controller or the network.
const MAX_UNRESPONSIVE_MACHINES: usize = 3;
/// The same for large partitions: the number of known machines is divided by this.
const MAX_UNRESPONSIVE_DIVISOR: usize = 5;

/// A liveness probe: a direct call that requests the worker's status. A probe under this leader's token
/// also makes the worker reject whatever a previous leader has sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    pub machine: MachineName,
    pub address: String,
    /// Token that the worker adopts; 0 if the probe is to change nothing.
    pub token: FencingToken,
    pub worker_epoch: WorkerEpoch,
}

impl PartitionState {
    /// The probes to be sent now; they count as pending from then on. `since` is when this controller
    /// became the leader: the time without a status counts from then at the earliest.
    ///
    /// Machines that are known only from a previous leader are probed at once, under this leader's token.
    /// So this leader need not wait until each of them finds it, and the loss of a machine that crashed
    /// together with the previous leader is detected like any other.
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
            // No task depends on it. It is used again once it sends a heartbeat.
            machine.replicated_endpoint = None;
        }
        self.zone_alarms.raise(&machine.zone, now);
    }

    /// Records that commands to a machine were not answered, which makes it suspected.
    pub fn record_unanswered_commands(&mut self, name: &MachineName, now: Timestamp) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.suspected_since.get_or_insert(now);
        }
    }

    /// Machines with tasks that have not answered their probes, although at least half of the probed
    /// machines in their zone have sent a status since the first of these probes failed. An earlier status
    /// would prove nothing: this controller may have lost its network connection after it.
    pub fn lost_machines(&self) -> Vec<MachineName> {
        let has_missed_probes = |machine: &Machine| machine.probe_state.missed >= MAX_MISSED_PROBES;
        if !self.machines.values().any(has_missed_probes) {
            return Vec::new();
        }
        let last_seen = self.last_seen_by_zone();
        let half_of_zone_answers = |machine: &Machine| {
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
            .filter(|machine| half_of_zone_answers(machine))
            .map(|machine| machine.name.clone())
            .collect()
    }

    /// For each zone the sorted times of the newest statuses of all machines that may have been probed.
    fn last_seen_by_zone(&self) -> BTreeMap<&ZoneName, Vec<Timestamp>> {
        // Machines without tasks are not probed, but one whose tasks were dropped with its lease was.
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

    /// Machines with replicas that have not sent a heartbeat for `timeout`, unless many machines are late.
    /// For a machine without any heartbeat the time counts from `leading_since`. A machine counts as late
    /// after `late_after`, an age that the last heartbeat does not normally reach.
    pub fn unresponsive_machines_with_replicas(
        &self,
        leading_since: Timestamp,
        now: Timestamp,
        late_after: Duration,
        timeout: Duration,
    ) -> Vec<MachineName> {
        let has_no_heartbeat_for = |machine: &&Machine, timeout: Duration| {
            match machine.last_heartbeat_at {
                Some(at) => now.duration_since(at.max(self.running_since)) > timeout,
                // A machine that is still booting has no tasks yet and cannot be late.
                None => !machine.tasks.is_empty() && now.duration_since(leading_since) > timeout,
            }
        };
        let late = self
            .machines
            .values()
            .filter(|machine| has_no_heartbeat_for(machine, late_after))
            .count();
        let known = self
            .machines
            .values()
            .filter(|machine| machine.last_heartbeat_at.is_some() || !machine.tasks.is_empty())
            .count();
        // If many are late, this controller or the network is at fault. All late machines are counted, not
        // only those beyond `timeout`, so that the first of many are not released either.
        let max_late = MAX_UNRESPONSIVE_MACHINES.max(known / MAX_UNRESPONSIVE_DIVISOR);
        if late > max_late || late * 2 > known {
            return Vec::new();
        }
        self.machines
            .values()
            .filter(|machine| has_no_heartbeat_for(machine, timeout))
            .filter(|machine| machine.replica_count > 0 && !machine.leaving)
            .map(|machine| machine.name.clone())
            .collect()
    }
}

impl Machine {
    /// A probe of a machine that is known only from a previous leader, if one is due.
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

    /// Whether a machine that has sent a status to this leader is to be probed now. `overdue_after` is the
    /// age of the newest status at which a heartbeat is overdue.
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
        let is_relevant = !self.tasks.is_empty() || is_due_as_suspect;
        if !is_relevant || self.probe_state.pending || self.leaving {
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

    /// A probe of a machine that has sent a status to this leader; none if no address is known. Until the worker has
    /// seen this leader's token the probe carries it. Otherwise it carries neither a token nor a worker epoch, and
    /// changes nothing. A worker answers in any case.
    fn probe(&mut self) -> Option<Probe> {
        let address = self.address.clone()?;
        self.probe_state.pending = true;
        let (token, worker_epoch) = if self.seen_token < self.token {
            (self.token, self.worker_epoch)
        } else {
            (FencingToken(0), WorkerEpoch(0))
        };
        Some(Probe {
            machine: self.name.clone(),
            address,
            token,
            worker_epoch,
        })
    }
}
