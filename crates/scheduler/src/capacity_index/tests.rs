//! The capacity index finds the same machine as a scan of all machines.

use super::*;
use crate::job::Job;
use crate::placement::TaskAttempt;
use model::{Attempt, FencingToken, JobId, TaskId, Timestamp};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wire::cloud::MachineType;
use wire::users::{JobKind, JobRequest, Priority};

fn attempt_of(task: TaskId) -> TaskAttempt {
    TaskAttempt {
        task,
        attempt: Attempt(1),
    }
}

fn random_job(rng: &mut SmallRng) -> Job {
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
        task_count: 1,
        cpus: f64::from(rng.random_range(1..5)) / 2.0,
        gpus: f64::from(rng.random_range(0..2)),
        memory_gb: 1.0,
        image: format!("i{}", rng.random_range(0..4)),
        image_gb: 3.0,
        allowed_machine_types: rng.random_bool(0.3).then(|| vec!["m1".into()]),
        zone: rng.random_bool(0.3).then(|| "a".into()),
        one_zone: false,
        spread_over_zones: false,
        spot_allowed: rng.random_bool(0.5),
        estimated_run_time_s: 10.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_time_s: 0.0,
        deadline_s: None,
    };
    Job::new(
        JobSpec::try_from(&request).expect("the request is valid"),
        0,
        Timestamp::from_millis(0),
    )
}

fn random_machine(number: u64, rng: &mut SmallRng) -> Machine {
    let machine_type = MachineType {
        name: format!("m{}", rng.random_range(0..2)),
        cpus: 4.0,
        gpus: 2.0,
        memory_gb: 6.0,
        cache_gb: 7.0,
        fetch_gb_per_s: 1.0,
        price_per_hour: 1.0,
        spot_price_per_hour: 0.5,
        boot_s: 10.0,
        zones: vec!["a".into(), "b".into()],
    };
    let zone = ZoneName::from(if rng.random_bool(0.5) { "a" } else { "b" });
    let name = MachineName::from(format!("host-{number:06}").as_str());
    Machine::new(
        name,
        &machine_type,
        zone,
        rng.random_bool(0.4),
        FencingToken(1),
    )
}

/// The score of a machine; the lowest is the best. It agrees with the order of the levels, and of the machines
/// within a level.
fn score(job: &Job, machine: &Machine) -> (bool, bool, u64, u64, u64) {
    let replicas_below_max = MAX_RANKED_REPLICAS - machine.replica_count.min(MAX_RANKED_REPLICAS);
    let free = machine.free();
    let cached = machine.has_image(&job.spec.image);
    (
        !cached,
        !machine.spot,
        replicas_below_max,
        free.milli_gpus,
        free.milli_cpus,
    )
}

/// Adds, removes and changes machines at random, and compares the index with a full scan after each change.
#[test]
fn best_machine_is_best_of_full_scan_after_random_changes() {
    let mut found = 0;
    for seed in 0..40 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut index = CapacityIndex::default();
        let mut machines: BTreeMap<MachineName, Machine> = BTreeMap::new();
        let mut placements: Vec<(MachineName, TaskId, Arc<JobSpec>)> = Vec::new();
        for step in 0..400u64 {
            let picked = rng.random_range(0..machines.len().max(1));
            let picked = machines.keys().nth(picked).cloned();
            let job = random_job(&mut rng);
            match (rng.random_range(0..7), picked) {
                (0, Some(name)) if machines.len() > 25 => {
                    let mut removed = machines.remove(&name).expect("the machine exists");
                    placements.retain(|(machine, ..)| *machine != name);
                    index.remove(&mut removed);
                }
                (0 | 1, _) => {
                    let mut new = random_machine(step, &mut rng);
                    index.add_or_update(&mut new);
                    machines.insert(new.name.clone(), new);
                }
                (2, Some(name)) => {
                    let machine = machines.get_mut(&name).expect("the machine exists");
                    match machine.capacity_key {
                        Some(_) => index.remove(machine),
                        None => index.add_or_update(machine),
                    }
                }
                (3, _) if !placements.is_empty() => {
                    let position = rng.random_range(0..placements.len());
                    let (name, task, spec) = placements.swap_remove(position);
                    let machine = machines.get_mut(&name).expect("the machine exists");
                    machine.remove_task(attempt_of(task), &spec, Timestamp::from_millis(step));
                    index.update(machine);
                }
                (4 | 5, Some(name)) => {
                    let machine = machines.get_mut(&name).expect("the machine exists");
                    let task = TaskId {
                        job: JobId(step),
                        index: 0,
                    };
                    if job.spec.task_resources.fits(&machine.free()) {
                        machine.add_task(attempt_of(task), &job.spec);
                        index.update(machine);
                        index.touch_image(machine, &job.spec.image, job.spec.image_gb);
                        placements.push((name, task, job.spec.clone()));
                    }
                }
                _ => {}
            }
            let fits = |machine: &Machine| job.spec.task_resources.fits(&machine.free());
            let expected = machines
                .values()
                .filter(|machine| machine.capacity_key.is_some() && fits(machine))
                .filter(|machine| {
                    job.spec
                        .allows(&machine.machine_type, &machine.zone, machine.spot)
                })
                .min_by_key(|machine| score(&job, machine));
            let best = index.best_machine(
                &job.spec,
                false,
                |name| machines.get(name),
                fits,
                |machine| score(&job, machine),
            );
            assert_eq!(
                best.map(|machine| &machine.name),
                expected.map(|machine| &machine.name),
                "seed {seed}, step {step}"
            );
            found += u32::from(best.is_some());
        }
    }
    assert!(found > 5_000, "a machine was found in only {found} steps");
}
