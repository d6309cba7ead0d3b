//! Replication of a partition with 8,000 machines.

use failover::{Replicas, ReplicationSource, ReplicationStream};
use model::{ControllerName, PartitionId, Timestamp};
use std::collections::BTreeMap;
use wire::mesh::{MachineSnapshot, MeshMessage, ReplicatedRecord, ReplicationBatch};

const PARTITION: PartitionId = PartitionId(0);
/// Twice the number of machines of the largest site.
const MACHINES: usize = 8_000;
const IMAGES_PER_MACHINE: usize = 11;
/// Time between two steps of a controller.
const STEP_MS: u64 = 500;
/// How long a preferred leader waits for its replica to be in sync before it reclaims the partition anyway.
const CATCH_UP_LIMIT_MS: u64 = 4_000;

fn machine_record(number: usize) -> ReplicatedRecord {
    ReplicatedRecord::Machine(MachineSnapshot {
        machine: format!("host-{number:06}"),
        address: format!("10.0.{}.{}:9000", number / 256, number % 256),
        worker_epoch: number as u64,
        reporting: true,
        quarantined: false,
        idle_since_ms: None,
        images: (0..IMAGES_PER_MACHINE)
            .map(|image| (format!("img-{image:02}"), 1.5))
            .collect(),
    })
}

/// A leader and one subscriber, connected by a mesh that loses nothing.
struct Pair {
    leader: ControllerName,
    subscriber: ControllerName,
    stream: ReplicationStream,
    replicas: Replicas,
    /// Number of batches that start a copy of all records.
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

    /// One step of both controllers, in which the leader has these machines.
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
            self.handle_subscription(message, now);
        }
        self.stream.update(machines.map(machine_record));
        let header = ReplicationBatch {
            incarnation: 1,
            term: 1,
            sent_at_ms: now.as_millis(),
            ..ReplicationBatch::default()
        };
        for (_, batch) in self.stream.due_batches(&header, now) {
            self.full_copies += usize::from(batch.after == 0);
            if let Some(message) = self.replicas.apply(&self.leader, batch, now) {
                self.handle_subscription(message, now);
            }
        }
    }

    fn handle_subscription(&mut self, message: MeshMessage, now: Timestamp) {
        let MeshMessage::Subscribe { applied, .. } = message else {
            panic!("the subscriber sent {message:?}")
        };
        self.stream.subscribe(&self.subscriber, applied, now);
    }

    /// Number of machines in the replica.
    fn replicated_machines(&self) -> usize {
        self.replicas
            .get(PARTITION)
            .map_or(0, |replica| replica.machines.len())
    }
}

#[test]
fn replica_of_large_partition_is_in_sync_within_catch_up_limit() {
    let mut pair = Pair::new();
    for at in (0..CATCH_UP_LIMIT_MS).step_by(STEP_MS as usize) {
        pair.step(0..MACHINES, Timestamp::from_millis(at));
    }
    let end = Timestamp::from_millis(CATCH_UP_LIMIT_MS);
    assert_eq!(pair.replicated_machines(), MACHINES);
    assert!(pair.replicas.is_in_sync(PARTITION, end));
}

#[test]
fn loss_of_half_the_machines_sends_no_full_copy() {
    let mut pair = Pair::new();
    let steps = 60;
    for step in 0..steps {
        pair.step(0..MACHINES, Timestamp::from_millis(step * STEP_MS));
    }
    assert_eq!(pair.replicated_machines(), MACHINES);
    assert_eq!(pair.full_copies, 1);
    for step in steps..steps + 4 {
        pair.step(0..MACHINES / 2, Timestamp::from_millis(step * STEP_MS));
    }
    assert_eq!(pair.replicated_machines(), MACHINES / 2);
    assert_eq!(
        pair.full_copies, 1,
        "the subscriber had a full copy already"
    );
}
