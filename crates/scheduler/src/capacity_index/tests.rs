//! Tests of the capacity index.

use super::*;
use crate::job::Job;
use model::{FencingToken, JobId, TaskId, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};

fn job(rng: &mut SmallRng) -> Job {
    let request = JobRequest {
        id: format!("j-{:06}", rng.random_range(1..999_999)),
        class: "c".into(),
        team: "t".into(),
        kind: if rng.random_bool(0.5) {
            JobKind::Service
        } else {
            JobKind::Array
        },
        priority: Priority::Normal,
        tasks: 1,
        cpus: f64::from(rng.random_range(1..5)) / 2.0,
        gpus: f64::from(rng.random_range(0..2)),
        memory_gb: 1.0,
        image: format!("i{}", rng.random_range(0..4)),
        image_gb: 3.0,
        types: rng.random_bool(0.3).then(|| vec!["m1".into()]),
        zone: rng.random_bool(0.3).then(|| "a".into()),
        one_zone: false,
        spread: false,
        spot: rng.random_bool(0.5),
        estimate_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    };
    Job::new(
        JobSpec::try_from(&request).expect("a good job"),
        0,
        Timestamp::from_millis(0),
    )
}

fn machine(n: u64, rng: &mut SmallRng) -> Machine {
    let kind = MachineType {
        name: format!("m{}", rng.random_range(0..2)),
        cpus: 4.0,
        gpus: 2.0,
        memory_gb: 6.0,
        cache_gb: 7.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    let zone = ZoneName::from(if rng.random_bool(0.5) { "a" } else { "b" });
    let name = MachineName::from(format!("host-{n:06}").as_str());
    Machine::new(name, &kind, zone, rng.random_bool(0.4), FencingToken(1))
}

/// The least is the best: the order of the levels, and of the machines within a level.
fn score(job: &Job, machine: &Machine) -> (bool, bool, u64, u64, u64) {
    let pinned = MAX_RANKED_REPLICAS - machine.replica_count.min(MAX_RANKED_REPLICAS);
    let free = machine.free();
    let cached = machine.has_image(&job.spec.image);
    (
        !cached,
        !machine.spot,
        pinned,
        free.milli_gpus,
        free.milli_cpus,
    )
}

/// After any sequence of changes, the index finds the same machine as a scan of all machines.
#[test]
fn best_equals_minimum_of_full_scan_after_random_changes() {
    let mut found = 0;
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut index = CapacityIndex::default();
        let mut machines: BTreeMap<MachineName, Machine> = BTreeMap::new();
        let mut held: Vec<(MachineName, TaskId, Arc<JobSpec>)> = Vec::new();
        for step in 0..400u64 {
            let some = rng.random_range(0..machines.len().max(1));
            let some = machines.keys().nth(some).cloned();
            let job = job(&mut rng);
            match (rng.random_range(0..7), some) {
                (0, Some(name)) if machines.len() > 25 => {
                    let mut gone = machines.remove(&name).expect("it is there");
                    held.retain(|(on, ..)| *on != name);
                    index.remove(&mut gone);
                }
                (0 | 1, _) => {
                    let mut new = machine(step, &mut rng);
                    index.add_or_update(&mut new);
                    machines.insert(new.name.clone(), new);
                }
                (2, Some(name)) => {
                    let on = machines.get_mut(&name).expect("it is there");
                    match on.capacity_key {
                        Some(_) => index.remove(on),
                        None => index.add_or_update(on),
                    }
                }
                (3, _) if !held.is_empty() => {
                    let at = rng.random_range(0..held.len());
                    let (name, task, spec) = held.swap_remove(at);
                    let on = machines.get_mut(&name).expect("it is there");
                    on.remove_task(task, &spec, Timestamp::from_millis(step));
                    index.update(on);
                }
                (4 | 5, Some(name)) => {
                    let on = machines.get_mut(&name).expect("it is there");
                    let task = TaskId {
                        job: JobId(step),
                        index: 0,
                    };
                    if job.spec.needs.fits(&on.free()) {
                        on.add_task(task, &job.spec);
                        index.update(on);
                        index.touch_image(on, &job.spec.image, job.spec.image_gb);
                        held.push((name, task, job.spec.clone()));
                    }
                }
                _ => {}
            }
            let fit = |m: &Machine| job.spec.needs.fits(&m.free());
            let scan = machines
                .values()
                .filter(|m| m.capacity_key.is_some() && fit(m))
                .filter(|m| job.spec.allows(&m.machine_type, &m.zone, m.spot))
                .min_by_key(|m| score(&job, m));
            let best = index.best_machine(
                &job.spec,
                false,
                |n| machines.get(n),
                fit,
                |m| score(&job, m),
            );
            assert_eq!(
                best.map(|m| &m.name),
                scan.map(|m| &m.name),
                "seed {seed}, {step}"
            );
            found += u32::from(best.is_some());
        }
    }
    assert!(found > 5_000, "{found}");
}
