use super::*;

/// Observes a waiting job beside one empty machine for two minutes; `limit_cpus` is the limit of its team. Returns the
/// ids that are reported.
fn starving_jobs(job: &JobRequest, limit_cpus: f64) -> Vec<String> {
    let worker = Worker::new("host-000001", "m4", "a", false, 0);
    let workers = BTreeMap::from([(worker.name.clone(), worker)]);
    let jobs = HashMap::from([(job.id.clone(), job.clone())]);
    let limits = BTreeMap::from([(job.team.clone(), limit_cpus)]);
    let mut checker = StarvationChecker::default();
    let observation_times = (1..=120).map(|second| second * 1_000);
    observation_times
        .flat_map(|now| checker.observe(&workers, &jobs, jobs.keys(), &limits, now))
        .collect()
}

#[test]
fn job_waiting_beside_empty_machine_is_reported_once() {
    let job = crate::single_controller::job(1, JobKind::Array, 3);
    assert_eq!(starving_jobs(&job, 100.0), [job.id]);
}

#[test]
fn job_beyond_capacity_or_team_limit_is_not_reported() {
    let job = crate::single_controller::job(1, JobKind::Array, 3);
    assert_eq!(
        starving_jobs(&job, 0.5),
        [""; 0],
        "one task exceeds the limit of its team"
    );
    let elsewhere = JobRequest {
        zone: Some("b".into()),
        ..job.clone()
    };
    assert_eq!(
        starving_jobs(&elsewhere, 100.0),
        [""; 0],
        "no machine in its zone"
    );
    let gang = crate::single_controller::job(2, JobKind::Gang, 5);
    assert_eq!(
        starving_jobs(&gang, 100.0),
        [""; 0],
        "four of five tasks fit"
    );
    let gang = crate::single_controller::job(2, JobKind::Gang, 4);
    assert_eq!(starving_jobs(&gang, 100.0), [gang.id]);
}
