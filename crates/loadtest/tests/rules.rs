//! The check of the rules finds each kind of breach, and none where there is none.

use loadtest::config::Experiment;
use loadtest::observations::{TaskChange, TaskEvent, UserEvent, UserEventKind};
use loadtest::rules::{check, Verdict};
use loadtest::run_layout::class_job_number;
use wire::users::JobState;

const SECOND: u64 = 1_000_000;

fn experiment() -> Experiment {
    let text = include_str!("../experiments/small.toml");
    let one_task = ["classes.0.tasks=[1, 1]".to_owned()];
    Experiment::parse_with_overrides(text, &one_task).expect("a good file")
}

fn task(at_s: u64, machine: u32, job: u64, change: TaskChange) -> TaskEvent {
    TaskEvent {
        at_us: at_s * SECOND,
        machine,
        job,
        task: 0,
        change,
    }
}

fn user(at_s: u64, job: u64, kind: UserEventKind) -> UserEvent {
    UserEvent {
        at_us: at_s * SECOND,
        request_sent_us: at_s * SECOND - 1_000,
        job,
        kind,
    }
}

/// A job that is accepted at second 1, runs on machine 5 and is done at second 9.
fn whole(job: u64) -> (Vec<TaskEvent>, Vec<UserEvent>) {
    let tasks = vec![
        task(3, 5, job, TaskChange::Started),
        task(9, 5, job, TaskChange::Done),
        task(9, 5, job, TaskChange::Ended),
    ];
    let users = vec![
        user(1, job, UserEventKind::Submitted),
        user(1, job, UserEventKind::Accepted),
        user(10, job, UserEventKind::Status(JobState::Done)),
    ];
    (tasks, users)
}

fn rules_broken(tasks: &[TaskEvent], users: &[UserEvent]) -> Vec<String> {
    let Verdict { broken, .. } = check(&experiment(), tasks, users, 100 * SECOND);
    broken.into_iter().map(|b| b.rule).collect()
}

#[test]
fn whole_job_breaks_no_rule() {
    let (tasks, users) = whole(class_job_number(0, 0));
    assert_eq!(rules_broken(&tasks, &users), Vec::<String>::new());
}

#[test]
fn task_on_two_machines_is_found() {
    let job = class_job_number(0, 0);
    let (mut tasks, users) = whole(job);
    tasks.push(task(4, 6, job, TaskChange::Started));
    assert_eq!(rules_broken(&tasks, &users), ["ran_twice"]);
}

#[test]
fn task_that_moved_after_its_end_is_no_breach() {
    let job = class_job_number(0, 0);
    let (mut tasks, users) = whole(job);
    tasks.push(task(1, 6, job, TaskChange::Started));
    tasks.push(task(2, 6, job, TaskChange::Ended));
    assert_eq!(rules_broken(&tasks, &users), Vec::<String>::new());
}

#[test]
fn early_done_and_going_back_are_found() {
    let job = class_job_number(0, 0);
    let (tasks, mut users) = whole(job);
    users.push(user(5, job, UserEventKind::Status(JobState::Done)));
    users.push(user(7, job, UserEventKind::Status(JobState::Running)));
    assert_eq!(rules_broken(&tasks, &users), ["not_done", "went_back"]);
    let (tasks, mut users) = whole(job);
    users.push(user(12, job, UserEventKind::Status(JobState::Cancelled)));
    assert_eq!(rules_broken(&tasks, &users), ["went_back"]);
}

#[test]
fn forgotten_job_is_found() {
    let job = class_job_number(0, 0);
    let (tasks, mut users) = whole(job);
    users.push(user(20, job, UserEventKind::Missing));
    assert_eq!(rules_broken(&tasks, &users), ["forgotten"]);
}

#[test]
fn cancelled_task_that_stays_is_found() {
    let job = class_job_number(0, 0);
    let tasks = [task(3, 5, job, TaskChange::Started)];
    let users = [
        user(1, job, UserEventKind::Accepted),
        user(4, job, UserEventKind::CancelRequested),
        user(5, job, UserEventKind::Status(JobState::Cancelled)),
    ];
    assert_eq!(rules_broken(&tasks, &users), ["ran_cancelled"]);
    let ended = [tasks[0].clone(), task(20, 5, job, TaskChange::Ended)];
    assert_eq!(rules_broken(&ended, &users), Vec::<String>::new());
}

#[test]
fn task_of_unsubmitted_job_and_idle_run_are_found() {
    let tasks = [task(3, 5, class_job_number(0, 7), TaskChange::Started)];
    assert_eq!(rules_broken(&tasks, &[]), ["wrong_place"]);
    assert_eq!(rules_broken(&[], &[]), ["nothing_ran"]);
}

#[test]
fn team_over_its_limit_is_found() {
    let experiment = experiment();
    let team_0 = |job: &u64| experiment.job_request(*job).is_some_and(|j| j.team == "t0");
    let jobs: Vec<u64> = (0..6_000)
        .map(|nth| class_job_number(0, nth))
        .filter(team_0)
        .collect();
    let fit = (experiment.max_team_cpus() / 0.5) as usize;
    assert!(jobs.len() > fit, "enough jobs of one team");
    let tasks: Vec<_> = jobs
        .iter()
        .map(|job| task(3, 5, *job, TaskChange::Started))
        .collect();
    let users: Vec<_> = jobs
        .iter()
        .map(|job| user(1, *job, UserEventKind::Submitted))
        .collect();
    assert_eq!(rules_broken(&tasks[..fit], &users), Vec::<String>::new());
    assert_eq!(rules_broken(&tasks[..=fit], &users), ["quota"]);
}
