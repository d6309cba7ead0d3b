//! Backoff before this controller acquires a partition again that it has resigned because the partition's
//! workers did not reach it.
//!
//! The backoff of a partition is a pause, followed by a wait until one of the workers answers a probe.

use crate::controller::call_kind::WorkerCall;
use crate::controller::heartbeats::WORKER_TIMEOUT;
use crate::controller::{CallKind, Controller};
use model::DurationExt;
use model::{FencingToken, MachineName, PartitionId, Timestamp, WorkerEpoch};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause after the first resignation of a partition; it doubles with every further one, up to a limit.
const INITIAL_REACQUISITION_BACKOFF: Duration = Duration::from_secs(15);
/// The longest pause, and also the longest wait after a pause for a worker that answers.
pub(super) const MAX_REACQUISITION_BACKOFF: Duration = Duration::from_secs(120);
/// Time between probes of a partition's workers after the pause.
const REACHABILITY_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// A worker that is probed, with its network address.
pub(super) type WorkerAddress = (MachineName, String);

/// Backoffs of the partitions that this controller has resigned because their workers did not reach it.
#[derive(Debug, Default)]
pub(super) struct ReacquisitionBackoffs(BTreeMap<PartitionId, ReacquisitionBackoff>);

/// The backoff for one partition.
#[derive(Debug)]
struct ReacquisitionBackoff {
    /// Until then the partition is not acquired, whether or not its workers answer.
    pause_ends_at: Timestamp,
    /// The pause after the next resignation.
    next_pause: Duration,
    /// Workers of some of the partition's machines.
    workers: Vec<WorkerAddress>,
    probed_at: Timestamp,
    /// Whether one of these workers has answered since the pause.
    worker_reached: bool,
}

impl ReacquisitionBackoff {
    /// When the backoff ends even if no worker answers.
    fn expires_at(&self) -> Timestamp {
        self.pause_ends_at + MAX_REACQUISITION_BACKOFF
    }

    fn is_active(&self, now: Timestamp) -> bool {
        now < self.pause_ends_at || (!self.worker_reached && now < self.expires_at())
    }

    fn is_probe_due(&self, now: Timestamp) -> bool {
        let waits_for_worker =
            now >= self.pause_ends_at && !self.worker_reached && now < self.expires_at();
        waits_for_worker && now.duration_since(self.probed_at) >= REACHABILITY_PROBE_INTERVAL
    }
}

impl ReacquisitionBackoffs {
    pub(super) fn is_active(&self, partition: PartitionId, now: Timestamp) -> bool {
        self.0
            .get(&partition)
            .is_some_and(|backoff| backoff.is_active(now))
    }

    /// Begins the backoff for a partition that is being resigned.
    pub(super) fn begin(
        &mut self,
        partition: PartitionId,
        workers: Vec<WorkerAddress>,
        now: Timestamp,
    ) {
        let pause = self
            .0
            .get(&partition)
            .map_or(INITIAL_REACQUISITION_BACKOFF, |backoff| backoff.next_pause);
        let doubled = Duration::from_millis(pause.whole_millis() * 2);
        let backoff = ReacquisitionBackoff {
            pause_ends_at: now + pause,
            next_pause: doubled.min(MAX_REACQUISITION_BACKOFF),
            workers,
            probed_at: Timestamp::default(),
            worker_reached: false,
        };
        self.0.insert(partition, backoff);
    }

    /// Returns the workers whose probes are due, and counts them as probed now.
    fn take_due_probes(&mut self, now: Timestamp) -> Vec<(PartitionId, WorkerAddress)> {
        let mut due = Vec::new();
        for (partition, backoff) in &mut self.0 {
            if backoff.is_probe_due(now) {
                backoff.probed_at = now;
                let workers = backoff.workers.iter().cloned();
                due.extend(workers.map(|worker| (*partition, worker)));
            }
        }
        due
    }

    fn record_probe(&mut self, partition: PartitionId, reached: bool, now: Timestamp) {
        if let Some(backoff) = self.0.get_mut(&partition) {
            backoff.worker_reached |= reached && now >= backoff.pause_ends_at;
        }
    }
}

impl Controller {
    /// Probes workers of partitions that this controller has resigned. If it acquired such a partition
    /// while the workers still cannot reach it, their leases would expire.
    pub(super) fn probe_workers(&mut self) {
        for (partition, (machine, address)) in
            self.leader_election.backoffs.take_due_probes(self.now)
        {
            let purpose = CallKind::Worker(WorkerCall::ReachabilityProbe { partition, machine });
            self.send_probe(
                address,
                FencingToken(0),
                WorkerEpoch(0),
                purpose,
                WORKER_TIMEOUT,
            );
        }
    }

    /// Handles the outcome of a reachability probe.
    pub(in crate::controller) fn handle_reachability_reply(
        &mut self,
        partition: PartitionId,
        reached: bool,
    ) {
        self.leader_election
            .backoffs
            .record_probe(partition, reached, self.now);
    }
}
