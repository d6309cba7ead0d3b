//! What keeps a new partition leader from deciding.

use failover::readiness::{failed_checks, LeadershipFacts, ReadinessCheck};
use model::{FencingToken, Revision, Version};

#[test]
fn each_failed_check_alone_keeps_a_leader_from_deciding() {
    let sound = LeadershipFacts {
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
    assert_eq!(failed_checks(&sound), []);
    let cases = [
        (
            LeadershipFacts {
                cached_version: None,
                ..sound
            },
            ReadinessCheck::OwnRecord,
        ),
        (
            LeadershipFacts {
                cached_version: Some(Version(69)),
                ..sound
            },
            ReadinessCheck::OwnRecord,
        ),
        (
            LeadershipFacts {
                next_token: FencingToken(8),
                ..sound
            },
            ReadinessCheck::TermGivenOut,
        ),
        (
            LeadershipFacts {
                cache_revision: Revision(69),
                ..sound
            },
            ReadinessCheck::MirrorReached,
        ),
        (
            LeadershipFacts {
                log_revision: None,
                ..sound
            },
            ReadinessCheck::LedgerRead,
        ),
        (
            LeadershipFacts {
                log_revision: Some(Revision(69)),
                ..sound
            },
            ReadinessCheck::LedgerRead,
        ),
        (
            LeadershipFacts {
                unreadable_pages: 1,
                ..sound
            },
            ReadinessCheck::PagesSound,
        ),
        (
            LeadershipFacts {
                is_contested_or_transferring: true,
                ..sound
            },
            ReadinessCheck::Unrivalled,
        ),
        (
            LeadershipFacts {
                has_recent_state_read: false,
                ..sound
            },
            ReadinessCheck::Contact,
        ),
    ];
    for (facts, check) in cases {
        assert_eq!(failed_checks(&facts), [check]);
    }
}
