//! Records of accepted jobs that this controller cannot read, such as those of a newer version.
//!
//! What happened, found by reading and shown by the first test: a page of accepted jobs was written again from the jobs
//! that the controller could read on it. An entry that it could not read (the log said `record rejected`) was gone from
//! the state service with the next acceptance on that page, and with it the only record of an accepted job. Until then
//! its user was told 404.

use controller::{UserReply, UserRequest};
use model::JobId;
use serde_json::{json, Value};
use simulator::{single_controller, SingleController};
use wire::users::JobKind;

const PAGE: &str = "s/j/n0/0000";
/// The job whose record has an unknown form.
const UNREADABLE_JOB: u64 = 777;

/// Entries that no present version writes: a job in another form, and one without any known part.
fn unreadable_entries() -> Vec<Value> {
    vec![
        json!([3, format!("j-{UNREADABLE_JOB:06}"), { "version": 2 }]),
        json!({ "id": "unknown" }),
    ]
}

/// A controller that has started with these entries on its page.
fn controller_with_page(entries: Vec<Value>) -> SingleController {
    let mut single_controller = SingleController::new(2);
    single_controller.put_state_value(PAGE, json!({ "jobs": entries }));
    single_controller.restart();
    run(&mut single_controller);
    single_controller
}

/// A controller that has read a page with such entries and then accepted a job on it.
fn controller_with_unreadable_entries() -> SingleController {
    let mut single_controller = controller_with_page(unreadable_entries());
    let accepted = single_controller::job(5, JobKind::Array, 2);
    single_controller.send_user_request(UserRequest::Submit(Box::new(accepted)));
    run(&mut single_controller);
    single_controller
}

fn run(single_controller: &mut SingleController) {
    for _ in 0..100 {
        single_controller.tick(100);
    }
}

#[test]
fn unreadable_entries_survive_a_new_page() {
    let single_controller = controller_with_unreadable_entries();
    let page = single_controller.state_value(PAGE).expect("the page");
    let jobs = page["jobs"].as_array().expect("jobs");
    assert_eq!(jobs.len(), 3, "{page}");
    assert!(jobs.iter().any(|job| job[1] == "j-000005"), "{page}");
    for entry in unreadable_entries() {
        assert!(jobs.contains(&entry), "{entry} is gone: {page}");
    }
}

#[test]
fn unreadable_job_is_undecidable() {
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

/// A full page of such entries takes no further jobs; another page does.
#[test]
fn unreadable_entries_count_as_full() {
    let large: Vec<Value> = (0..40)
        .map(|number| json!({ "number": number, "filler": "x".repeat(80) }))
        .collect();
    let mut single_controller = controller_with_page(large);
    let accepted = single_controller::job(5, JobKind::Array, 2);
    single_controller.send_user_request(UserRequest::Submit(Box::new(accepted)));
    run(&mut single_controller);
    let page = single_controller.state_value(PAGE).expect("the page");
    assert_eq!(page["jobs"].as_array().map(Vec::len), Some(40));
    let other = single_controller
        .state_value("s/j/n0/0001")
        .expect("a page");
    assert_eq!(other["jobs"][0][1], "j-000005");
}
