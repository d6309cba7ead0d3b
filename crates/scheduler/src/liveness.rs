//! Machines that have fallen silent, and which of them are lost.
//!
//! Workers report every few seconds, so silence alone tells late. A machine that has been quiet
//! for long enough is asked directly; two questions in a row without an answer mean that it is
//! lost, and having the cloud end it lets its tasks start elsewhere sooner than waiting for its
//! lease. A first question without an answer has all machines of its zone asked at once: unless
//! half of them are heard then, the network is at fault, and ending them would help nobody.
//!
//! A machine may also be heard and not reached: its reports arrive, our answers and commands do not. That
//! something was sent shows nothing. Commands without an answer, or a new session although we answered the
//! one before, have it doubted: nothing new is placed there, launches that the worker has certainly not
//! taken are placed elsewhere, and it is asked until it answers. It is used again as soon as it does.

use crate::failover::Probe;
use crate::machine::Machine;
use crate::partition_state::PartitionState;
use model::DurationExt;
use model::{FencingToken, MachineName, Timestamp, WorkerEpoch, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// A machine with replicas that has been quiet for so long is asked.
const PROBE_AFTER: Duration = Duration::from_secs(3);
/// One in whose zone another has just not answered.
const PROBE_AFTER_IN_ALARM: Duration = Duration::from_millis(400);
/// How long an alarm lasts.
const ZONE_ALARM_DURATION: Duration = Duration::from_secs(6);
/// Pause between a question without an answer and the next.
const PROBE_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two questions to one that is doubted.
const SUSPECT_PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Questions without an answer after which a machine is lost.
const MAX_MISSED_PROBES: u32 = 2;
/// Machines asked in one look.
const MAX_PROBES_PER_SCAN: usize = 100;
/// Machines of a predecessor that are asked for the first time in one look: each costs a connection.
const MAX_INITIAL_PROBES_PER_SCAN: usize = 50;

impl PartitionState {
    /// Machines to be asked whether they are there. `since` is when workers had time to find us.
    /// Those that only a predecessor has heard are asked at once, under our token: a new holder need
    /// not wait until each has found it, and one that ended with its holder is missed like any other.
    pub fn machines_to_probe(&mut self, since: Timestamp, now: Timestamp) -> Vec<Probe> {
        let since = since.max(self.running_since);
        let overdue =
            Duration::from_millis(self.report.whole_millis() * 5 / 4) + Duration::from_millis(300);
        let mut list = Vec::new();
        let mut first = 0;
        for machine in self.machines.values_mut() {
            if let Some(replicated_endpoint) = &machine.replicated_endpoint {
                let due = machine.probe_state.missed == 0
                    || now.duration_since(machine.probe_state.at) >= PROBE_RETRY_INTERVAL;
                if due
                    && !machine.probe_state.pending
                    && !machine.leaving
                    && first < MAX_INITIAL_PROBES_PER_SCAN
                {
                    first += 1;
                    machine.probe_state.pending = true;
                    list.push(Probe {
                        machine: machine.name.clone(),
                        address: replicated_endpoint.address.clone(),
                        token: machine.token,
                        session: replicated_endpoint.session,
                    });
                }
                continue;
            }
            let suspected_since = machine.suspected_since.is_some()
                && now.duration_since(machine.probe_state.at) >= SUSPECT_PROBE_INTERVAL;
            let asks = !machine.tasks.is_empty() || suspected_since;
            if !asks || machine.probe_state.pending || machine.leaving {
                continue;
            }
            let (Some(heard), Some(address)) = (machine.last_seen_at, &machine.address) else {
                continue;
            };
            let alarm = self
                .zone_alarms
                .get(&machine.zone)
                .is_some_and(|at| now.duration_since(*at) < ZONE_ALARM_DURATION);
            let quiet = match (machine.probe_state.missed, alarm, machine.pinned > 0) {
                (1.., ..) => PROBE_RETRY_INTERVAL,
                (0, true, _) => PROBE_AFTER_IN_ALARM,
                (0, false, true) => PROBE_AFTER.min(overdue),
                (0, false, false) => overdue,
            };
            let quiet = now.duration_since(heard.max(since).max(machine.probe_state.at)) >= quiet;
            if (quiet || suspected_since) && list.len() < MAX_PROBES_PER_SCAN {
                machine.probe_state.pending = true;
                list.push(Probe {
                    machine: machine.name.clone(),
                    address: address.clone(),
                    token: FencingToken(0),
                    session: WorkerEpoch(0),
                });
            }
        }
        list
    }

    /// What came of a question.
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
        machine.probe_state.at = now;
        if machine.probe_state.missed == 1 {
            machine.probe_state.first = now;
        }
        if machine.probe_state.missed >= MAX_MISSED_PROBES && machine.tasks.is_empty() {
            // Nobody waits for it: it is heard of when it comes by itself.
            machine.replicated_endpoint = None;
        }
        let alarm = self.zone_alarms.entry(machine.zone.clone()).or_insert(now);
        if now.duration_since(*alarm) >= ZONE_ALARM_DURATION {
            *alarm = now;
        }
    }

    /// Commands to a machine were not answered.
    pub fn record_unanswered_commands(&mut self, name: &MachineName, now: Timestamp) {
        if let Some(machine) = self.machines.get_mut(name) {
            machine.suspected_since.get_or_insert(now);
        }
    }

    /// Machines with tasks that did not answer, while most of their zone have been heard since
    /// their own first question was in vain. What was heard before that proves nothing: we may
    /// have been cut off meanwhile.
    pub fn lost_machines(&self) -> Vec<MachineName> {
        if !self
            .machines
            .values()
            .any(|m| m.probe_state.missed >= MAX_MISSED_PROBES)
        {
            return Vec::new();
        }
        // Nobody asks those that run nothing; one whose lease has lapsed meanwhile was asked.
        let was_asked = |m: &&Machine| !m.tasks.is_empty() || m.probe_state.missed > 0;
        let mut zones: BTreeMap<&ZoneName, Vec<Timestamp>> = BTreeMap::new();
        for machine in self.machines.values().filter(was_asked) {
            let heard = machine.last_seen_at.unwrap_or_default();
            zones.entry(&machine.zone).or_default().push(heard);
        }
        zones.values_mut().for_each(|heard| heard.sort_unstable());
        let mostly_there = |machine: &Machine| {
            zones.get(&machine.zone).is_some_and(|heard| {
                let before = heard.partition_point(|at| *at < machine.probe_state.first);
                before * 2 <= heard.len()
            })
        };
        self.machines
            .values()
            .filter(|m| {
                !m.tasks.is_empty() && m.probe_state.missed >= MAX_MISSED_PROBES && !m.leaving
            })
            .filter(|m| !m.is_unreachable())
            .filter(|m| mostly_there(m))
            .map(|m| m.name.clone())
            .collect()
    }

    /// Machines with replicas that have not reported while most others do. One that has not been
    /// heard since the share is held counts from then. `late` is an age that no report reaches as a
    /// rule.
    pub fn unresponsive_machines_with_replicas(
        &self,
        leading_since: Timestamp,
        now: Timestamp,
        late: Duration,
        patience: Duration,
    ) -> Vec<MachineName> {
        // A machine that boots has nothing on it and is not missed yet.
        let silent = |m: &&Machine, patience: Duration| match m.last_heartbeat_at {
            Some(at) => now.duration_since(at.max(self.running_since)) > patience,
            None => !m.tasks.is_empty() && now.duration_since(leading_since) > patience,
        };
        // Many at a time, or the first of many: the fault lies with us or with the network.
        let count = self.machines.values().filter(|m| silent(m, late)).count();
        let missed = |m: &&Machine| m.last_heartbeat_at.is_some() || !m.tasks.is_empty();
        let known = self.machines.values().filter(missed).count();
        if count > 3.max(known / 5) || count * 2 > known {
            return Vec::new();
        }
        self.machines
            .values()
            .filter(|m| silent(m, patience))
            .filter(|m| m.pinned > 0 && !m.leaving)
            .map(|m| m.name.clone())
            .collect()
    }
}
