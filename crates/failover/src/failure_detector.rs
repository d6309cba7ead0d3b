//! Suspects a partition leader whose record still stands of having crashed.
//!
//! The record is removed with the leader's lease in the state service, some seconds after a crash.
//! A standby may take the partition over sooner when independent pieces of evidence agree. It needs
//! no certainty: like any successor it replaces the record conditionally on the version it knows
//! and under a higher term, so a leader that is alive after all can write nothing more and counts
//! as one that may still answer workers. A false suspicion costs one needless failover; each
//! [`FailoverBlocker`] is there to keep these rare.

use model::{MachineName, PartitionId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// A leader is suspected only after this time without a heartbeat: a packet or two may be lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A heartbeat received by another node counts if it is younger than this.
const MAX_PEER_HEARTBEAT_AGE: Duration = Duration::from_secs(1);
/// How long a worker that contacted us instead of the leader counts as evidence.
pub const WORKER_EVIDENCE_VALIDITY: Duration = Duration::from_secs(3);
/// After a pause of this process, heartbeats may have been missed.
const PAUSE_RECOVERY: Duration = Duration::from_secs(2);
/// Maximum age of the last answer of the state service.
const MAX_STATE_READ_AGE: Duration = Duration::from_millis(1_500);
/// After a false suspicion the partition is not taken over early for this time.
const FALSE_SUSPICION_COOLDOWN: Duration = Duration::from_secs(120);
/// Workers that may contact us for reasons of their own, whatever the size of the partition.
const UNRELATED_WORKERS: usize = 2;
/// One in this many reporting workers may contact us for reasons of its own.
const UNRELATED_WORKER_RATIO: usize = 64;

/// Why a partition is not taken over from its leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailoverBlocker {
    /// We receive its heartbeats, or never received one of this incarnation: it may run another
    /// version.
    LeaderAlive,
    /// Another node receives its heartbeats: only the mesh between it and us is cut.
    LeaderAliveForPeers,
    /// Its workers do not contact us: a mesh that alone is cut or refused looks the same, and so
    /// does a short pause.
    WorkersStayWithLeader,
    /// We do not know what it knew, and would serve its partition worse than a wait costs.
    ReplicaBehind,
    /// Our own last answer from the state service is old: we may be the one that is cut off.
    StateServiceUnreachable,
    /// This process was paused itself.
    RecentlyPaused,
    /// The leader was falsely suspected lately.
    RecentFalseSuspicion,
}

/// What is known of a partition leader.
#[derive(Debug, Clone, Copy)]
pub struct Evidence {
    pub now: Timestamp,
    /// Last heartbeat of the incarnation that its record names.
    pub last_heartbeat: Option<Timestamp>,
    /// Age of the last heartbeat that any other live node reports to have received.
    pub peer_heartbeat_age: Option<Duration>,
    /// Machines that report to it, by our replica.
    pub reporting_machines: usize,
    /// Whether our replica was complete when it was last updated.
    pub replica_complete: bool,
    pub last_state_read: Option<Timestamp>,
    /// When this process last resumed after a pause.
    pub resumed_at: Timestamp,
}

/// The evidence that this node has collected itself.
#[derive(Debug, Default)]
pub struct FailureDetector {
    worker_contacts: BTreeMap<PartitionId, BTreeMap<MachineName, Timestamp>>,
    false_suspicions: BTreeMap<PartitionId, Timestamp>,
}

impl FailureDetector {
    /// A worker that reports to the partition's leader has contacted us instead.
    pub fn record_worker_contact(
        &mut self,
        partition: PartitionId,
        machine: &MachineName,
        now: Timestamp,
    ) {
        let contacts = self.worker_contacts.entry(partition).or_default();
        contacts.retain(|_, at| now.duration_since(*at) <= WORKER_EVIDENCE_VALIDITY);
        contacts.insert(machine.clone(), now);
    }

    /// A leader that we took the partition over from is alive after all.
    pub fn record_false_suspicion(&mut self, partition: PartitionId, now: Timestamp) {
        self.false_suspicions.insert(partition, now);
    }

    /// What speaks against taking the partition over. If nothing does, it is to be taken over.
    pub fn failover_blockers(
        &self,
        partition: PartitionId,
        evidence: &Evidence,
    ) -> Vec<FailoverBlocker> {
        use FailoverBlocker::*;
        let now = evidence.now;
        let heartbeat = evidence.last_heartbeat;
        let checks = [
            (
                LeaderAlive,
                heartbeat.is_none_or(|at| now.duration_since(at) < HEARTBEAT_TIMEOUT),
            ),
            (
                LeaderAliveForPeers,
                evidence
                    .peer_heartbeat_age
                    .is_some_and(|age| age < MAX_PEER_HEARTBEAT_AGE),
            ),
            (
                WorkersStayWithLeader,
                !self.workers_leave(partition, evidence),
            ),
            (ReplicaBehind, !evidence.replica_complete),
            (
                StateServiceUnreachable,
                evidence
                    .last_state_read
                    .is_none_or(|at| now.duration_since(at) > MAX_STATE_READ_AGE),
            ),
            (
                RecentlyPaused,
                now.duration_since(evidence.resumed_at) < PAUSE_RECOVERY,
            ),
            (
                RecentFalseSuspicion,
                self.was_falsely_suspected(partition, now),
            ),
        ];
        checks
            .into_iter()
            .filter(|(_, holds)| *holds)
            .map(|(blocker, _)| blocker)
            .collect()
    }

    /// Whether more workers contact us than do so for reasons of their own.
    fn workers_leave(&self, partition: PartitionId, evidence: &Evidence) -> bool {
        let is_valid =
            |at: &&Timestamp| evidence.now.duration_since(**at) <= WORKER_EVIDENCE_VALIDITY;
        let contacts = self
            .worker_contacts
            .get(&partition)
            .map_or(0, |contacts| contacts.values().filter(is_valid).count());
        contacts >= UNRELATED_WORKERS + evidence.reporting_machines / UNRELATED_WORKER_RATIO
    }

    fn was_falsely_suspected(&self, partition: PartitionId, now: Timestamp) -> bool {
        let last = self.false_suspicions.get(&partition);
        last.is_some_and(|at| now.duration_since(*at) < FALSE_SUSPICION_COOLDOWN)
    }
}
