//! Early failover of a partition whose leader's record still exists.

use failover::failure_detector::{
    Evidence, FailoverBlocker, FailureDetector, HEARTBEAT_TIMEOUT, WORKER_EVIDENCE_VALIDITY,
};
use model::DurationExt;
use model::{MachineName, PartitionId, Timestamp};
use std::time::Duration;

const PARTITION: PartitionId = PartitionId(1);

/// A detector and evidence that agree on the crash of a leader.
fn evidence_of_crash() -> (FailureDetector, Evidence) {
    let now = Timestamp::from_millis(100_000);
    let mut detector = FailureDetector::default();
    for number in 0..8 {
        let machine = MachineName::from(format!("host-{number}").as_str());
        detector.record_worker_contact(PARTITION, &machine, now);
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
fn agreeing_evidence_allows_failover() {
    let (detector, evidence) = evidence_of_crash();
    assert_eq!(detector.failover_blockers(PARTITION, &evidence), []);
    let without_peers = Evidence {
        peer_heartbeat_age: None,
        ..evidence
    };
    assert_eq!(
        detector.failover_blockers(PARTITION, &without_peers),
        [],
        "no other controller is alive to report a heartbeat"
    );
}

#[test]
fn each_blocker_alone_prevents_failover() {
    let (mut detector, evidence) = evidence_of_crash();
    let now = evidence.now;
    let recent_heartbeat = Some(Timestamp::from_millis(now.as_millis() - 900));
    let old_read = Some(Timestamp::from_millis(now.as_millis() - 2_000));
    let cases = [
        (
            Evidence {
                last_heartbeat_at: recent_heartbeat,
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
        assert_eq!(detector.failover_blockers(PARTITION, &evidence), [blocker]);
    }
    let later = Evidence {
        now: now + WORKER_EVIDENCE_VALIDITY + Duration::from_millis(1),
        last_state_read_at: Some(now + WORKER_EVIDENCE_VALIDITY),
        ..evidence
    };
    assert_eq!(
        detector.failover_blockers(PARTITION, &later),
        [FailoverBlocker::WorkersStayWithLeader],
        "the workers' contacts are too old"
    );
    detector.record_false_suspicion(PARTITION, now);
    assert_eq!(
        detector.failover_blockers(PARTITION, &evidence),
        [FailoverBlocker::RecentFalseSuspicion]
    );
}
