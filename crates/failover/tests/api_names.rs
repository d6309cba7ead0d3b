//! Names of failover blockers and readiness checks in the admin API.

use failover::failure_detector::FailoverBlocker;
use failover::readiness::ReadinessCheck;

#[test]
fn failover_blockers_keep_their_api_names() {
    let names = [
        (FailoverBlocker::LeaderAlive, "LeaderAlive"),
        (FailoverBlocker::LeaderAliveForPeers, "LeaderAliveForPeers"),
        (
            FailoverBlocker::WorkersStayWithLeader,
            "WorkersStayWithLeader",
        ),
        (FailoverBlocker::ReplicaBehind, "ReplicaBehind"),
        (
            FailoverBlocker::StateServiceUnreachable,
            "StateServiceUnreachable",
        ),
        (FailoverBlocker::RecentlyPaused, "RecentlyPaused"),
        (
            FailoverBlocker::RecentFalseSuspicion,
            "RecentFalseSuspicion",
        ),
    ];
    for (blocker, name) in names {
        assert_eq!(blocker.as_str(), name);
    }
}

#[test]
fn readiness_checks_keep_their_api_names() {
    let names = [
        (ReadinessCheck::OwnRecord, "OwnRecord"),
        (ReadinessCheck::TermGivenOut, "TermGivenOut"),
        (ReadinessCheck::MirrorReached, "MirrorReached"),
        (ReadinessCheck::LedgerRead, "LedgerRead"),
        (ReadinessCheck::PagesSound, "PagesSound"),
        (ReadinessCheck::Unrivalled, "Unrivalled"),
        (ReadinessCheck::Contact, "Contact"),
    ];
    for (check, name) in names {
        assert_eq!(check.as_str(), name);
    }
}
