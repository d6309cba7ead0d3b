//! When a partition is taken over from a leader whose record still stands.

use failover::failure_detector::{
    Evidence, FailoverBlocker, FailureDetector, HEARTBEAT_TIMEOUT, WORKER_EVIDENCE_VALIDITY,
};
use model::DurationExt;
use model::{MachineName, PartitionId, Timestamp};
use std::time::Duration;

const P: PartitionId = PartitionId(1);

/// All evidence of a leader that has crashed.
fn crashed() -> (FailureDetector, Evidence) {
    let now = Timestamp::from_millis(100_000);
    let mut detector = FailureDetector::default();
    for n in 0..8 {
        detector.record_worker_contact(P, &MachineName::from(format!("host-{n}").as_str()), now);
    }
    let evidence = Evidence {
        now,
        last_heartbeat_at: Some(Timestamp::from_millis(
            now.as_millis() - HEARTBEAT_TIMEOUT.whole_millis(),
        )),
        peer_heartbeat_age: Some(Duration::from_millis(1_500)),
        reporting_machines: 300,
        replica_complete: true,
        last_state_read_at: Some(now),
        resumed_at: Timestamp::from_millis(0),
    };
    (detector, evidence)
}

#[test]
fn agreeing_evidence_suffices() {
    let (detector, evidence) = crashed();
    assert_eq!(detector.failover_blockers(P, &evidence), []);
    let alone = Evidence {
        peer_heartbeat_age: None,
        ..evidence
    };
    assert_eq!(
        detector.failover_blockers(P, &alone),
        [],
        "no other node is alive"
    );
}

#[test]
fn each_blocker_alone_prevents_failover() {
    let (mut detector, evidence) = crashed();
    let now = evidence.now;
    let just = Some(Timestamp::from_millis(now.as_millis() - 900));
    let old_read = Some(Timestamp::from_millis(now.as_millis() - 2_000));
    let cases = [
        (
            Evidence {
                last_heartbeat_at: just,
                ..evidence
            },
            FailoverBlocker::LeaderAlive,
        ),
        (
            Evidence {
                last_heartbeat_at: None,
                ..evidence
            },
            FailoverBlocker::LeaderAlive,
        ),
        (
            Evidence {
                peer_heartbeat_age: Some(Duration::from_millis(400)),
                ..evidence
            },
            FailoverBlocker::LeaderAliveForPeers,
        ),
        (
            Evidence {
                reporting_machines: 64 * 8,
                ..evidence
            },
            FailoverBlocker::WorkersStayWithLeader,
        ),
        (
            Evidence {
                replica_complete: false,
                ..evidence
            },
            FailoverBlocker::ReplicaBehind,
        ),
        (
            Evidence {
                last_state_read_at: None,
                ..evidence
            },
            FailoverBlocker::StateServiceUnreachable,
        ),
        (
            Evidence {
                last_state_read_at: old_read,
                ..evidence
            },
            FailoverBlocker::StateServiceUnreachable,
        ),
        (
            Evidence {
                resumed_at: Timestamp::from_millis(now.as_millis() - 500),
                ..evidence
            },
            FailoverBlocker::RecentlyPaused,
        ),
    ];
    for (evidence, blocker) in cases {
        assert_eq!(detector.failover_blockers(P, &evidence), [blocker]);
    }
    let later = Evidence {
        now: now + WORKER_EVIDENCE_VALIDITY + Duration::from_millis(1),
        last_state_read_at: Some(now + WORKER_EVIDENCE_VALIDITY),
        ..evidence
    };
    assert_eq!(
        detector.failover_blockers(P, &later),
        [FailoverBlocker::WorkersStayWithLeader],
        "the workers' contacts are too old"
    );
    detector.record_false_suspicion(P, now);
    assert_eq!(
        detector.failover_blockers(P, &evidence),
        [FailoverBlocker::RecentFalseSuspicion]
    );
}
