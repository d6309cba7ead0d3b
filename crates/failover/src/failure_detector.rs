//! Detection of a crashed partition leader while its partition record still exists.
//!
//! The state service removes the record when the leader's lease expires, some seconds after a crash. A
//! standby may acquire the partition earlier if several independent pieces of evidence agree. It need not
//! be certain: like any successor, it replaces the record on condition that the version is the one it
//! knows, and under a higher term. A leader that is alive after all can then write nothing more, and it is
//! treated as a leader that may still respond to workers. So a false suspicion costs one needless failover.
//! Each [`FailoverBlocker`] helps to keep these rare.

use model::{MachineName, PartitionId, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// A leader is suspected only after this time without a heartbeat, so that one or two lost packets do not
/// matter.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_300);
/// A heartbeat that another controller received shows that the leader is alive only if it is younger than
/// this.
const MAX_PEER_HEARTBEAT_AGE: Duration = Duration::from_secs(1);
/// How long a worker that contacted this controller instead of the leader counts as evidence.
pub const WORKER_EVIDENCE_VALIDITY: Duration = Duration::from_secs(3);
/// No leader is suspected for this time after a pause of this process: heartbeats may have been missed.
const PAUSE_RECOVERY_TIME: Duration = Duration::from_secs(2);
/// Maximum age of the last successful read of the state service.
const MAX_STATE_READ_AGE: Duration = Duration::from_millis(1_500);
/// How long after a false suspicion no early failover of the partition takes place.
const FALSE_SUSPICION_COOLDOWN: Duration = Duration::from_secs(120);
/// Minimum number of workers that must contact this controller before their contacts count as evidence. A few
/// may contact it for reasons that have nothing to do with the leader.
const MIN_WORKER_CONTACTS: usize = 2;
/// In a larger partition more workers may do so: the minimum grows by one for each of so many machines that
/// report to the leader.
const REPORTING_MACHINES_PER_EXTRA_CONTACT: usize = 64;

/// Why there is no early failover of a partition now. The names of the variants are those of the admin API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailoverBlocker {
    /// This controller receives the leader's heartbeats, or has never received one from the leader's present
    /// incarnation, which may run another version.
    LeaderAlive,
    /// Another controller receives the leader's heartbeats: only the mesh connection between the leader and
    /// this controller is cut.
    LeaderAliveForPeers,
    /// The partition's workers do not contact this controller. Without their evidence, a crash looks the same
    /// as a mesh connection that is cut or refused, or as a short pause of the leader.
    WorkersStayWithLeader,
    /// The replica of the leader's soft state is incomplete: a cold start would cost more than the wait for
    /// the lease to expire.
    ReplicaBehind,
    /// The last read of the state service is too old: this controller may be the one that is cut off.
    StateServiceUnreachable,
    /// This process itself was paused recently.
    RecentlyPaused,
    /// The leader of the partition was falsely suspected recently.
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

/// What this controller knows about a partition leader and about itself.
#[derive(Debug, Clone, Copy)]
pub struct Evidence {
    /// Time of the evaluation.
    pub now: Timestamp,
    /// When this controller last received a heartbeat from the incarnation that the partition record names.
    pub last_heartbeat_at: Option<Timestamp>,
    /// Age of the leader's latest heartbeat that another live controller reports to have received.
    pub peer_heartbeat_age: Option<Duration>,
    /// Number of machines that report to the leader, according to the replica.
    pub reporting_machines: usize,
    /// Whether the replica was complete after its last update.
    pub replica_complete: bool,
    /// When the last successful read of the state service was sent.
    pub last_state_read_at: Option<Timestamp>,
    /// When this process last resumed after a pause.
    pub resumed_at: Timestamp,
}

/// The evidence that is collected over time: contacts of workers, and false suspicions.
#[derive(Debug, Default)]
pub struct FailureDetector {
    worker_contacts: BTreeMap<PartitionId, BTreeMap<MachineName, Timestamp>>,
    false_suspicions: BTreeMap<PartitionId, Timestamp>,
}

impl FailureDetector {
    /// Records that a worker that reports to the partition's leader has contacted this controller instead.
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

    /// Records that the former leader of a partition is alive although the partition was acquired early.
    pub fn record_false_suspicion(&mut self, partition: PartitionId, now: Timestamp) {
        self.false_suspicions.insert(partition, now);
    }

    /// The reasons against an early failover of the partition. If there are none, it should be acquired.
    pub fn failover_blockers(
        &self,
        partition: PartitionId,
        evidence: &Evidence,
    ) -> Vec<FailoverBlocker> {
        use FailoverBlocker::*;
        let now = evidence.now;
        let last_heartbeat_at = evidence.last_heartbeat_at;
        let checks = [
            (
                LeaderAlive,
                last_heartbeat_at.is_none_or(|at| now.duration_since(at) < HEARTBEAT_TIMEOUT),
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
                now.duration_since(evidence.resumed_at) < PAUSE_RECOVERY_TIME,
            ),
            (
                RecentFalseSuspicion,
                self.was_recently_falsely_suspected(partition, now),
            ),
        ];
        checks
            .into_iter()
            .filter(|(_, applies)| *applies)
            .map(|(blocker, _)| blocker)
            .collect()
    }

    /// Whether so many workers contact this controller that the leader can be assumed to be unreachable for
    /// workers.
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
