//! Tests of the registry of unanswered calls.

use controller::pending_calls::PendingCalls;
use model::CallId;

#[test]
fn call_is_completed_once() {
    let mut calls = PendingCalls::default();
    let first = calls.register("first");
    let second = calls.register("second");
    assert_eq!((first, second), (CallId(1), CallId(2)));
    assert_eq!(calls.complete(first), Some("first"));
    assert_eq!(calls.complete(first), None);
    assert_eq!(calls.complete(CallId(3)), None);
    assert_eq!(calls.register("third"), CallId(3), "ids are not reused");
}
