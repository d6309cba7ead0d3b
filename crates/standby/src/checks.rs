//! What a new holder checks before its first decision.
//!
//! Workers are answered from the moment that the record is ours, without orders but the halts of what
//! is recorded as cancelled. Nothing is placed,
//! stopped, ended or written before the last check holds; a check that does not hold yet is tried
//! again, and one that cannot is why the partition waits (`/admin/v1/standby`).

use model::{Revision, Token, Version};

/// A check, and what it guards against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// The record is ours, under our term and at the version that our writes name. Otherwise each of
    /// our rounds would fail, and somebody else may be deciding.
    OwnRecord,
    /// Our term lies below the counter that gave it out: no token that was ever sent is as high, so
    /// no attempt's number is given twice and no order of a predecessor passes for ours.
    TermGivenOut,
    /// The mirror shows everything up to our record: jobs accepted and cancellations told by then.
    MirrorReached,
    /// The ledger was read at our record's revision or later. Rounds name the partition's version, so
    /// nothing that a predecessor sends can be applied any more; what is read earlier may lack its
    /// last round, and with it placements that it has launched.
    LedgerRead,
    /// Every page of it could be read. One that cannot hides placements that may be running.
    PagesSound,
    /// We give the partition to nobody, and nobody says to have taken it.
    Unrivalled,
    /// The state service has answered us lately: a cancellation told since then reaches us in time.
    Contact,
}

/// What is known of a partition that has just been taken.
#[derive(Debug, Clone, Copy)]
pub struct Facts {
    /// Version of the record in the mirror, if that names us, our incarnation and our term.
    pub record: Option<Version>,
    /// The version that our writes name.
    pub held: Version,
    pub term: Token,
    /// The next token to be given out.
    pub next_token: Token,
    /// All changes up to here are in the mirror.
    pub mirror: Revision,
    /// What the state service stood at when the first page of the ledger was read.
    pub ledger: Option<Revision>,
    /// Pages of the ledger that could not be read.
    pub unreadable: usize,
    pub rival: bool,
    pub contact: bool,
}

/// Checks that do not hold. None: decide.
pub fn open(facts: &Facts) -> Vec<Check> {
    let at_record = |revision: Revision| revision.0 >= facts.held.0;
    let checks = [
        (Check::OwnRecord, facts.record == Some(facts.held)),
        (Check::TermGivenOut, facts.term < facts.next_token),
        (Check::MirrorReached, at_record(facts.mirror)),
        (Check::LedgerRead, facts.ledger.is_some_and(at_record)),
        (Check::PagesSound, facts.unreadable == 0),
        (Check::Unrivalled, !facts.rival),
        (Check::Contact, facts.contact),
    ];
    checks.into_iter().filter(|(_, holds)| !holds).map(|(check, _)| check).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_check_alone_keeps_a_holder_from_deciding() {
        let sound = Facts {
            record: Some(Version(70)),
            held: Version(70),
            term: Token(8),
            next_token: Token(9),
            mirror: Revision(70),
            ledger: Some(Revision(71)),
            unreadable: 0,
            rival: false,
            contact: true,
        };
        assert_eq!(open(&sound), []);
        let cases = [
            (Facts { record: None, ..sound }, Check::OwnRecord),
            (Facts { record: Some(Version(69)), ..sound }, Check::OwnRecord),
            (Facts { next_token: Token(8), ..sound }, Check::TermGivenOut),
            (Facts { mirror: Revision(69), ..sound }, Check::MirrorReached),
            (Facts { ledger: None, ..sound }, Check::LedgerRead),
            (Facts { ledger: Some(Revision(69)), ..sound }, Check::LedgerRead),
            (Facts { unreadable: 1, ..sound }, Check::PagesSound),
            (Facts { rival: true, ..sound }, Check::Unrivalled),
            (Facts { contact: false, ..sound }, Check::Contact),
        ];
        for (facts, check) in cases {
            assert_eq!(open(&facts), [check]);
        }
    }
}
