//! Backoff before a partition is acquired again whose workers did not reach this controller.

use crate::controller::call_kind::WorkerCall;
use crate::controller::heartbeats::WORKER_TIMEOUT;
use crate::controller::{CallKind, Controller};
use model::DurationExt;
use model::{FencingToken, MachineName, PartitionId, Timestamp, WorkerEpoch};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause after the first resignation; it doubles with every further one, up to a limit.
const INITIAL_REACQUISITION_BACKOFF: Duration = Duration::from_secs(15);
/// The longest pause. For so long after it, only a worker that answers ends the backoff.
pub(super) const MAX_REACQUISITION_BACKOFF: Duration = Duration::from_secs(120);
/// Time between probes of the partition's workers after the pause.
const REACHABILITY_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// A worker that is probed.
pub(super) type WorkerAddress = (MachineName, String);

/// Partitions that this controller has resigned since their workers did not reach it.
#[derive(Debug, Default)]
pub(super) struct ReacquisitionBackoffs(BTreeMap<PartitionId, ReacquisitionBackoff>);

/// The backoff for one partition.
#[derive(Debug)]
struct ReacquisitionBackoff {
    /// The partition is not acquired before then, whether or not its workers answer.
    until: Timestamp,
    /// The pause after the next resignation.
    next_pause: Duration,
    /// Some of the partition's machines.
    workers: Vec<WorkerAddress>,
    probed_at: Timestamp,
    /// Whether one of them has answered since.
    reached: bool,
}

impl ReacquisitionBackoff {
    /// Until when the backoff lasts if no worker answers.
    fn expires_at(&self) -> Timestamp {
        self.until + MAX_REACQUISITION_BACKOFF
    }

    fn is_active(&self, now: Timestamp) -> bool {
        now < self.until || (!self.reached && now < self.expires_at())
    }

    fn is_probe_due(&self, now: Timestamp) -> bool {
        let waits_for_worker = now >= self.until && !self.reached && now < self.expires_at();
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
            until: now + pause,
            next_pause: doubled.min(MAX_REACQUISITION_BACKOFF),
            workers,
            probed_at: Timestamp::default(),
            reached: false,
        };
        self.0.insert(partition, backoff);
    }

    /// Workers that are to be probed now.
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
            backoff.reached |= reached && now >= backoff.until;
        }
    }
}

impl Controller {
    /// Probes workers of partitions that were resigned. To acquire one again while its workers still
    /// do not reach this controller would cost their leases.
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

    /// Handles the outcome of such a probe.
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
