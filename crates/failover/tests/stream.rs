//! Seeded runs of one leader and its subscribers over a mesh that loses, repeats and delays: after each
//! step a copy shows nothing that its source never sent, and once the mesh is well it is equal.

use failover::{Replicas, ReplicationSource, ReplicationStream};
use model::{ControllerName, MachineName, PartitionId, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use wire::mesh::{
    JobFailureSnapshot, MachineSnapshot, MeshMessage, ReplicatedRecord, ReplicationBatch,
};

const P: PartitionId = PartitionId(2);

fn machine(n: u32, session: u64) -> ReplicatedRecord {
    ReplicatedRecord::Machine(MachineSnapshot {
        machine: format!("host-{n:04}"),
        address: format!("10.0.0.{n}:9000"),
        worker_epoch: session,
        reporting: !session.is_multiple_of(3),
        quarantined: false,
        idle_since_ms: None,
        images: vec![(format!("img-{}", session % 4), 1.5)],
    })
}

fn job(n: u64, failures: u32) -> ReplicatedRecord {
    let failed_on = vec!["host-0001".to_owned()];
    let (successes, longest_failure_ms) = (0, 900);
    ReplicatedRecord::Job(JobFailureSnapshot {
        job: n,
        failures: vec![(0, failures)],
        failed_on,
        successes,
        longest_failure_ms,
    })
}

/// The leader's side: its incarnation and its current records.
struct Holder {
    stream: ReplicationStream,
    incarnation: u64,
    truth: BTreeMap<u32, u64>,
    jobs: BTreeMap<u64, u32>,
}

impl Holder {
    fn new(incarnation: u64) -> Self {
        Holder {
            stream: ReplicationStream::default(),
            incarnation,
            truth: BTreeMap::new(),
            jobs: BTreeMap::new(),
        }
    }

    fn change(&mut self, rng: &mut SmallRng, sent: &mut BTreeSet<(String, u64)>) {
        for _ in 0..rng.random_range(0..60) {
            let n = rng.random_range(0..900);
            if rng.random_bool(0.2) {
                self.truth.remove(&n);
            } else {
                let session = rng.random_range(1..1_000);
                self.truth.insert(n, session);
                sent.insert((format!("host-{n:04}"), session));
            }
        }
        self.jobs
            .insert(rng.random_range(0..40), rng.random_range(1..9));
        let machines = self.truth.iter().map(|(n, session)| machine(*n, *session));
        let jobs = self.jobs.iter().map(|(n, failures)| job(*n, *failures));
        self.stream.update(machines.chain(jobs));
    }

    fn batch(&self, now: Timestamp) -> ReplicationBatch {
        let (incarnation, sent_at_ms) = (self.incarnation, now.as_millis());
        ReplicationBatch {
            partition: P.0,
            incarnation,
            term: 7,
            sent_at_ms,
            ..ReplicationBatch::default()
        }
    }
}

#[test]
fn replicas_contain_only_sent_records_and_converge() {
    let (holder_name, me) = (ControllerName::from("n0"), ControllerName::from("n1"));
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sent = BTreeSet::new();
        let mut leader = Holder::new(1);
        let mut replicas = Replicas::default();
        let mut on_way: Vec<(Timestamp, ReplicationBatch)> = Vec::new();
        let (well_from, ends) = (20_000, 32_000);
        for at in (0..ends).step_by(250) {
            let now = Timestamp::from_millis(at);
            if at < well_from {
                leader.change(&mut rng, &mut sent);
                if rng.random_bool(0.03) {
                    // It ends, and its next incarnation knows nothing of what it has sent.
                    leader = Holder::new(leader.incarnation + 1);
                    leader.change(&mut rng, &mut sent);
                }
            }
            let loss = if at < well_from { 0.2 } else { 0.0 };
            let source = ReplicationSource {
                leader: holder_name.clone(),
                incarnation: leader.incarnation,
                term: 7,
            };
            let mut words = replicas.subscribe(&BTreeMap::from([(P, source)]), now);
            on_way.sort_by_key(|(at, _)| *at);
            let due: Vec<_> = on_way.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, batch) in due {
                words.extend(
                    replicas
                        .apply(&holder_name, batch, now)
                        .map(|m| (me.clone(), m)),
                );
            }
            for (_, word) in words {
                if let MeshMessage::Subscribe {
                    incarnation,
                    applied,
                    ..
                } = word
                {
                    if incarnation == leader.incarnation && !rng.random_bool(loss) {
                        leader.stream.subscribe(&me, applied, now);
                    }
                }
            }
            for (_, batch) in leader.stream.due_batches(&leader.batch(now), now) {
                let bytes: usize = batch
                    .records
                    .iter()
                    .map(ReplicatedRecord::approximate_bytes)
                    .sum();
                assert!(bytes < 20 * 1024, "seed {seed}: a part of {bytes} bytes");
                if rng.random_bool(loss) {
                    continue;
                }
                let delay = if at < well_from {
                    rng.random_range(0..3_000)
                } else {
                    1
                };
                on_way.push((Timestamp::from_millis(at + delay), batch.clone()));
                if rng.random_bool(loss) {
                    on_way.push((Timestamp::from_millis(at + delay + 900), batch));
                }
            }
            let replica = replicas.get(P);
            for (name, machine) in replica.into_iter().flat_map(|replica| &replica.machines) {
                let known = (name.to_string(), machine.snapshot.worker_epoch);
                assert!(
                    sent.contains(&known),
                    "seed {seed}: {known:?} was never sent"
                );
            }
        }
        assert!(
            replicas.is_in_sync(P, Timestamp::from_millis(ends)),
            "seed {seed}"
        );
        let Some(copy) = replicas.remove(P) else {
            panic!("seed {seed}: no copy")
        };
        let machines: BTreeMap<MachineName, u64> = copy
            .machines
            .iter()
            .map(|(name, machine)| (name.clone(), machine.snapshot.worker_epoch))
            .collect();
        let truth: BTreeMap<MachineName, u64> = leader
            .truth
            .iter()
            .map(|(n, session)| (MachineName::from(format!("host-{n:04}").as_str()), *session))
            .collect();
        assert!(
            machines == truth,
            "seed {seed}: {} and {} differ",
            machines.len(),
            truth.len()
        );
        let jobs: BTreeMap<u64, u32> = copy
            .job_failures
            .iter()
            .map(|(id, record)| (*id, record.failures[0].1))
            .collect();
        assert_eq!(jobs, leader.jobs, "seed {seed}");
    }
}

/// Batches of a former leader, of another partition or from a third controller are ignored, and a
/// replica keeps its records until the first batch of the new leader.
#[test]
fn batches_of_other_leaders_or_terms_are_ignored() {
    let (old, new) = (ControllerName::from("n0"), ControllerName::from("n1"));
    let mut replicas = Replicas::default();
    let source = |leader: &ControllerName, incarnation, term| ReplicationSource {
        leader: leader.clone(),
        incarnation,
        term,
    };
    let batch = |incarnation, term, session| ReplicationBatch {
        partition: P.0,
        incarnation,
        term,
        after: 0,
        up_to: 1,
        newest: 1,
        tombstones_dropped_up_to: 0,
        sent_at_ms: 10,
        records: vec![machine(1, session)],
    };
    let session = |replicas: &Replicas| {
        let copy = replicas.get(P).expect("a copy");
        copy.machines
            .values()
            .next()
            .map(|machine| machine.snapshot.worker_epoch)
    };
    replicas.subscribe(
        &BTreeMap::from([(P, source(&old, 5, 3))]),
        Timestamp::from_millis(10),
    );
    assert_eq!(
        replicas.apply(&old, batch(5, 3, 11), Timestamp::from_millis(20)),
        None
    );
    assert_eq!(session(&replicas), Some(11));
    replicas.subscribe(
        &BTreeMap::from([(P, source(&new, 6, 4))]),
        Timestamp::from_millis(30),
    );
    assert!(
        !replicas.is_in_sync(P, Timestamp::from_millis(30)),
        "the new leader has sent nothing yet"
    );
    replicas.apply(&old, batch(5, 3, 12), Timestamp::from_millis(40));
    replicas.apply(&old, batch(6, 4, 13), Timestamp::from_millis(40));
    replicas.apply(&new, batch(6, 3, 14), Timestamp::from_millis(40));
    replicas.apply(&new, batch(9, 4, 15), Timestamp::from_millis(40));
    assert_eq!(session(&replicas), Some(11));
    replicas.apply(&new, batch(6, 4, 16), Timestamp::from_millis(50));
    assert_eq!(session(&replicas), Some(16));
    assert!(replicas.is_in_sync(P, Timestamp::from_millis(50)));
}
