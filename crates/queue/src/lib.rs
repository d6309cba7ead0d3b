//! The scheduling queue of the paper: an active heap ordered by priority, a backoff heap
//! ordered by the end of the backoff, and a map of entries that wait for an event.
//!
//! One scheduling cycle tries one entry. An entry that fails parks in the unschedulable
//! map, unless a move request came in the cycle in which it was tried or later: then it goes
//! to the backoff heap, since the change that it missed may be the one that it needs.

use model::{Moment, Span};
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Figures of the queue; operators may change them. The paper's backoff is 1 s to 10 s; ours is
/// shorter since slots free up within seconds, see `docs/design.md` for the measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueConfig {
    /// Backoff after the first failure.
    pub initial_backoff: Span,
    /// Longest backoff.
    pub max_backoff: Span,
    /// How long an entry stays parked before the flush frees it.
    pub leftover: Span,
}

impl Default for QueueConfig {
    fn default() -> Self {
        QueueConfig { initial_backoff: Span(100), max_backoff: Span(1_000), leftover: Span(10_000) }
    }
}

/// What put an entry into one of the queues; a label of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// A new task.
    Add,
    /// Its cycle found no place.
    Failure,
    /// A move request.
    Move,
    /// The end of its backoff.
    BackoffComplete,
    /// The flush of leftovers.
    Leftover,
}

/// Which queue; a label of the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Which {
    Active,
    Backoff,
    Unschedulable,
}

#[derive(Debug, Clone)]
enum Place<R> {
    Active(R),
    Backoff(R, Moment),
    Unschedulable(R, Moment),
    /// Taken by the running cycle.
    Tried(R, u64),
}

#[derive(Debug, Clone)]
struct Entry<R> {
    place: Place<R>,
    failures: u32,
    failed_at: Moment,
}

/// The queue. `K` names an entry, `R` is its rank: the least rank is tried first.
#[derive(Debug)]
pub struct SchedulingQueue<K, R> {
    config: QueueConfig,
    entries: HashMap<K, Entry<R>>,
    active: BTreeSet<(R, K)>,
    backoff: BTreeSet<(Moment, K)>,
    unschedulable: BTreeSet<(Moment, K)>,
    cycle: u64,
    move_cycle: Option<u64>,
    incoming: HashMap<(Which, Cause), u64>,
}

impl<K: Copy + Ord + Hash, R: Copy + Ord> SchedulingQueue<K, R> {
    /// An empty queue.
    pub fn new(config: QueueConfig) -> Self {
        SchedulingQueue {
            config,
            entries: HashMap::new(),
            active: BTreeSet::new(),
            backoff: BTreeSet::new(),
            unschedulable: BTreeSet::new(),
            cycle: 0,
            move_cycle: None,
            incoming: HashMap::new(),
        }
    }

    /// New figures, from now on.
    pub fn configure(&mut self, config: QueueConfig) {
        self.config = config;
    }

    fn count(&mut self, which: Which, cause: Cause) {
        *self.incoming.entry((which, cause)).or_default() += 1;
    }

    /// The backoff that follows the given number of failures.
    pub fn backoff_after(&self, failures: u32) -> Span {
        let factor = 1u64 << failures.saturating_sub(1).min(32);
        Span(self.config.initial_backoff.0.saturating_mul(factor)).min(self.config.max_backoff)
    }

    fn unlink(&mut self, key: K, place: &Place<R>) {
        match place {
            Place::Active(rank) => {
                self.active.remove(&(*rank, key));
            }
            Place::Backoff(_, until) => {
                self.backoff.remove(&(*until, key));
            }
            Place::Unschedulable(_, since) => {
                self.unschedulable.remove(&(*since, key));
            }
            Place::Tried(..) => {}
        }
    }

    /// Adds an entry to the active heap; one that is already queued stays where it is.
    pub fn add(&mut self, key: K, rank: R) {
        if self.entries.contains_key(&key) {
            return;
        }
        self.entries.insert(
            key,
            Entry { place: Place::Active(rank), failures: 0, failed_at: Moment::default() },
        );
        self.active.insert((rank, key));
        self.count(Which::Active, Cause::Add);
    }

    /// Adds an entry whose last run failed: it backs off as if a cycle had failed so often.
    pub fn add_failed(&mut self, key: K, rank: R, failures: u32, now: Moment) {
        if self.entries.contains_key(&key) {
            return;
        }
        let until = now + self.backoff_after(failures);
        self.entries
            .insert(key, Entry { place: Place::Backoff(rank, until), failures, failed_at: now });
        self.backoff.insert((until, key));
        self.count(Which::Backoff, Cause::Failure);
    }

    /// Takes an entry out of whatever queue holds it.
    pub fn remove(&mut self, key: K) {
        if let Some(entry) = self.entries.remove(&key) {
            self.unlink(key, &entry.place);
        }
    }

    /// Gives an entry another rank.
    pub fn rerank(&mut self, key: K, rank: R) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        match &mut entry.place {
            Place::Active(old) if *old != rank => {
                let before = (*old, key);
                *old = rank;
                self.active.remove(&before);
                self.active.insert((rank, key));
            }
            Place::Active(_) => {}
            Place::Backoff(old, _) | Place::Unschedulable(old, _) | Place::Tried(old, _) => {
                *old = rank;
            }
        }
    }

    /// Starts a cycle with the entry of the least rank. It must be ended with
    /// `scheduled` or `failed`.
    pub fn pop(&mut self) -> Option<K> {
        let (rank, key) = self.active.pop_first()?;
        self.cycle += 1;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.place = Place::Tried(rank, self.cycle);
        }
        Some(key)
    }

    /// Ends the entry's cycle: it has been placed.
    pub fn scheduled(&mut self, key: K) {
        self.remove(key);
    }

    /// Ends the entry's cycle: it found no place.
    pub fn failed(&mut self, key: K, now: Moment) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        let Place::Tried(rank, cycle) = entry.place else { return };
        entry.failures = entry.failures.saturating_add(1);
        entry.failed_at = now;
        let failures = entry.failures;
        // The change that arrived while the entry was tried must not be lost on it.
        if self.move_cycle.is_some_and(|moved| moved >= cycle) {
            let until = now + self.backoff_after(failures);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.place = Place::Backoff(rank, until);
            }
            self.backoff.insert((until, key));
            self.count(Which::Backoff, Cause::Failure);
        } else {
            entry.place = Place::Unschedulable(rank, now);
            self.unschedulable.insert((now, key));
            self.count(Which::Unschedulable, Cause::Failure);
        }
    }

    /// A move request: what waits for an event becomes active, or backs off for what is left
    /// of its backoff.
    pub fn move_all(&mut self, now: Moment) {
        self.move_cycle = Some(self.cycle);
        let parked: Vec<K> = self.unschedulable.iter().map(|(_, key)| *key).collect();
        for key in parked {
            self.release(key, now, Cause::Move);
        }
    }

    fn release(&mut self, key: K, now: Moment, cause: Cause) {
        let Some(entry) = self.entries.get(&key) else { return };
        let Place::Unschedulable(rank, since) = entry.place else { return };
        let until = entry.failed_at + self.backoff_after(entry.failures);
        self.unschedulable.remove(&(since, key));
        let (place, which) = if until > now {
            self.backoff.insert((until, key));
            (Place::Backoff(rank, until), Which::Backoff)
        } else {
            self.active.insert((rank, key));
            (Place::Active(rank), Which::Active)
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.place = place;
        }
        self.count(which, cause);
    }

    /// Both flushes: ended backoffs, and leftovers that no event has moved.
    pub fn flush(&mut self, now: Moment) {
        while let Some(&(until, key)) = self.backoff.first() {
            if until > now {
                break;
            }
            self.backoff.pop_first();
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            let Place::Backoff(rank, _) = entry.place else { continue };
            entry.place = Place::Active(rank);
            self.active.insert((rank, key));
            self.count(Which::Active, Cause::BackoffComplete);
        }
        while let Some(&(since, key)) = self.unschedulable.first() {
            if since + self.config.leftover > now {
                break;
            }
            self.release(key, now, Cause::Leftover);
        }
    }

    /// When the next flush has something to do.
    pub fn next_flush(&self) -> Option<Moment> {
        let backoff = self.backoff.first().map(|(until, _)| *until);
        let leftover = self.unschedulable.first().map(|(since, _)| *since + self.config.leftover);
        [backoff, leftover].into_iter().flatten().min()
    }

    /// Whether a cycle can run.
    pub fn has_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Whether an entry is queued anywhere.
    pub fn contains(&self, key: K) -> bool {
        self.entries.contains_key(&key)
    }

    /// Where an entry waits and how often it has failed.
    pub fn whereabouts(&self, key: K) -> Option<(Which, u32)> {
        self.entries.get(&key).map(|entry| {
            let which = match entry.place {
                Place::Active(_) | Place::Tried(..) => Which::Active,
                Place::Backoff(..) => Which::Backoff,
                Place::Unschedulable(..) => Which::Unschedulable,
            };
            (which, entry.failures)
        })
    }

    /// Entries in each queue (metric `pending`).
    pub fn pending(&self) -> [(Which, usize); 3] {
        [
            (Which::Active, self.active.len()),
            (Which::Backoff, self.backoff.len()),
            (Which::Unschedulable, self.unschedulable.len()),
        ]
    }

    /// Entries that came into each queue, by cause (metric `queue_incoming`).
    pub fn incoming(&self) -> &HashMap<(Which, Cause), u64> {
        &self.incoming
    }

    /// All entries, in no order.
    pub fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.entries.keys().copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn queue() -> SchedulingQueue<u32, u32> {
        SchedulingQueue::new(QueueConfig {
            initial_backoff: Span(1_000),
            max_backoff: Span(10_000),
            leftover: Span(10_000),
        })
    }

    #[test]
    fn least_rank_goes_first_and_reranking_counts() {
        let mut q = queue();
        q.add(1, 30);
        q.add(2, 10);
        q.add(3, 20);
        q.rerank(1, 5);
        let order: Vec<_> = std::iter::from_fn(|| q.pop()).collect();
        assert_eq!(order, [1, 2, 3]);
    }

    #[test]
    fn failure_parks_until_a_move_request() {
        let mut q = queue();
        q.add(1, 0);
        q.pop();
        q.failed(1, Moment(0));
        assert_eq!(q.whereabouts(1), Some((Which::Unschedulable, 1)));
        q.move_all(Moment(400));
        assert_eq!(q.whereabouts(1), Some((Which::Backoff, 1)), "its backoff still runs");
        q.flush(Moment(999));
        assert!(!q.has_active());
        q.flush(Moment(1000));
        assert_eq!(q.pop(), Some(1));
    }

    #[test]
    fn a_move_request_during_the_cycle_leads_to_backoff() {
        let mut q = queue();
        q.add(1, 0);
        q.pop();
        q.move_all(Moment(0));
        q.failed(1, Moment(0));
        assert_eq!(q.whereabouts(1), Some((Which::Backoff, 1)));
        // The request of an earlier cycle does not count.
        q.add(2, 0);
        q.pop();
        q.failed(2, Moment(1));
        assert_eq!(q.whereabouts(2), Some((Which::Unschedulable, 1)));
    }

    #[test]
    fn backoff_doubles_to_its_cap_and_leftovers_are_flushed() {
        let mut q = queue();
        let spans: Vec<u64> = (1..=6).map(|n| q.backoff_after(n).0).collect();
        assert_eq!(spans, [1000, 2000, 4000, 8000, 10_000, 10_000]);
        q.add(1, 0);
        q.pop();
        q.failed(1, Moment(0));
        assert_eq!(q.next_flush(), Some(Moment(10_000)));
        q.flush(Moment(9_999));
        assert!(!q.has_active());
        q.flush(Moment(10_000));
        assert!(q.has_active());
        assert_eq!(q.incoming()[&(Which::Active, Cause::Leftover)], 1);
    }

    #[test]
    fn removal_reaches_every_queue() {
        let mut q = queue();
        for key in 0..4 {
            q.add(key, key);
        }
        q.pop();
        q.failed(0, Moment(0));
        q.add_failed(9, 0, 2, Moment(0));
        for key in [0, 1, 2, 3, 9] {
            q.remove(key);
            assert!(!q.contains(key));
        }
        assert_eq!(q.pending().map(|(_, n)| n), [0, 0, 0]);
        q.flush(Moment(100_000));
        assert_eq!(q.pop(), None);
    }
}
