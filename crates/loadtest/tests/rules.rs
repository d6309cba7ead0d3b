//! The rule check finds each kind of violation, and reports none for events that keep the rules.

use loadtest::config::Experiment;
use loadtest::observations::{TaskChange, TaskEvent, UserEvent, UserEventKind};
use loadtest::rules::{check, RuleCheckResult};
use loadtest::run_layout::class_job_number;
use wire::users::JobState;

const SECOND_US: u64 = 1_000_000;

/// The small experiment; each job of its first class has one task.
fn experiment() -> Experiment {
    let text = include_str!("../experiments/small.toml");
    let one_task = ["classes.0.tasks=[1, 1]".to_owned()];
    Experiment::parse_with_overrides(text, &one_task).expect("the experiment file is valid")
}

fn task_event(at_s: u64, machine: u32, job: u64, change: TaskChange) -> TaskEvent {
    TaskEvent {
        at_us: at_s * SECOND_US,
        machine,
        job,
        task: 0,
        change,
    }
}

fn user_event(at_s: u64, job: u64, kind: UserEventKind) -> UserEvent {
    UserEvent {
        at_us: at_s * SECOND_US,
        request_sent_us: at_s * SECOND_US - 1_000,
        job,
        kind,
    }
}

/// Events of a job that is accepted at second 1, runs on machine 5 from second 3 and is done at second 9.
fn completed_job(job: u64) -> (Vec<TaskEvent>, Vec<UserEvent>) {
    let tasks = vec![
        task_event(3, 5, job, TaskChange::Started),
        task_event(9, 5, job, TaskChange::Done),
        task_event(9, 5, job, TaskChange::Ended),
    ];
    let users = vec![
        user_event(1, job, UserEventKind::Submitted),
        user_event(1, job, UserEventKind::Accepted),
        user_event(10, job, UserEventKind::Status(JobState::Done)),
    ];
    (tasks, users)
}

fn broken_rules(tasks: &[TaskEvent], users: &[UserEvent]) -> Vec<String> {
    let RuleCheckResult { broken, .. } = check(&experiment(), tasks, users, 100 * SECOND_US);
    broken.into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn completed_job_breaks_no_rule() {
    let (tasks, users) = completed_job(class_job_number(0, 0));
    assert_eq!(broken_rules(&tasks, &users), Vec::<String>::new());
}

#[test]
fn task_on_two_machines_is_reported() {
    let job = class_job_number(0, 0);
    let (mut tasks, users) = completed_job(job);
    tasks.push(task_event(4, 6, job, TaskChange::Started));
    assert_eq!(broken_rules(&tasks, &users), ["ran_twice"]);
}

#[test]
fn task_that_left_one_machine_may_start_on_another() {
    let job = class_job_number(0, 0);
    let (mut tasks, users) = completed_job(job);
    tasks.push(task_event(1, 6, job, TaskChange::Started));
    tasks.push(task_event(2, 6, job, TaskChange::Ended));
    assert_eq!(broken_rules(&tasks, &users), Vec::<String>::new());
}

#[test]
fn premature_done_and_changed_final_states_are_reported() {
    let job = class_job_number(0, 0);
    let (tasks, mut users) = completed_job(job);
    users.push(user_event(5, job, UserEventKind::Status(JobState::Done)));
    users.push(user_event(7, job, UserEventKind::Status(JobState::Running)));
    assert_eq!(broken_rules(&tasks, &users), ["not_done", "went_back"]);
    let (tasks, mut users) = completed_job(job);
    users.push(user_event(
        12,
        job,
        UserEventKind::Status(JobState::Cancelled),
    ));
    assert_eq!(broken_rules(&tasks, &users), ["went_back"]);
}

#[test]
fn accepted_job_that_is_reported_missing_is_a_violation() {
    let job = class_job_number(0, 0);
    let (tasks, mut users) = completed_job(job);
    users.push(user_event(20, job, UserEventKind::Missing));
    assert_eq!(broken_rules(&tasks, &users), ["forgotten"]);
}

#[test]
fn task_that_outlives_the_cancellation_deadline_is_reported() {
    let job = class_job_number(0, 0);
    let tasks = [task_event(3, 5, job, TaskChange::Started)];
    let users = [
        user_event(1, job, UserEventKind::Accepted),
        user_event(4, job, UserEventKind::CancelRequested),
        user_event(5, job, UserEventKind::Status(JobState::Cancelled)),
    ];
    assert_eq!(broken_rules(&tasks, &users), ["ran_cancelled"]);
    let ended = [tasks[0].clone(), task_event(20, 5, job, TaskChange::Ended)];
    assert_eq!(broken_rules(&ended, &users), Vec::<String>::new());
}

#[test]
fn task_of_an_unsubmitted_job_and_run_without_task_starts_are_reported() {
    let tasks = [task_event(
        3,
        5,
        class_job_number(0, 7),
        TaskChange::Started,
    )];
    assert_eq!(broken_rules(&tasks, &[]), ["wrong_place"]);
    assert_eq!(broken_rules(&[], &[]), ["nothing_ran"]);
}

#[test]
fn team_above_its_cpu_limit_is_reported() {
    let experiment = experiment();
    let is_of_team_0 = |job: &u64| experiment.job_request(*job).is_some_and(|j| j.team == "t0");
    let jobs: Vec<u64> = (0..6_000)
        .map(|nth| class_job_number(0, nth))
        .filter(is_of_team_0)
        .collect();
    let max_tasks = (experiment.max_team_cpus() / 0.5) as usize;
    assert!(jobs.len() > max_tasks, "too few jobs of one team");
    let tasks: Vec<_> = jobs
        .iter()
        .map(|job| task_event(3, 5, *job, TaskChange::Started))
        .collect();
    let users: Vec<_> = jobs
        .iter()
        .map(|job| user_event(1, *job, UserEventKind::Submitted))
        .collect();
    assert_eq!(
        broken_rules(&tasks[..max_tasks], &users),
        Vec::<String>::new()
    );
    assert_eq!(broken_rules(&tasks[..=max_tasks], &users), ["quota"]);
}
