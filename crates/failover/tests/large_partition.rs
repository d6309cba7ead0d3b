//! Replication of a partition with 8,000 machines.

use failover::{Replicas, ReplicationSource, ReplicationStream};
use model::{ControllerName, PartitionId, Timestamp};
use std::collections::BTreeMap;
use wire::mesh::{MachineSnapshot, MeshMessage, ReplicatedRecord, ReplicationBatch};

const PARTITION: PartitionId = PartitionId(0);
/// Twice the machines of the largest site.
const MACHINES: usize = 8_000;
const IMAGES: usize = 11;
/// Time between two sends of a node.
const STEP_MS: u64 = 500;
/// How long a home partition is left to its holder while the copy of it is not in step.
const MAX_COPY_MS: u64 = 4_000;

fn machine(number: usize) -> ReplicatedRecord {
    ReplicatedRecord::Machine(MachineSnapshot {
        machine: format!("host-{number:06}"),
        address: format!("10.0.{}.{}:9000", number / 256, number % 256),
        worker_epoch: number as u64,
        reporting: true,
        quarantined: false,
        idle_since_ms: None,
        images: (0..IMAGES)
            .map(|image| (format!("img-{image:02}"), 1.5))
            .collect(),
    })
}

/// A leader and one subscriber, over a mesh that loses nothing.
struct Pair {
    leader: ControllerName,
    subscriber: ControllerName,
    stream: ReplicationStream,
    replicas: Replicas,
    full_copies: usize,
}

impl Pair {
    fn new() -> Self {
        Pair {
            leader: ControllerName::from("n0"),
            subscriber: ControllerName::from("n1"),
            stream: ReplicationStream::default(),
            replicas: Replicas::default(),
            full_copies: 0,
        }
    }

    /// One step of both nodes.
    fn step(&mut self, machines: std::ops::Range<usize>, now: Timestamp) {
        let source = ReplicationSource {
            leader: self.leader.clone(),
            incarnation: 1,
            term: 1,
        };
        for (_, message) in self
            .replicas
            .subscribe(&BTreeMap::from([(PARTITION, source)]), now)
        {
            self.subscribe(message, now);
        }
        self.stream.update(machines.map(machine));
        let header = ReplicationBatch {
            incarnation: 1,
            term: 1,
            sent_at_ms: now.as_millis(),
            ..ReplicationBatch::default()
        };
        for (_, batch) in self.stream.due_batches(&header, now) {
            self.full_copies += usize::from(batch.after == 0);
            if let Some(message) = self.replicas.apply(&self.leader, batch, now) {
                self.subscribe(message, now);
            }
        }
    }

    fn subscribe(&mut self, message: MeshMessage, now: Timestamp) {
        let MeshMessage::Subscribe { applied, .. } = message else {
            panic!("{message:?}")
        };
        self.stream.subscribe(&self.subscriber, applied, now);
    }

    fn machines(&self) -> usize {
        self.replicas
            .get(PARTITION)
            .map_or(0, |replica| replica.machines.len())
    }
}

#[test]
fn replica_of_large_partition_is_in_sync_within_catch_up_limit() {
    let mut pair = Pair::new();
    for at in (0..MAX_COPY_MS).step_by(STEP_MS as usize) {
        pair.step(0..MACHINES, Timestamp::from_millis(at));
    }
    let end = Timestamp::from_millis(MAX_COPY_MS);
    assert_eq!(pair.machines(), MACHINES);
    assert!(pair.replicas.is_in_sync(PARTITION, end));
}

#[test]
fn loss_of_half_the_machines_sends_no_full_copy() {
    let mut pair = Pair::new();
    let steps = 60;
    for step in 0..steps {
        pair.step(0..MACHINES, Timestamp::from_millis(step * STEP_MS));
    }
    assert_eq!(pair.machines(), MACHINES);
    assert_eq!(pair.full_copies, 1);
    for step in steps..steps + 4 {
        pair.step(0..MACHINES / 2, Timestamp::from_millis(step * STEP_MS));
    }
    assert_eq!(pair.machines(), MACHINES / 2);
    assert_eq!(pair.full_copies, 1, "it had the copy already");
}
