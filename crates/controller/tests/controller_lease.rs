//! Tests of the controller's own lease: creation, renewal and expiry.

use controller::controller_lease::{ControllerLease, LeaseCall};
use model::{LeaseId, Timestamp};
use wire::state::StateReply;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn created_lease() -> ControllerLease {
    let mut lease = ControllerLease::default();
    assert_eq!(lease.begin_call(at(0)), Some(LeaseCall::Create));
    lease.handle_creation(&StateReply::Lease(7), at(10));
    assert_eq!(lease.current(), Some(LeaseId(7)));
    lease
}

#[test]
fn no_second_call_is_due_while_one_is_pending() {
    let mut lease = ControllerLease::default();
    assert_eq!(lease.begin_call(at(0)), Some(LeaseCall::Create));
    assert_eq!(lease.begin_call(at(5_000)), None);
    lease.handle_creation(&StateReply::Unknown, at(5_000));
    assert_eq!(lease.current(), None);
    assert_eq!(lease.begin_call(at(5_199)), None);
    assert_eq!(lease.begin_call(at(5_200)), Some(LeaseCall::Create));
}

#[test]
fn renewal_interval_counts_from_the_sending_time_of_the_last_renewal() {
    let mut lease = created_lease();
    let renewal = LeaseCall::Renew(LeaseId(7));
    assert_eq!(lease.begin_call(at(909)), None);
    assert_eq!(lease.begin_call(at(910)), Some(renewal));
    lease.handle_renewal(LeaseId(7), &StateReply::Ok, at(910), at(1_500));
    assert_eq!(lease.begin_call(at(1_809)), None);
    assert_eq!(lease.begin_call(at(1_810)), Some(renewal));
    lease.handle_renewal(LeaseId(7), &StateReply::Unknown, at(1_810), at(2_000));
    assert_eq!(
        lease.current(),
        Some(LeaseId(7)),
        "the lease may have been renewed"
    );
    assert_eq!(lease.begin_call(at(2_200)), Some(renewal));
}

#[test]
fn expired_lease_is_replaced_immediately() {
    let mut lease = created_lease();
    assert!(lease.begin_call(at(910)).is_some());
    lease.handle_renewal(LeaseId(7), &StateReply::LeaseGone, at(910), at(920));
    assert_eq!(lease.current(), None);
    assert_eq!(lease.begin_call(at(920)), Some(LeaseCall::Create));
}
