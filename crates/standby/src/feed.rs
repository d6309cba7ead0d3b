//! The holder's side: hints by the number of their last change, for whoever follows.
//!
//! Each change of a hint gets the next number. A part holds the hints that changed after one number
//! up to another, so a follower that has missed something asks for what it lacks, and a new one
//! starts from 0. A part is bounded, and so is what goes out in a second: what has changed twice
//! meanwhile is sent once.

use model::{Moment, NodeName, Span};
use std::collections::BTreeMap;
use wire::mesh::{Hint, HintKey, HintPart};

/// Bytes of hints in one part, roughly, and the time between two parts to one follower.
const PART_BYTES: usize = 16 * 1024;
const PACE: Span = Span(250);
/// A follower is told at least so often that there is nothing new.
const STILL_HERE: Span = Span(500);
/// A follower that has not asked again for so long follows no more.
const FORGOTTEN: Span = Span(4_000);
/// Ends of hints that are remembered; a follower that is further behind starts anew.
const TOMBSTONES: usize = 2_000;

#[derive(Debug)]
struct Kept {
    number: u64,
    /// None: it is no more, which followers must hear too.
    hint: Option<Hint>,
    round: u64,
}

#[derive(Debug)]
struct Reader {
    /// What it has been sent.
    upto: u64,
    asked_at: Moment,
    sent_at: Option<Moment>,
}

/// What a holder tells those who follow it.
#[derive(Debug, Default)]
pub struct Feed {
    newest: u64,
    round: u64,
    items: BTreeMap<HintKey, Kept>,
    by_number: BTreeMap<u64, HintKey>,
    dead: usize,
    /// Ends up to this number are forgotten.
    forgotten: u64,
    readers: BTreeMap<NodeName, Reader>,
}

impl Feed {
    /// A node follows, and has what was numbered up to `have`.
    pub fn asked(&mut self, who: &NodeName, have: u64, now: Moment) {
        // Whoever lacks ends that are forgotten has to start anew.
        let have = if have < self.forgotten { 0 } else { have.min(self.newest) };
        match self.readers.get_mut(who) {
            Some(reader) => {
                reader.asked_at = now;
                reader.upto = reader.upto.min(have);
            }
            None => {
                let reader = Reader { upto: have, asked_at: now, sent_at: None };
                self.readers.insert(who.clone(), reader);
            }
        }
    }

    /// Whether anybody follows: otherwise the hints need not be gathered.
    pub fn is_followed(&mut self, now: Moment) -> bool {
        self.readers.retain(|_, reader| now.since(reader.asked_at) < FORGOTTEN);
        !self.readers.is_empty()
    }

    /// Who follows, and how many changes each has still to be sent.
    pub fn followers(&self) -> impl Iterator<Item = (&NodeName, u64)> {
        self.readers.iter().map(|(name, reader)| (name, self.newest - reader.upto))
    }

    /// Takes in all hints as they are now: what differs gets a new number.
    pub fn refresh(&mut self, hints: impl IntoIterator<Item = Hint>) {
        self.round += 1;
        for hint in hints {
            let key = hint.key();
            match self.items.get_mut(&key) {
                Some(kept) if kept.hint.as_ref() == Some(&hint) => kept.round = self.round,
                _ => self.put(key, Some(hint)),
            }
        }
        let round = self.round;
        let gone: Vec<HintKey> = self
            .items
            .iter()
            .filter(|(_, kept)| kept.hint.is_some() && kept.round != round)
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.put(key, None);
        }
        while self.dead > TOMBSTONES {
            self.forget_oldest_end();
        }
    }

    fn put(&mut self, key: HintKey, hint: Option<Hint>) {
        self.newest += 1;
        let (number, round) = (self.newest, self.round);
        self.dead += usize::from(hint.is_none());
        if let Some(old) = self.items.insert(key.clone(), Kept { number, hint, round }) {
            self.by_number.remove(&old.number);
            self.dead -= usize::from(old.hint.is_none());
        }
        self.by_number.insert(number, key);
    }

    fn forget_oldest_end(&mut self) {
        let ended = |key: &HintKey| self.items.get(key).is_some_and(|kept| kept.hint.is_none());
        let Some((number, key)) = self.by_number.iter().find(|(_, key)| ended(key)) else { return };
        let (number, key) = (*number, key.clone());
        self.by_number.remove(&number);
        self.items.remove(&key);
        self.dead -= 1;
        self.forgotten = number;
    }

    /// What goes out now. `part` is filled in with the numbers and the hints of each.
    pub fn parts(&mut self, part: &HintPart, now: Moment) -> Vec<(NodeName, HintPart)> {
        let mut out = Vec::new();
        for (name, reader) in &mut self.readers {
            let pause = if reader.upto < self.newest { PACE } else { STILL_HERE };
            if reader.sent_at.is_some_and(|at| now.since(at) < pause) {
                continue;
            }
            reader.sent_at = Some(now);
            let after = reader.upto;
            let (mut upto, mut bytes, mut hints) = (self.newest, 0, Vec::new());
            for (number, key) in self.by_number.range(after + 1..) {
                if bytes >= PART_BYTES {
                    upto = number - 1;
                    break;
                }
                let hint = self.items.get(key).and_then(|kept| kept.hint.clone());
                hints.push(hint.unwrap_or_else(|| Hint::Gone(key.clone())));
                bytes += hints.last().map_or(0, Hint::weight);
            }
            reader.upto = upto;
            let (newest, floor) = (self.newest, self.forgotten);
            let numbers = HintPart { after, upto, newest, floor, ..part.clone() };
            out.push((name.clone(), HintPart { hints, ..numbers }));
        }
        out
    }
}
