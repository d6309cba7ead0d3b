//! Checks that a new partition leader must pass before it makes decisions.

use failover::readiness::{failed_checks, LeadershipFacts, ReadinessCheck};
use model::{FencingToken, Revision, Version};

#[test]
fn each_missing_precondition_fails_exactly_its_check() {
    let ready = LeadershipFacts {
        cached_version: Some(Version(70)),
        leadership_version: Version(70),
        term: FencingToken(8),
        next_token: FencingToken(9),
        cache_revision: Revision(70),
        log_revision: Some(Revision(71)),
        unreadable_pages: 0,
        is_contested_or_transferring: false,
        has_recent_state_read: true,
    };
    assert_eq!(failed_checks(&ready), []);
    let cases = [
        (
            LeadershipFacts {
                cached_version: None,
                ..ready
            },
            ReadinessCheck::OwnRecord,
        ),
        (
            LeadershipFacts {
                cached_version: Some(Version(69)),
                ..ready
            },
            ReadinessCheck::OwnRecord,
        ),
        (
            LeadershipFacts {
                next_token: FencingToken(8),
                ..ready
            },
            ReadinessCheck::TermGivenOut,
        ),
        (
            LeadershipFacts {
                cache_revision: Revision(69),
                ..ready
            },
            ReadinessCheck::MirrorReached,
        ),
        (
            LeadershipFacts {
                log_revision: None,
                ..ready
            },
            ReadinessCheck::LedgerRead,
        ),
        (
            LeadershipFacts {
                log_revision: Some(Revision(69)),
                ..ready
            },
            ReadinessCheck::LedgerRead,
        ),
        (
            LeadershipFacts {
                unreadable_pages: 1,
                ..ready
            },
            ReadinessCheck::PagesSound,
        ),
        (
            LeadershipFacts {
                is_contested_or_transferring: true,
                ..ready
            },
            ReadinessCheck::Unrivalled,
        ),
        (
            LeadershipFacts {
                has_recent_state_read: false,
                ..ready
            },
            ReadinessCheck::Contact,
        ),
    ];
    for (facts, check) in cases {
        assert_eq!(failed_checks(&facts), [check]);
    }
}
