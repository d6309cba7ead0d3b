//! The view of standbys, replicas and replication streams for operators. Its field names are part of the
//! admin API.

use super::TermStream;
use crate::controller::Controller;
use crate::records::PartitionRecord;
use failover::PartitionReplica;
use model::{ControllerName, PartitionId};
use serde_json::{json, Value};
use std::collections::BTreeMap;

impl Controller {
    /// The standby of each partition, the lag of this controller's replicas, and the subscribers of its
    /// streams.
    pub(in crate::controller) fn standby_view(&self) -> Value {
        let standbys = self.standbys();
        let partitions: Vec<Value> = self
            .cache
            .partitions
            .iter()
            .map(|(partition, recorded)| {
                self.partition_standby_view(*partition, &recorded.record, &standbys)
            })
            .collect();
        let replicas: Vec<Value> = self
            .standby
            .replicas
            .iter()
            .map(|(partition, replica)| self.replica_view(*partition, replica))
            .collect();
        let subscribers: Vec<Value> = self
            .standby
            .streams
            .iter()
            .flat_map(|(partition, stream)| subscriber_views(*partition, stream))
            .collect();
        json!({ "partitions": partitions, "copies": replicas, "followers": subscribers })
    }

    fn partition_standby_view(
        &self,
        partition: PartitionId,
        record: &PartitionRecord,
        standbys: &BTreeMap<PartitionId, ControllerName>,
    ) -> Value {
        let standby = standbys.get(&partition);
        let blockers: Vec<&'static str> = if standby == Some(self.own_name()) {
            self.failover_blockers(partition)
                .iter()
                .map(|blocker| blocker.as_str())
                .collect()
        } else {
            Vec::new()
        };
        let failed_checks = self.leaderships.get(&partition).map(|leadership| {
            let checks = leadership.failed_checks().iter();
            let names: Vec<&str> = checks.map(|check| check.as_str()).collect();
            format!("[{}]", names.join(", "))
        });
        json!({
            "waits_for": failed_checks,
            "partition": partition.0,
            "holder": record.leader,
            "term": record.term,
            "standby": standby,
            "failover_blockers": blockers,
            // The former name of `failover_blockers`, kept for one release.
            "doubts": blockers,
        })
    }

    fn replica_view(&self, partition: PartitionId, replica: &PartitionReplica) -> Value {
        let now = self.now;
        let lag = replica.lag();
        json!({
            "partition": partition.0,
            "holder": replica.source().leader,
            "term": replica.source().term,
            "behind": lag.changes,
            "in_step": self.standby.replicas.is_in_sync(partition, now),
            "followed_s": now.duration_since(lag.subscribed_since).as_secs_f64(),
            "heard_s": lag.updated_at.map(|at| now.duration_since(at).as_secs_f64()),
            "machines": replica.machines.len(),
            "jobs": replica.job_failures.len(),
        })
    }
}

fn subscriber_views(
    partition: PartitionId,
    stream: &TermStream,
) -> impl Iterator<Item = Value> + '_ {
    stream.stream.subscribers().map(
        move |(peer, behind)| json!({ "partition": partition.0, "node": peer, "behind": behind }),
    )
}
