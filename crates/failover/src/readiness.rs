//! What a new partition leader checks before its first decision.
//!
//! Workers are answered as soon as the record names us, without commands other than to kill tasks
//! of jobs that are recorded as cancelled. Nothing is placed, stopped, finished or written before
//! all checks pass. A check that does not pass yet is repeated; one that cannot pass is why the
//! partition waits (`/admin/v1/standby`).

use model::{FencingToken, Revision, Version};

/// A check, and what it guards against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReadinessCheck {
    /// The record names us, our term and the version that our writes are conditional on.
    /// Otherwise each of our writes would fail, and another node may be deciding.
    OwnRecord,
    /// Our term is below the counter that issued it: no token that was ever sent is as high, so
    /// no attempt's number is used twice and no command of a predecessor is taken for ours.
    TermGivenOut,
    /// The mirror shows everything up to our record: jobs and cancellations confirmed by then.
    MirrorReached,
    /// The ledger was read at our record's revision or later. Writes to it are conditional on the
    /// partition's version, so nothing that a predecessor sends can be applied any more; an earlier
    /// read may lack its last write, and with it placements that it has launched.
    LedgerRead,
    /// All its pages could be read. An unreadable one hides placements that may be running.
    PagesSound,
    /// We are not transferring the partition, and no other node claims to lead it.
    Unrivalled,
    /// The state service has answered us lately: a cancellation confirmed since then reaches us in
    /// time.
    Contact,
}

/// What is known of a partition that has just been taken over.
#[derive(Debug, Clone, Copy)]
pub struct LeadershipFacts {
    /// Version of the record in the mirror, if that names us, our incarnation and our term.
    pub mirrored_record: Option<Version>,
    /// The version that our writes are conditional on.
    pub own_version: Version,
    pub term: FencingToken,
    /// The next token that will be issued.
    pub next_token: FencingToken,
    /// All changes up to here are in the mirror.
    pub mirror_revision: Revision,
    /// Revision of the state service when the first page of the ledger was read.
    pub ledger_revision: Option<Revision>,
    pub unreadable_pages: usize,
    /// Another node claims to lead the partition, or we are transferring it.
    pub has_rival: bool,
    /// The last answer of the state service is fresh enough for launches.
    pub state_is_fresh: bool,
}

/// Checks that do not pass. If there are none, the leader may decide.
pub fn failed_checks(facts: &LeadershipFacts) -> Vec<ReadinessCheck> {
    let reaches_record = |revision: Revision| revision.0 >= facts.own_version.0;
    let checks = [
        (
            ReadinessCheck::OwnRecord,
            facts.mirrored_record == Some(facts.own_version),
        ),
        (ReadinessCheck::TermGivenOut, facts.term < facts.next_token),
        (
            ReadinessCheck::MirrorReached,
            reaches_record(facts.mirror_revision),
        ),
        (
            ReadinessCheck::LedgerRead,
            facts.ledger_revision.is_some_and(reaches_record),
        ),
        (ReadinessCheck::PagesSound, facts.unreadable_pages == 0),
        (ReadinessCheck::Unrivalled, !facts.has_rival),
        (ReadinessCheck::Contact, facts.state_is_fresh),
    ];
    checks
        .into_iter()
        .filter(|(_, passed)| !passed)
        .map(|(check, _)| check)
        .collect()
}
