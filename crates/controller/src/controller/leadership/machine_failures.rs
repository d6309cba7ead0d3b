//! Machines that have stopped responding: liveness probes, release, and a partition whose workers do
//! not reach this controller at all.

use crate::controller::call_kind::WorkerCall;
use crate::controller::machine_records::MachineChange;
use crate::controller::{CallKind, Controller, MAX_LAUNCH_READ_AGE};
use model::{DurationExt, PartitionId};
use scheduler::Probe;
use std::time::Duration;

/// Time limit of a liveness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time that workers need beyond a missed heartbeat to find a new leader before any of them is
/// released.
const RELEASE_GRACE: Duration = Duration::from_millis(1_500);
/// Time that workers need beyond a missed heartbeat to find a new leader before it resigns.
const RESIGNATION_GRACE: Duration = Duration::from_secs(3);

/// Heartbeat timeouts of a machine that is to be released.
struct ReleaseTimeouts {
    /// A heartbeat is late.
    regular_timeout: Duration,
    /// Heartbeats have been missing for too long.
    timeout: Duration,
}

impl ReleaseTimeouts {
    /// Workers send heartbeats every 1.25 times the interval at the latest.
    fn new(heartbeat_interval: Duration) -> Self {
        let interval_ms = heartbeat_interval.whole_millis();
        ReleaseTimeouts {
            regular_timeout: Duration::from_millis(interval_ms * 5 / 4 + 200),
            timeout: Duration::from_millis(interval_ms * 9 / 4 + 500),
        }
    }
}

impl Controller {
    /// Whether hardly any worker of the partition sends heartbeats to this controller, though they
    /// had time to find it.
    pub(super) fn workers_are_unreachable(&self, partition: PartitionId) -> bool {
        let now = self.now;
        // Workers send heartbeats every 1.25 times the interval at the latest; their leases run
        // meanwhile.
        let timeout = Duration::from_millis(
            self.settings.workers.heartbeat_interval.whole_millis() * 2 + 500,
        );
        let Some(leadership) = self.leaderships.get(&partition) else {
            return false;
        };
        let Some(partition_state) = leadership.partition_state() else {
            return false;
        };
        // Machines that are still booting prove nothing about this controller.
        let booted = partition_state
            .machines
            .values()
            .filter(|machine| machine.last_seen_at.is_some() || !machine.tasks.is_empty());
        let (mut count, mut unresponsive) = (0, 0);
        for machine in booted {
            count += 1;
            unresponsive += u32::from(
                machine
                    .last_heartbeat_at
                    .is_none_or(|at| now.duration_since(at) > timeout),
            );
        }
        // Workers turn to other controllers while this one is paused, and need as long to find it
        // again.
        let since = leadership.leading_since.max(self.running_since);
        now.duration_since(since) >= timeout + RESIGNATION_GRACE
            && count >= 2
            && unresponsive * 10 >= count * 9
    }

    /// Sends liveness probes to machines whose heartbeats are overdue.
    pub(super) fn probe_unresponsive_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let since = leadership.leading_since;
        let Some(partition_state) = leadership.partition_state_mut() else {
            return;
        };
        for probe in partition_state.machines_to_probe(since, now) {
            let Probe {
                machine,
                address,
                token,
                worker_epoch,
            } = probe;
            let purpose = CallKind::Worker(WorkerCall::LivenessProbe { partition, machine });
            self.send_probe(address, token, worker_epoch, purpose, PROBE_TIMEOUT);
        }
    }

    /// Releases machines that have stopped responding. The cloud's confirmation proves that
    /// everything on them is gone.
    pub(super) fn release_unresponsive_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        if !self.has_recent_state_read(MAX_LAUNCH_READ_AGE) {
            return;
        }
        let timeouts = ReleaseTimeouts::new(self.settings.workers.heartbeat_interval);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        // Workers need time to find a new leader, or one that was paused.
        let since = leadership.leading_since.max(self.running_since);
        let Some(partition_state) = leadership.partition_state_mut() else {
            return;
        };
        let mut unresponsive = partition_state.lost_machines();
        if now.duration_since(since) >= timeouts.timeout + RELEASE_GRACE {
            unresponsive.extend(partition_state.unresponsive_machines_with_replicas(
                since,
                now,
                timeouts.regular_timeout,
                timeouts.timeout,
            ));
        }
        unresponsive.retain(|name| !self.machine_changes.has_change(name));
        for name in unresponsive {
            tracing::info!(%partition, machine = %name, "machine unresponsive, requesting its release");
            if let Some(machine) = partition_state.machines.get_mut(&name) {
                machine.leaving = true;
            }
            self.machine_changes.request(&name, MachineChange::Release);
        }
    }
}
