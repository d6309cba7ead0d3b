//! Beginning and loss of leaderships, as partitions' records change.

use crate::controller::leadership::PartitionLeadership;
use crate::controller::Controller;
use crate::records::PartitionRecord;
use model::DurationExt;
use model::{FencingToken, PartitionId, Version};
use wire::mesh::MeshMessage;

impl Controller {
    /// Handles a change of a partition's record.
    pub(in crate::controller) fn handle_partition_record(&mut self, partition: PartitionId) {
        let Some(recorded) = self.cache.partitions.get(&partition).cloned() else {
            if self.leaderships.remove(&partition).is_some() {
                tracing::warn!(%partition, "partition leadership lost: record deleted");
            }
            return;
        };
        let record = recorded.record;
        if record.leader != *self.own_name()
            || record.incarnation != self.registration.incarnation()
        {
            if self.leaderships.remove(&partition).is_some() {
                tracing::info!(%partition, leader = %record.leader, "partition leadership lost: leader changed");
            }
            return;
        }
        let term = FencingToken(record.term);
        // The cache may still show a term that this controller has just given up.
        if self
            .leader_election
            .acquisitions
            .is_relinquished(partition, term)
        {
            return;
        }
        match self.leaderships.get_mut(&partition) {
            Some(leadership) if leadership.term() == term => {
                leadership.set_version(recorded.version);
            }
            _ => self.begin_leadership(partition, record, recorded.version),
        }
    }

    /// Begins a leadership: reads the placement log, and announces the term to the peers.
    fn begin_leadership(
        &mut self,
        partition: PartitionId,
        record: PartitionRecord,
        version: Version,
    ) {
        let term = FencingToken(record.term);
        let predecessors: Vec<_> = record
            .unconfirmed_predecessors
            .into_iter()
            .filter(|predecessor| !self.incarnation_has_exited(predecessor))
            .collect();
        let predecessors_valid_until = if predecessors.is_empty() {
            self.now
        } else {
            self.now + self.settings.lease_validity().with_clock_drift()
        };
        tracing::info!(
            %partition,
            %term,
            unconfirmed_predecessors = predecessors.len(),
            "partition leadership acquired"
        );
        let leadership = PartitionLeadership::new(
            term,
            version,
            predecessors_valid_until,
            predecessors,
            self.now,
        );
        self.leaderships.insert(partition, leadership);
        self.read_placement_log(partition);
        self.broadcast(MeshMessage::LeaderChanged {
            partition: partition.0,
            term: term.0,
            leader: self.own_name().to_string(),
        });
    }
}
