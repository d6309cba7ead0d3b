//! Checks that a new partition leader makes before its first decision.
//!
//! The leader answers heartbeats as soon as the partition record names it, but the only commands in its
//! responses kill tasks of jobs that are recorded as cancelled. Until all checks pass it places, stops and
//! finishes nothing and writes nothing. Checks that fail are repeated. `/admin/v1/standby` shows the checks
//! for which a partition waits.

use model::{FencingToken, Revision, Version};

/// A check and the failure that it prevents. The names of the variants are those of the admin API: there,
/// the state cache is called mirror and the placement log ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadinessCheck {
    /// The state cache shows a partition record of this leadership, at the version on which this controller's
    /// writes are conditional. Otherwise each of its writes would fail, and another controller may lead the
    /// partition.
    OwnRecord,
    /// The term is lower than the next token of the counter that issued it. No token that was sent before is
    /// as high as the term, so no attempt number is used twice and no command of a predecessor is valid under
    /// the new term.
    TermGivenOut,
    /// The state cache includes all changes up to the partition record, and so all jobs and cancellations
    /// that were confirmed before it.
    MirrorReached,
    /// The placement log was read at the revision of the partition record or later. Writes to the log are
    /// conditional on the version of that record, so no write of a predecessor can be applied after it. An
    /// earlier read may lack the predecessor's last write, and with it placements that were launched.
    LedgerRead,
    /// All pages of the placement log could be decoded. An unreadable page may hide placements of running
    /// tasks.
    PagesSound,
    /// The partition is not being transferred, and no other controller claims to lead it.
    Unrivalled,
    /// The last read of the state service is recent enough for launches, so that cancellations confirmed
    /// since then arrive in time.
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

/// What a controller knows about a partition that it has just acquired.
#[derive(Debug, Clone, Copy)]
pub struct LeadershipFacts {
    /// Version of the partition record in the state cache, if it names this controller, its incarnation and
    /// its term.
    pub cached_version: Option<Version>,
    /// Version of the partition record on which this controller's writes are conditional.
    pub leadership_version: Version,
    /// Term of the leadership.
    pub term: FencingToken,
    /// The next fencing token or term that the counter will issue.
    pub next_token: FencingToken,
    /// Revision up to which the state cache is complete.
    pub cache_revision: Revision,
    /// Revision of the state service at which the first page of the placement log was read.
    pub log_revision: Option<Revision>,
    /// Number of pages of the placement log that could not be decoded.
    pub unreadable_pages: usize,
    /// Whether another controller claims to lead the partition, or the partition is being transferred.
    pub is_contested_or_transferring: bool,
    /// Whether the last read of the state service is recent enough for launches.
    pub has_recent_state_read: bool,
}

/// The checks that fail. If there are none, the leader may make decisions.
pub fn failed_checks(facts: &LeadershipFacts) -> Vec<ReadinessCheck> {
    // The version of a record is the revision at which it was written.
    let includes_record = |revision: Revision| revision.0 >= facts.leadership_version.0;
    let checks = [
        (
            ReadinessCheck::OwnRecord,
            facts.cached_version == Some(facts.leadership_version),
        ),
        (ReadinessCheck::TermGivenOut, facts.term < facts.next_token),
        (
            ReadinessCheck::MirrorReached,
            includes_record(facts.cache_revision),
        ),
        (
            ReadinessCheck::LedgerRead,
            facts.log_revision.is_some_and(includes_record),
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
