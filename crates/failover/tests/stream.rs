//! Replication between a leader and a subscriber: seeded runs over a mesh that loses, duplicates and delays
//! messages, and batches from other sources than the one subscribed to.

use failover::{Replicas, ReplicationSource, ReplicationStream};
use model::{ControllerName, MachineName, PartitionId, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use wire::mesh::{
    JobFailureSnapshot, MachineSnapshot, MeshMessage, ReplicatedRecord, ReplicationBatch,
};

const PARTITION: PartitionId = PartitionId(2);

fn machine_name(number: u32) -> String {
    format!("host-{number:04}")
}

fn machine_record(number: u32, worker_epoch: u64) -> ReplicatedRecord {
    ReplicatedRecord::Machine(MachineSnapshot {
        machine: machine_name(number),
        address: format!("10.0.0.{number}:9000"),
        worker_epoch,
        reporting: !worker_epoch.is_multiple_of(3),
        quarantined: false,
        idle_since_ms: None,
        images: vec![(format!("img-{}", worker_epoch % 4), 1.5)],
    })
}

fn job_record(number: u64, failures: u32) -> ReplicatedRecord {
    let failed_on = vec!["host-0001".to_owned()];
    let (successes, longest_failure_ms) = (0, 900);
    ReplicatedRecord::Job(JobFailureSnapshot {
        job: number,
        failures: vec![(0, failures)],
        failed_on,
        successes,
        longest_failure_ms,
    })
}

/// One incarnation of the leader and its current records.
struct Leader {
    stream: ReplicationStream,
    incarnation: u64,
    /// Worker epochs of the machines by number.
    worker_epochs: BTreeMap<u32, u64>,
    /// Numbers of failures of the jobs by number of the job.
    job_failures: BTreeMap<u64, u32>,
}

impl Leader {
    fn new(incarnation: u64) -> Self {
        Leader {
            stream: ReplicationStream::default(),
            incarnation,
            worker_epochs: BTreeMap::new(),
            job_failures: BTreeMap::new(),
        }
    }

    /// Changes random records and updates the stream. `sent` gets the changed machines with their worker epochs.
    fn change_records(&mut self, rng: &mut SmallRng, sent: &mut BTreeSet<(String, u64)>) {
        for _ in 0..rng.random_range(0..60) {
            let number = rng.random_range(0..900);
            if rng.random_bool(0.2) {
                self.worker_epochs.remove(&number);
            } else {
                let worker_epoch = rng.random_range(1..1_000);
                self.worker_epochs.insert(number, worker_epoch);
                sent.insert((machine_name(number), worker_epoch));
            }
        }
        self.job_failures
            .insert(rng.random_range(0..40), rng.random_range(1..9));
        let machines = self
            .worker_epochs
            .iter()
            .map(|(number, worker_epoch)| machine_record(*number, *worker_epoch));
        let jobs = self
            .job_failures
            .iter()
            .map(|(number, failures)| job_record(*number, *failures));
        self.stream.update(machines.chain(jobs));
    }

    fn batch_header(&self, now: Timestamp) -> ReplicationBatch {
        let (incarnation, sent_at_ms) = (self.incarnation, now.as_millis());
        ReplicationBatch {
            partition: PARTITION.0,
            incarnation,
            term: 7,
            sent_at_ms,
            ..ReplicationBatch::default()
        }
    }
}

/// The mesh loses, duplicates and delays messages, and the leader restarts. After each step the replica
/// contains no machine that the leader has not sent. Some time after the faults end it equals the leader's
/// records.
#[test]
fn replicas_contain_only_sent_records_and_converge() {
    let (leader_name, subscriber_name) = (ControllerName::from("n0"), ControllerName::from("n1"));
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sent = BTreeSet::new();
        let mut leader = Leader::new(1);
        let mut replicas = Replicas::default();
        let mut in_flight: Vec<(Timestamp, ReplicationBatch)> = Vec::new();
        let (faults_until_ms, end_ms) = (20_000, 32_000);
        for at_ms in (0..end_ms).step_by(250) {
            let now = Timestamp::from_millis(at_ms);
            if at_ms < faults_until_ms {
                leader.change_records(&mut rng, &mut sent);
                if rng.random_bool(0.03) {
                    // The leader restarts: its next incarnation does not know what this one has sent.
                    leader = Leader::new(leader.incarnation + 1);
                    leader.change_records(&mut rng, &mut sent);
                }
            }
            let loss_probability = if at_ms < faults_until_ms { 0.2 } else { 0.0 };
            let source = ReplicationSource {
                leader: leader_name.clone(),
                incarnation: leader.incarnation,
                term: 7,
            };
            let mut messages = replicas.subscribe(&BTreeMap::from([(PARTITION, source)]), now);
            in_flight.sort_by_key(|(arrives_at, _)| *arrives_at);
            let due: Vec<_> = in_flight
                .extract_if(.., |(arrives_at, _)| *arrives_at <= now)
                .collect();
            for (_, batch) in due {
                messages.extend(
                    replicas
                        .apply(&leader_name, batch, now)
                        .map(|message| (subscriber_name.clone(), message)),
                );
            }
            for (_, message) in messages {
                if let MeshMessage::Subscribe {
                    incarnation,
                    applied,
                    ..
                } = message
                {
                    if incarnation == leader.incarnation && !rng.random_bool(loss_probability) {
                        leader.stream.subscribe(&subscriber_name, applied, now);
                    }
                }
            }
            for (_, batch) in leader.stream.due_batches(&leader.batch_header(now), now) {
                let bytes: usize = batch
                    .records
                    .iter()
                    .map(ReplicatedRecord::approximate_bytes)
                    .sum();
                assert!(bytes < 20 * 1024, "seed {seed}: a batch of {bytes} bytes");
                if rng.random_bool(loss_probability) {
                    continue;
                }
                let delay_ms = if at_ms < faults_until_ms {
                    rng.random_range(0..3_000)
                } else {
                    1
                };
                in_flight.push((Timestamp::from_millis(at_ms + delay_ms), batch.clone()));
                if rng.random_bool(loss_probability) {
                    in_flight.push((Timestamp::from_millis(at_ms + delay_ms + 900), batch));
                }
            }
            let replica = replicas.get(PARTITION);
            for (name, machine) in replica.into_iter().flat_map(|replica| &replica.machines) {
                let replicated = (name.to_string(), machine.snapshot.worker_epoch);
                assert!(
                    sent.contains(&replicated),
                    "seed {seed}: {replicated:?} was never sent"
                );
            }
        }
        assert!(
            replicas.is_in_sync(PARTITION, Timestamp::from_millis(end_ms)),
            "seed {seed}: the replica is not in sync"
        );
        let Some(replica) = replicas.remove(PARTITION) else {
            panic!("seed {seed}: no replica")
        };
        let machines: BTreeMap<MachineName, u64> = replica
            .machines
            .iter()
            .map(|(name, machine)| (name.clone(), machine.snapshot.worker_epoch))
            .collect();
        let expected_machines: BTreeMap<MachineName, u64> = leader
            .worker_epochs
            .iter()
            .map(|(number, worker_epoch)| {
                (
                    MachineName::from(machine_name(*number).as_str()),
                    *worker_epoch,
                )
            })
            .collect();
        assert!(
            machines == expected_machines,
            "seed {seed}: the replica has {} machines and differs from the leader, which has {}",
            machines.len(),
            expected_machines.len()
        );
        let job_failures: BTreeMap<u64, u32> = replica
            .job_failures
            .iter()
            .map(|(id, record)| (*id, record.failures[0].1))
            .collect();
        assert_eq!(job_failures, leader.job_failures, "seed {seed}");
    }
}

/// Batches from another leader, incarnation or term than the replica's source are ignored, and the replica keeps
/// its records until the first batch of the new source arrives.
#[test]
fn batches_from_other_leaders_incarnations_or_terms_are_ignored() {
    let (former_leader, new_leader) = (ControllerName::from("n0"), ControllerName::from("n1"));
    let mut replicas = Replicas::default();
    let source = |leader: &ControllerName, incarnation, term| ReplicationSource {
        leader: leader.clone(),
        incarnation,
        term,
    };
    let batch = |incarnation, term, worker_epoch| ReplicationBatch {
        partition: PARTITION.0,
        incarnation,
        term,
        after: 0,
        up_to: 1,
        newest: 1,
        tombstones_dropped_up_to: 0,
        sent_at_ms: 10,
        records: vec![machine_record(1, worker_epoch)],
    };
    let replicated_epoch = |replicas: &Replicas| {
        let replica = replicas
            .get(PARTITION)
            .expect("the partition has a replica");
        replica
            .machines
            .values()
            .next()
            .map(|machine| machine.snapshot.worker_epoch)
    };
    replicas.subscribe(
        &BTreeMap::from([(PARTITION, source(&former_leader, 5, 3))]),
        Timestamp::from_millis(10),
    );
    assert_eq!(
        replicas.apply(&former_leader, batch(5, 3, 11), Timestamp::from_millis(20)),
        None
    );
    assert_eq!(replicated_epoch(&replicas), Some(11));
    replicas.subscribe(
        &BTreeMap::from([(PARTITION, source(&new_leader, 6, 4))]),
        Timestamp::from_millis(30),
    );
    assert!(
        !replicas.is_in_sync(PARTITION, Timestamp::from_millis(30)),
        "the new leader has sent nothing yet"
    );
    replicas.apply(&former_leader, batch(5, 3, 12), Timestamp::from_millis(40));
    replicas.apply(&former_leader, batch(6, 4, 13), Timestamp::from_millis(40));
    replicas.apply(&new_leader, batch(6, 3, 14), Timestamp::from_millis(40));
    replicas.apply(&new_leader, batch(9, 4, 15), Timestamp::from_millis(40));
    assert_eq!(replicated_epoch(&replicas), Some(11));
    replicas.apply(&new_leader, batch(6, 4, 16), Timestamp::from_millis(50));
    assert_eq!(replicated_epoch(&replicas), Some(16));
    assert!(replicas.is_in_sync(PARTITION, Timestamp::from_millis(50)));
}
