//! Suspects a partition leader whose record still stands of having crashed.
//!
//! The record is removed with the leader's lease in the state service, some seconds after a crash.
//! A standby may acquire the partition sooner when independent pieces of evidence agree. It needs
//! no certainty: like any successor it replaces the record conditionally on the version it knows
//! and under a higher term, so a leader that is alive after all can write nothing more and counts
//! as one that may still respond to workers. A false suspicion costs one needless failover; each
//! [`FailoverBlocker`] is there to keep these rare.

use model::{MachineName, PartitionId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// A leader is suspected only after this time without a heartbeat: a packet or two may be lost.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A heartbeat received by another controller counts if it is younger than this.
const MAX_PEER_HEARTBEAT_AGE: Duration = Duration::from_secs(1);
/// How long a worker that contacted this controller instead of the leader counts as evidence.
pub const WORKER_EVIDENCE_VALIDITY: Duration = Duration::from_secs(3);
/// After a pause of this process, heartbeats may have been missed.
const PAUSE_RECOVERY: Duration = Duration::from_secs(2);
/// Maximum age of the last answer of the state service.
const MAX_STATE_READ_AGE: Duration = Duration::from_millis(1_500);
/// After a false suspicion no early failover of the partition happens for this time.
const FALSE_SUSPICION_COOLDOWN: Duration = Duration::from_secs(120);
/// Workers that may contact this controller for reasons of their own, whatever the size of the partition.
const MIN_WORKER_CONTACTS: usize = 2;
/// One in this many reporting workers may contact this controller for reasons of its own.
const REPORTING_MACHINES_PER_EXTRA_CONTACT: usize = 64;

/// Why there is no early failover of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailoverBlocker {
    /// Its heartbeats are received, or none of this incarnation ever was: it may run another version.
    LeaderAlive,
    /// Another controller receives its heartbeats: only the mesh between the two is cut.
    LeaderAliveForPeers,
    /// Its workers do not contact this controller: a mesh that alone is cut or refused looks the same, and so
    /// does a short pause.
    WorkersStayWithLeader,
    /// The replica of its soft state is incomplete: a cold start would cost more than the wait.
    ReplicaBehind,
    /// The last response of the state service is old: this controller may be the one that is cut off.
    StateServiceUnreachable,
    /// This process was paused itself.
    RecentlyPaused,
    /// The leader was falsely suspected lately.
    RecentFalseSuspicion,
}

impl FailoverBlocker {
    /// The blocker's name in the admin API.
    pub fn as_str(self) -> &'static str {
        match self {
            FailoverBlocker::LeaderAlive => "LeaderAlive",
            FailoverBlocker::LeaderAliveForPeers => "LeaderAliveForPeers",
            FailoverBlocker::WorkersStayWithLeader => "WorkersStayWithLeader",
            FailoverBlocker::ReplicaBehind => "ReplicaBehind",
            FailoverBlocker::StateServiceUnreachable => "StateServiceUnreachable",
            FailoverBlocker::RecentlyPaused => "RecentlyPaused",
            FailoverBlocker::RecentFalseSuspicion => "RecentFalseSuspicion",
        }
    }
}

/// What is known of a partition leader.
#[derive(Debug, Clone, Copy)]
pub struct Evidence {
    /// Time of the evaluation.
    pub now: Timestamp,
    /// Last heartbeat of the incarnation that its record names.
    pub last_heartbeat_at: Option<Timestamp>,
    /// Age of the last heartbeat that any other live controller reports to have received.
    pub peer_heartbeat_age: Option<Duration>,
    /// Machines that report to it, by the replica.
    pub reporting_machines: usize,
    /// Whether the replica was complete when it was last updated.
    pub replica_complete: bool,
    /// When the state service last answered a read.
    pub last_state_read_at: Option<Timestamp>,
    /// When this process last resumed after a pause.
    pub resumed_at: Timestamp,
}

/// The evidence that this controller has collected itself.
#[derive(Debug, Default)]
pub struct FailureDetector {
    worker_contacts: BTreeMap<PartitionId, BTreeMap<MachineName, Timestamp>>,
    false_suspicions: BTreeMap<PartitionId, Timestamp>,
}

impl FailureDetector {
    /// A worker that reports to the partition's leader has contacted this controller instead.
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

    /// The former leader of a partition that was acquired early is alive after all.
    pub fn record_false_suspicion(&mut self, partition: PartitionId, now: Timestamp) {
        self.false_suspicions.insert(partition, now);
    }

    /// What speaks against a failover of the partition. If nothing does, it is to be acquired.
    pub fn failover_blockers(
        &self,
        partition: PartitionId,
        evidence: &Evidence,
    ) -> Vec<FailoverBlocker> {
        use FailoverBlocker::*;
        let now = evidence.now;
        let heartbeat = evidence.last_heartbeat_at;
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
                !self.workers_have_left_leader(partition, evidence),
            ),
            (ReplicaBehind, !evidence.replica_complete),
            (
                StateServiceUnreachable,
                evidence
                    .last_state_read_at
                    .is_none_or(|at| now.duration_since(at) > MAX_STATE_READ_AGE),
            ),
            (
                RecentlyPaused,
                now.duration_since(evidence.resumed_at) < PAUSE_RECOVERY,
            ),
            (
                RecentFalseSuspicion,
                self.was_recently_falsely_suspected(partition, now),
            ),
        ];
        checks
            .into_iter()
            .filter(|(_, holds)| *holds)
            .map(|(blocker, _)| blocker)
            .collect()
    }

    /// Whether more workers contact this controller than do so for reasons of their own.
    fn workers_have_left_leader(&self, partition: PartitionId, evidence: &Evidence) -> bool {
        let is_valid =
            |at: &&Timestamp| evidence.now.duration_since(**at) <= WORKER_EVIDENCE_VALIDITY;
        let contacts = self
            .worker_contacts
            .get(&partition)
            .map_or(0, |contacts| contacts.values().filter(is_valid).count());
        contacts
            >= MIN_WORKER_CONTACTS
                + evidence.reporting_machines / REPORTING_MACHINES_PER_EXTRA_CONTACT
    }

    fn was_recently_falsely_suspected(&self, partition: PartitionId, now: Timestamp) -> bool {
        let last = self.false_suspicions.get(&partition);
        last.is_some_and(|at| now.duration_since(*at) < FALSE_SUSPICION_COOLDOWN)
    }
}
