use super::*;

/// Ten small gangs begin at once, one of eight tasks never does.
#[test]
fn largest_job_without_start_is_reported_despite_started_small_jobs() {
    let mut served = Availability::default();
    let (mut jobs, mut accepted) = (HashMap::new(), BTreeMap::new());
    let mut submitted = HashMap::new();
    for n in 0..11 {
        let tasks = if n == 0 { 8 } else { 1 };
        let job = crate::single_controller::job(n, JobKind::Gang, tasks);
        let seen = if n == 0 { 7 } else { 1 };
        (0..seen)
            .for_each(|i| served.record_task_start(&format!("{}/{i}", job.id), &job, 100.0, 1_000));
        accepted.insert(job.id.clone(), 900);
        submitted.insert(job.id.clone(), 0);
        jobs.insert(job.id.clone(), job);
    }
    let largest = |served: &Availability, now| {
        served.largest_job_levels(&jobs, &accepted, &submitted, &BTreeSet::new(), now)
    };
    let part = |due, served| ServiceLevel {
        name: "largest gangs".into(),
        due,
        served,
    };
    assert_eq!(
        largest(&served, 239_000),
        [part(1, 1)],
        "its time is not over"
    );
    assert_eq!(largest(&served, 240_000), [part(2, 1)]);
    served.record_task_start("j-000000/7", &jobs["j-000000"], 100.0, 250_000);
    assert_eq!(largest(&served, 260_000), [part(2, 1)], "too late");
}
