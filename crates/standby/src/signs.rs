//! Whether a holder has ended whose record still stands.
//!
//! The record goes with the holder's lease in the state service, some seconds after its end. A
//! standby may take the partition sooner when independent signs agree. It needs no certainty: it takes
//! the record on the version that it knows and under a higher term, as any successor does, so a holder
//! that lives after all writes nothing more and counts as one that may still answer. What a wrong
//! verdict costs is a partition that moves for nothing, so each doubt is there to keep these rare.

use model::{MachineName, Moment, PartitionId, Span};
use std::collections::BTreeMap;

/// A holder that has been silent for less may have lost a packet: three signs of life.
pub const SILENT: Span = Span(1_300);
/// Another node's word that it hears the holder counts if what it heard is younger.
const PEER_SILENT: Span = Span(1_000);
/// How long a worker that came to us instead of its holder counts.
const COMERS: Span = Span(3_000);
/// After our own pause we have heard nobody.
const AWAKE: Span = Span(2_000);
/// The state service must have answered us lately.
const CONTACT: Span = Span(1_500);
/// After a partition was taken from a holder that lived, none is taken from it for so long.
const WRONGED: Span = Span(120_000);

/// Why a partition is not taken from its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Doubt {
    /// We hear it, or have never heard this incarnation: it may speak another version.
    Heard,
    /// Another node hears it: the mesh is cut between it and us only.
    HeardByOthers,
    /// Its workers do not come to us: a mesh that is cut or refused alone looks the same, and so does
    /// a short pause.
    WorkersStay,
    /// We do not know what it knew, and would serve its partition worse than a wait costs.
    NotInStep,
    /// Our own contact with the state service is old: the cut one may be us.
    OutOfContact,
    /// We stood still ourselves.
    JustAwake,
    /// It was taken from in vain lately.
    Wronged,
}

/// What is known of a holder.
#[derive(Debug, Clone, Copy)]
pub struct Facts {
    pub now: Moment,
    /// When it was heard last under the incarnation that its record names.
    pub heard_at: Option<Moment>,
    /// How long ago any other node that lives heard it, by that node's own word.
    pub others: Option<Span>,
    /// Machines that report to it, as far as it has told us.
    pub reporting: usize,
    /// Whether we had all that it has said when we heard it last.
    pub in_step: bool,
    pub contact_at: Option<Moment>,
    pub awake_since: Moment,
}

/// Signs that this node has seen.
#[derive(Debug, Default)]
pub struct Signs {
    comers: BTreeMap<PartitionId, BTreeMap<MachineName, Moment>>,
    wronged: BTreeMap<PartitionId, Moment>,
}

impl Signs {
    /// A worker that reports to the partition's holder has come to us instead.
    pub fn came(&mut self, partition: PartitionId, machine: &MachineName, now: Moment) {
        let comers = self.comers.entry(partition).or_default();
        comers.retain(|_, at| now.since(*at) <= COMERS);
        comers.insert(machine.clone(), now);
    }

    /// A holder that we took the partition from is there after all.
    pub fn wronged(&mut self, partition: PartitionId, now: Moment) {
        self.wronged.insert(partition, now);
    }

    /// What speaks against taking the partition. Nothing: it is to be taken.
    pub fn doubts(&self, partition: PartitionId, facts: &Facts) -> Vec<Doubt> {
        let now = facts.now;
        let mut doubts = Vec::new();
        let mut doubt = |holds: bool, what| doubts.extend(holds.then_some(what));
        doubt(facts.heard_at.is_none_or(|at| now.since(at) < SILENT), Doubt::Heard);
        doubt(facts.others.is_some_and(|ago| ago < PEER_SILENT), Doubt::HeardByOthers);
        let recent = |at: &&Moment| now.since(**at) <= COMERS;
        let came = self.comers.get(&partition).map_or(0, |c| c.values().filter(recent).count());
        // One or two come for reasons of their own; of many, more do.
        doubt(came < 2 + facts.reporting / 64, Doubt::WorkersStay);
        doubt(!facts.in_step, Doubt::NotInStep);
        doubt(facts.contact_at.is_none_or(|at| now.since(at) > CONTACT), Doubt::OutOfContact);
        doubt(now.since(facts.awake_since) < AWAKE, Doubt::JustAwake);
        let wronged = self.wronged.get(&partition);
        doubt(wronged.is_some_and(|at| now.since(*at) < WRONGED), Doubt::Wronged);
        doubts
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const P: PartitionId = PartitionId(1);

    fn ended() -> (Signs, Facts) {
        let now = Moment(100_000);
        let mut signs = Signs::default();
        for n in 0..8 {
            signs.came(P, &MachineName::from(format!("host-{n}").as_str()), now);
        }
        let facts = Facts {
            now,
            heard_at: Some(Moment(now.0 - SILENT.0)),
            others: Some(Span(1_500)),
            reporting: 300,
            in_step: true,
            contact_at: Some(now),
            awake_since: Moment(0),
        };
        (signs, facts)
    }

    #[test]
    fn signs_that_agree_suffice() {
        let (signs, facts) = ended();
        assert_eq!(signs.doubts(P, &facts), []);
        assert_eq!(signs.doubts(P, &Facts { others: None, ..facts }), [], "nobody else lives");
    }

    #[test]
    fn each_doubt_alone_keeps_the_partition_where_it_is() {
        let (mut signs, facts) = ended();
        let now = facts.now;
        let just = Some(Moment(now.0 - 900));
        let cases = [
            (Facts { heard_at: just, ..facts }, Doubt::Heard),
            (Facts { heard_at: None, ..facts }, Doubt::Heard),
            (Facts { others: Some(Span(400)), ..facts }, Doubt::HeardByOthers),
            (Facts { reporting: 64 * 8, ..facts }, Doubt::WorkersStay),
            (Facts { in_step: false, ..facts }, Doubt::NotInStep),
            (Facts { contact_at: None, ..facts }, Doubt::OutOfContact),
            (Facts { contact_at: Some(Moment(now.0 - 2_000)), ..facts }, Doubt::OutOfContact),
            (Facts { awake_since: Moment(now.0 - 500), ..facts }, Doubt::JustAwake),
        ];
        for (facts, doubt) in cases {
            assert_eq!(signs.doubts(P, &facts), [doubt]);
        }
        let later = Facts { now: now + COMERS + Span(1), contact_at: Some(now + COMERS), ..facts };
        assert_eq!(signs.doubts(P, &later), [Doubt::WorkersStay], "they came too long ago");
        signs.wronged(P, now);
        assert_eq!(signs.doubts(P, &facts), [Doubt::Wronged]);
    }
}
