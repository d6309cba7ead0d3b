//! Records of accepted jobs that this controller can't read, such as those of a newer version, must be kept.
//!
//! Guards against their loss: a controller rewrote a page of accepted jobs from the entries that it could read. The
//! next acceptance on that page then deleted an unreadable entry (logged as `record rejected`) and with it the only
//! record of an accepted job. Until then, requests for this job were answered with 404.

use controller::{UserReply, UserRequest};
use model::JobId;
use serde_json::{json, Value};
use simulator::{single_controller, SingleController};
use wire::users::JobKind;

const PAGE_KEY: &str = "s/j/n0/0000";
/// The job whose record has an unknown form.
const UNREADABLE_JOB: u64 = 777;

/// Entries that this version does not write: a job in another form, and an entry without any known field.
fn unreadable_entries() -> Vec<Value> {
    vec![
        json!([3, format!("j-{UNREADABLE_JOB:06}"), { "version": 2 }]),
        json!({ "id": "unknown" }),
    ]
}

/// A controller that has started with these entries on the page.
fn controller_with_page(entries: Vec<Value>) -> SingleController {
    let mut single_controller = SingleController::new(2);
    single_controller.put_state_value(PAGE_KEY, json!({ "jobs": entries }));
    single_controller.restart();
    run(&mut single_controller);
    single_controller
}

/// A controller that has started with unreadable entries on the page and has then accepted a job on it.
fn controller_with_unreadable_entries() -> SingleController {
    let mut single_controller = controller_with_page(unreadable_entries());
    let request = single_controller::job(5, JobKind::Array, 2);
    single_controller.send_user_request(UserRequest::Submit(Box::new(request)));
    run(&mut single_controller);
    single_controller
}

fn run(single_controller: &mut SingleController) {
    for _ in 0..100 {
        single_controller.tick(100);
    }
}

#[test]
fn unreadable_entries_survive_rewrite_of_page() {
    let single_controller = controller_with_unreadable_entries();
    let page = single_controller.state_value(PAGE_KEY).expect("the page");
    let jobs = page["jobs"].as_array().expect("jobs");
    assert_eq!(jobs.len(), 3, "{page}");
    assert!(jobs.iter().any(|job| job[1] == "j-000005"), "{page}");
    for entry in unreadable_entries() {
        assert!(jobs.contains(&entry), "{entry} is missing: {page}");
    }
}

#[test]
fn requests_for_unreadable_job_get_busy_reply() {
    let mut single_controller = controller_with_unreadable_entries();
    single_controller.take_user_replies();
    let id = JobId(UNREADABLE_JOB);
    for request in [UserRequest::Get(id), UserRequest::Cancel(id)] {
        single_controller.send_user_request(request);
        run(&mut single_controller);
        let replies = single_controller.take_user_replies();
        assert!(
            matches!(replies.as_slice(), [UserReply::Busy { .. }]),
            "{replies:?}"
        );
    }
}

/// A job is accepted on another page if unreadable entries fill the first one.
#[test]
fn unreadable_entries_count_against_page_capacity() {
    let large_entries: Vec<Value> = (0..40)
        .map(|number| json!({ "number": number, "filler": "x".repeat(80) }))
        .collect();
    let mut single_controller = controller_with_page(large_entries);
    let request = single_controller::job(5, JobKind::Array, 2);
    single_controller.send_user_request(UserRequest::Submit(Box::new(request)));
    run(&mut single_controller);
    let page = single_controller.state_value(PAGE_KEY).expect("the page");
    assert_eq!(page["jobs"].as_array().map(Vec::len), Some(40));
    let second_page = single_controller
        .state_value("s/j/n0/0001")
        .expect("the second page");
    assert_eq!(second_page["jobs"][0][1], "j-000005");
}

/// The replies to a status request and a cancellation of a job that no readable record lists.
fn replies_for_unlisted_job(single_controller: &mut SingleController) -> Vec<UserReply> {
    single_controller.take_user_replies();
    for request in [
        UserRequest::Get(JobId(UNREADABLE_JOB)),
        UserRequest::Cancel(JobId(UNREADABLE_JOB)),
    ] {
        single_controller.send_user_request(request);
        run(single_controller);
    }
    single_controller.take_user_replies()
}

/// Guards against 404 for a job that may be on a page or in an entry that cannot be read.
#[test]
fn no_job_is_missing_while_a_page_of_jobs_cannot_be_read() {
    let unreadable_values = [
        ("s/e/0/0000", json!({ "d": "another form" })),
        (PAGE_KEY, json!({ "jobs": "another form" })),
        (PAGE_KEY, json!({ "jobs": [{ "id": "unknown" }] })),
    ];
    for (key, value) in unreadable_values {
        let mut single_controller = SingleController::new(2);
        single_controller.put_state_value(key, value);
        for restarts in 0..2 {
            run(&mut single_controller);
            let replies = replies_for_unlisted_job(&mut single_controller);
            assert!(
                matches!(
                    replies.as_slice(),
                    [UserReply::Busy { .. }, UserReply::Busy { .. }]
                ),
                "{key}, {restarts} restarts: {replies:?}"
            );
            single_controller.restart();
        }
        single_controller.put_state_value(key, json!({ "d": [], "c": [], "jobs": [] }));
        run(&mut single_controller);
        let replies = replies_for_unlisted_job(&mut single_controller);
        assert_eq!(
            replies,
            [UserReply::NotFound, UserReply::NotFound],
            "{key}, once it is readable"
        );
    }
}
