//! Tests which peers are considered alive, reachable and eligible according to their heartbeats.

use super::{PeerHeartbeatAge, PeerRegistry, PeerStatus, PEER_HEARTBEAT_INTERVAL, PEER_TIMEOUT};
use model::{ControllerName, Timestamp};
use std::time::Duration;

const START: Timestamp = Timestamp::from_millis(10_000);
const BEFORE_START: Timestamp = Timestamp::from_millis(9_999);
const MILLISECOND: Duration = Duration::from_millis(1);

fn name(text: &str) -> ControllerName {
    ControllerName::from(text)
}

fn status(last_seen_at: Timestamp) -> PeerStatus {
    PeerStatus {
        last_seen_at,
        incarnation: 7,
        state_contact: true,
        ready: true,
        peer_heartbeat_ages: Vec::new(),
    }
}

fn status_reporting_age(last_seen_at: Timestamp, controller: &str, age: Duration) -> PeerStatus {
    PeerStatus {
        peer_heartbeat_ages: vec![PeerHeartbeatAge {
            controller: name(controller),
            age,
        }],
        ..status(last_seen_at)
    }
}

#[test]
fn peer_is_alive_until_the_timeout_after_its_last_heartbeat() {
    let mut peers = PeerRegistry::default();
    assert!(!peers.is_alive(&name("a"), START));
    peers.record_heartbeat(name("a"), status(START));
    assert!(peers.is_alive(&name("a"), START + PEER_TIMEOUT));
    assert!(!peers.is_alive(&name("a"), START + PEER_TIMEOUT + MILLISECOND));
}

#[test]
fn pause_does_not_count_as_silence_of_the_peers() {
    let pause = Duration::from_secs(20);
    let mut peers = PeerRegistry::default();
    peers.record_heartbeat(name("a"), status(START));
    peers.shift_heartbeats(pause);
    assert!(peers.is_alive(&name("a"), START + pause));
}

#[test]
fn each_direction_between_two_controllers_is_checked_separately() {
    let mut peers = PeerRegistry::default();
    peers.record_heartbeat(name("a"), status_reporting_age(START, "own", PEER_TIMEOUT));
    let late = PEER_TIMEOUT + MILLISECOND;
    peers.record_heartbeat(name("b"), status_reporting_age(START, "own", late));
    assert!(peers.is_receiving_from(&name("a"), &name("own")));
    assert!(!peers.is_receiving_from(&name("b"), &name("own")));
    assert!(peers.is_alive(&name("b"), START));
}

#[test]
fn latest_heartbeat_age_ignores_the_controller_itself_and_dead_peers() {
    let mut peers = PeerRegistry::default();
    let now = START + PEER_TIMEOUT;
    let age = Duration::from_millis(300);
    peers.record_heartbeat(name("a"), status_reporting_age(now, "a", Duration::ZERO));
    peers.record_heartbeat(name("b"), status_reporting_age(START, "a", age));
    peers.record_heartbeat(
        name("c"),
        status_reporting_age(BEFORE_START, "a", MILLISECOND),
    );
    let expected = age + PEER_TIMEOUT;
    assert_eq!(peers.latest_heartbeat_age(&name("a"), now), Some(expected));
}

#[test]
fn eligible_leaders_are_alive_ready_and_in_contact_with_the_state_service() {
    let mut peers = PeerRegistry::default();
    let not_ready = PeerStatus {
        ready: false,
        ..status(START)
    };
    let without_contact = PeerStatus {
        state_contact: false,
        ..status(START)
    };
    peers.record_heartbeat(name("alive"), status(START));
    peers.record_heartbeat(name("not_ready"), not_ready);
    peers.record_heartbeat(name("without_contact"), without_contact);
    let eligible: Vec<_> = peers.eligible_leaders(START).collect();
    assert_eq!(eligible, [&name("alive")]);
    let later = START + PEER_TIMEOUT + MILLISECOND;
    assert_eq!(peers.eligible_leaders(later).count(), 0);
}

#[test]
fn next_heartbeat_is_due_after_the_interval() {
    let mut peers = PeerRegistry::default();
    assert!(peers.take_due_heartbeat(START));
    assert!(!peers.take_due_heartbeat(START + (PEER_HEARTBEAT_INTERVAL - MILLISECOND)));
    assert!(peers.take_due_heartbeat(START + PEER_HEARTBEAT_INTERVAL));
}
