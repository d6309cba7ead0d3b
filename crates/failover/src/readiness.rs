//! What a new partition leader checks before its first decision.
//!
//! Heartbeats are answered as soon as the record names this controller, without commands other than to
//! kill tasks of jobs that are recorded as cancelled. Nothing is placed, stopped, finished or written before
//! all checks pass. A check that does not pass yet is repeated; one that cannot pass is why the
//! partition waits (`/admin/v1/standby`).

use model::{FencingToken, Revision, Version};

/// A check, and what it guards against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadinessCheck {
    /// The record names this controller, its term and the version that its writes are conditional on.
    /// Otherwise each of its writes would fail, and another controller may be deciding.
    OwnRecord,
    /// The term is below the counter that issued it: no token that was ever sent is as high, so no
    /// attempt's number is used twice and no command of a predecessor is valid under the new term.
    TermGivenOut,
    /// The state cache contains all changes up to the record: jobs and cancellations confirmed by then.
    MirrorReached,
    /// The placement log was read at the record's revision or later. Writes to it are conditional on
    /// the record's version, so no write of a predecessor can be applied any more; an earlier read may
    /// lack its last write, and with it placements that it has launched.
    LedgerRead,
    /// All pages of the placement log could be read. An unreadable one hides placements that may be running.
    PagesSound,
    /// The partition is not being transferred, and no other controller claims to lead it.
    Unrivalled,
    /// The state service has answered recently: a cancellation confirmed since then is received in
    /// time.
    Contact,
}

impl ReadinessCheck {
    /// The check's name in the admin API.
    pub fn as_str(self) -> &'static str {
        match self {
            ReadinessCheck::OwnRecord => "OwnRecord",
            ReadinessCheck::TermGivenOut => "TermGivenOut",
            ReadinessCheck::MirrorReached => "MirrorReached",
            ReadinessCheck::LedgerRead => "LedgerRead",
            ReadinessCheck::PagesSound => "PagesSound",
            ReadinessCheck::Unrivalled => "Unrivalled",
            ReadinessCheck::Contact => "Contact",
        }
    }
}

/// What is known of a partition that has just been acquired.
#[derive(Debug, Clone, Copy)]
pub struct LeadershipFacts {
    /// Version of the record in the state cache, if that names this controller, its incarnation and its
    /// term.
    pub cached_version: Option<Version>,
    /// Version that the writes of this controller are conditional on.
    pub leadership_version: Version,
    /// Term of the leadership.
    pub term: FencingToken,
    /// The next token that will be issued.
    pub next_token: FencingToken,
    /// Revision up to which the state cache is complete.
    pub cache_revision: Revision,
    /// Revision of the state service when the first page of the placement log was read.
    pub log_revision: Option<Revision>,
    /// Number of pages of the placement log that could not be read.
    pub unreadable_pages: usize,
    /// Another controller claims to lead the partition, or it is being transferred.
    pub is_contested_or_transferring: bool,
    /// The last answer of the state service is fresh enough for launches.
    pub has_recent_state_read: bool,
}

/// Checks that do not pass. If there are none, the leader may decide.
pub fn failed_checks(facts: &LeadershipFacts) -> Vec<ReadinessCheck> {
    let reaches_record = |revision: Revision| revision.0 >= facts.leadership_version.0;
    let checks = [
        (
            ReadinessCheck::OwnRecord,
            facts.cached_version == Some(facts.leadership_version),
        ),
        (ReadinessCheck::TermGivenOut, facts.term < facts.next_token),
        (
            ReadinessCheck::MirrorReached,
            reaches_record(facts.cache_revision),
        ),
        (
            ReadinessCheck::LedgerRead,
            facts.log_revision.is_some_and(reaches_record),
        ),
        (ReadinessCheck::PagesSound, facts.unreadable_pages == 0),
        (
            ReadinessCheck::Unrivalled,
            !facts.is_contested_or_transferring,
        ),
        (ReadinessCheck::Contact, facts.has_recent_state_read),
    ];
    checks
        .into_iter()
        .filter(|(_, passed)| !passed)
        .map(|(check, _)| check)
        .collect()
}
