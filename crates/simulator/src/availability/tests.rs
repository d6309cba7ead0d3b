use super::*;

/// Ten gangs of one task start at once; of the one gang of eight tasks, the last task starts after the deadline.
#[test]
fn largest_job_not_started_in_time_lowers_the_level_despite_started_small_jobs() {
    let mut availability = Availability::default();
    let (mut jobs, mut accepted) = (HashMap::new(), BTreeMap::new());
    let mut submitted = HashMap::new();
    for n in 0..11 {
        let tasks = if n == 0 { 8 } else { 1 };
        let job = crate::single_controller::job(n, JobKind::Gang, tasks);
        let started = if n == 0 { 7 } else { 1 };
        (0..started).for_each(|i| {
            availability.record_task_start(&format!("{}/{i}", job.id), &job, 100.0, 1_000)
        });
        accepted.insert(job.id.clone(), 900);
        submitted.insert(job.id.clone(), 0);
        jobs.insert(job.id.clone(), job);
    }
    let largest = |availability: &Availability, now| {
        availability.largest_job_levels(&jobs, &accepted, &submitted, &BTreeSet::new(), now)
    };
    let level = |due, served| ServiceLevel {
        name: "largest gangs".into(),
        due,
        served,
    };
    assert_eq!(
        largest(&availability, 239_000),
        [level(1, 1)],
        "its deadline has not passed"
    );
    assert_eq!(largest(&availability, 240_000), [level(2, 1)]);
    availability.record_task_start("j-000000/7", &jobs["j-000000"], 100.0, 250_000);
    assert_eq!(
        largest(&availability, 260_000),
        [level(2, 1)],
        "started too late"
    );
}
