//! Handling of machines that have stopped responding: liveness probes, release, and detection of a
//! partition whose workers do not reach this controller at all.

use crate::controller::call_kind::WorkerCall;
use crate::controller::machine_records::MachineChange;
use crate::controller::{CallKind, Controller, MAX_LAUNCH_READ_AGE};
use model::{DurationExt, PartitionId};
use scheduler::Probe;
use std::time::Duration;

/// Timeout of a liveness probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time that workers get, beyond the timeout for missing heartbeats, to find a new leader before it
/// releases any of their machines.
const RELEASE_GRACE: Duration = Duration::from_millis(1_500);
/// Time that workers get, beyond the timeout for missing heartbeats, to find a new leader before it
/// resigns.
const RESIGNATION_GRACE: Duration = Duration::from_secs(3);

/// Ages of the last heartbeat that decide whether a machine is released.
struct ReleaseTimeouts {
    /// An age that heartbeats do not normally reach.
    regular_timeout: Duration,
    /// The age at which a machine is taken to have failed.
    timeout: Duration,
}

impl ReleaseTimeouts {
    /// Workers send the next heartbeat after at most 1.25 times the interval.
    fn new(heartbeat_interval: Duration) -> Self {
        let interval_ms = heartbeat_interval.whole_millis();
        ReleaseTimeouts {
            regular_timeout: Duration::from_millis(interval_ms * 5 / 4 + 200),
            timeout: Duration::from_millis(interval_ms * 9 / 4 + 500),
        }
    }
}

impl Controller {
    /// Whether at least nine in ten of the partition's workers send no heartbeats to this controller,
    /// although they have had time to find it.
    pub(super) fn workers_are_unreachable(&self, partition: PartitionId) -> bool {
        let now = self.now;
        // Workers send the next heartbeat after at most 1.25 times the interval. Their leases run
        // down during this timeout.
        let timeout = Duration::from_millis(
            self.settings.workers.heartbeat_interval.whole_millis() * 2 + 500,
        );
        let Some(leadership) = self.leaderships.get(&partition) else {
            return false;
        };
        let Some(partition_state) = leadership.partition_state() else {
            return false;
        };
        // Machines that are still booting say nothing about whether this controller can be reached.
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
        // While this controller is paused, workers turn to others; afterwards they need the same time
        // to find it again.
        let reachable_since = leadership.leading_since.max(self.running_since);
        now.duration_since(reachable_since) >= timeout + RESIGNATION_GRACE
            && count >= 2
            && unresponsive * 10 >= count * 9
    }

    /// Sends liveness probes to machines whose heartbeats are overdue.
    pub(super) fn probe_unresponsive_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        let leading_since = leadership.leading_since;
        let Some(partition_state) = leadership.partition_state_mut() else {
            return;
        };
        for probe in partition_state.machines_to_probe(leading_since, now) {
            let Probe {
                machine,
                address,
                token,
                worker_epoch,
            } = probe;
            let kind = CallKind::Worker(WorkerCall::LivenessProbe { partition, machine });
            self.send_probe(address, token, worker_epoch, kind, PROBE_TIMEOUT);
        }
    }

    /// Requests the release of machines that have stopped responding. Once the cloud confirms the
    /// release, no task can be running on them any more.
    pub(super) fn release_unresponsive_machines(&mut self, partition: PartitionId) {
        let now = self.now;
        if !self.has_recent_state_read(MAX_LAUNCH_READ_AGE) {
            return;
        }
        let timeouts = ReleaseTimeouts::new(self.settings.workers.heartbeat_interval);
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        // Workers need time to find a new leader, or to find this one again after a pause.
        let reachable_since = leadership.leading_since.max(self.running_since);
        let Some(partition_state) = leadership.partition_state_mut() else {
            return;
        };
        let mut unresponsive = partition_state.lost_machines();
        if now.duration_since(reachable_since) >= timeouts.timeout + RELEASE_GRACE {
            unresponsive.extend(partition_state.unresponsive_machines_with_replicas(
                reachable_since,
                now,
                timeouts.regular_timeout,
                timeouts.timeout,
            ));
        }
        unresponsive.retain(|name| !self.machine_changes.has_change(name));
        for name in unresponsive {
            tracing::info!(%partition, machine = %name, "release of unresponsive machine requested");
            if let Some(machine) = partition_state.machines.get_mut(&name) {
                machine.leaving = true;
            }
            self.machine_changes.request(&name, MachineChange::Release);
        }
    }
}
