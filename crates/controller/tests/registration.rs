//! Tests of the registration of incarnations and of the detection of crash loops.

use controller::records::IncarnationRecord;
use controller::registration::{is_crash_loop, Registration};
use model::Timestamp;

fn record(incarnation: u64, short_runs: u32) -> IncarnationRecord {
    IncarnationRecord {
        incarnation,
        short_runs,
    }
}

#[test]
fn incarnation_is_registered_once_its_record_is_seen() {
    let mut registration = Registration::new(9);
    let now = Timestamp::default();
    assert_eq!(registration.begin_write(None, now), Some(record(9, 1)));
    assert!(!registration.is_registered());
    assert_eq!(
        registration.begin_write(None, now),
        None,
        "a write is pending"
    );
    registration.handle_write_reply();
    assert_eq!(registration.begin_write(Some(&record(9, 1)), now), None);
    assert!(registration.is_registered());
}

#[test]
fn write_is_repeated_if_the_record_does_not_appear_after_its_reply() {
    let mut registration = Registration::new(9);
    let now = Timestamp::default();
    assert!(registration.begin_write(None, now).is_some());
    registration.handle_write_reply();
    assert_eq!(registration.begin_write(None, now), Some(record(9, 1)));
}

#[test]
fn short_lived_incarnations_are_counted_until_one_is_stable() {
    let mut registration = Registration::new(9);
    let before = record(8, 2);
    let written = registration.begin_write(Some(&before), Timestamp::default());
    assert_eq!(written, Some(record(9, 3)));
    registration.handle_write_reply();
    assert!(!is_crash_loop(&before));
    assert!(is_crash_loop(&record(9, 3)));
    let recorded = record(9, 3);
    let almost_stable = Timestamp::from_millis(9_999);
    assert_eq!(
        registration.begin_write(Some(&recorded), almost_stable),
        None
    );
    let stable = Timestamp::from_millis(10_000);
    let written = registration.begin_write(Some(&recorded), stable);
    assert_eq!(written, Some(record(9, 0)));
    registration.handle_write_reply();
    assert_eq!(registration.begin_write(Some(&record(9, 0)), stable), None);
}
