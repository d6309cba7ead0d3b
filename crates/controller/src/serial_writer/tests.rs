//! Tests when the next write may be sent, depending on the reply to the previous one.

use super::*;

#[test]
fn next_write_waits_until_the_cache_shows_the_previous_one() {
    let mut writer = SerialWriter::default();
    let now = Timestamp::from_millis(10);
    assert!(writer.is_ready(now, Revision(3)));
    writer.send("a", Transaction::default(), now, Duration::ZERO);
    assert!(!writer.is_ready(now, Revision(3)));
    let outcome = writer.handle_reply(StateReply::Unknown, now);
    assert!(matches!(outcome, WriteOutcome::Unknown(_)), "{outcome:?}");
    assert!(!writer.is_ready(now, Revision(3)), "the outcome is unknown");
    let outcome = writer.handle_reply(StateReply::Committed { revision: 5 }, now);
    assert!(
        matches!(outcome, WriteOutcome::Committed("a")),
        "{outcome:?}"
    );
    assert!(
        !writer.is_ready(now, Revision(4)),
        "the cache does not show the write yet"
    );
    assert!(writer.is_ready(now, Revision(5)));
}

#[test]
fn refused_write_returns_its_contents_and_delays_the_next() {
    let mut writer = SerialWriter::default();
    writer.send(
        "a",
        Transaction::default(),
        Timestamp::from_millis(0),
        Duration::ZERO,
    );
    let outcome = writer.handle_reply(
        StateReply::Refused { throttled: true },
        Timestamp::from_millis(5),
    );
    assert!(
        matches!(
            outcome,
            WriteOutcome::Refused {
                contents: "a",
                throttled: true
            }
        ),
        "{outcome:?}"
    );
    assert!(!writer.is_ready(Timestamp::from_millis(50), Revision(0)));
    assert!(writer.is_ready(Timestamp::from_millis(85), Revision(0)));
}
