//! The scheduling queue and the transitions of its entries.

use crate::config::QueueConfig;
use crate::metrics::{QueueEvent, QueueKind};
use model::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::time::Duration;

/// The state of an entry, with the value by which its queue is ordered. Every state keeps the entry's rank.
#[derive(Debug, Clone, Copy)]
enum State<R> {
    Active {
        rank: R,
    },
    Backoff {
        rank: R,
        until: Timestamp,
    },
    Unschedulable {
        rank: R,
        since: Timestamp,
    },
    /// Taken from the active queue to be tried in the cycle of this number.
    InCycle {
        rank: R,
        cycle: u64,
    },
}

impl<R> State<R> {
    fn kind(&self) -> QueueKind {
        match self {
            State::Active { .. } | State::InCycle { .. } => QueueKind::Active,
            State::Backoff { .. } => QueueKind::Backoff,
            State::Unschedulable { .. } => QueueKind::Unschedulable,
        }
    }
}

#[derive(Debug, Clone)]
struct Entry<R> {
    state: State<R>,
    failures: u32,
    failed_at: Timestamp,
}

/// The scheduling queue. `K` is the key of an entry and `R` its rank: the entry with the lowest rank is tried
/// first.
#[derive(Debug)]
pub struct SchedulingQueue<K, R> {
    config: QueueConfig,
    entries: HashMap<K, Entry<R>>,
    active: BTreeSet<(R, K)>,
    backoff: BTreeSet<(Timestamp, K)>,
    unschedulable: BTreeSet<(Timestamp, K)>,
    /// Number of the latest cycle.
    cycle: u64,
    /// Number of the latest cycle when the last move request came.
    move_request_cycle: Option<u64>,
    /// Number of entries that came into each queue, by event.
    incoming: HashMap<(QueueKind, QueueEvent), u64>,
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
            move_request_cycle: None,
            incoming: HashMap::new(),
        }
    }

    /// Changes the settings. Backoffs that are running are not changed.
    pub fn configure(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// The backoff after this many failures.
    pub fn backoff_after(&self, failures: u32) -> Duration {
        self.config.backoff_after(failures)
    }

    /// Adds an entry to the active queue. An entry that is already queued stays where it is.
    pub fn add(&mut self, key: K, rank: R) {
        if self.entries.contains_key(&key) {
            return;
        }
        let state = State::Active { rank };
        self.entries.insert(
            key,
            Entry {
                state,
                failures: 0,
                failed_at: Timestamp::default(),
            },
        );
        self.enqueue(key, state, QueueEvent::Add);
    }

    /// Adds an entry whose last run failed, with the backoff for its number of failures. An entry that is already
    /// queued stays where it is.
    pub fn add_with_backoff(&mut self, key: K, rank: R, failures: u32, now: Timestamp) {
        if self.entries.contains_key(&key) {
            return;
        }
        let state = State::Backoff {
            rank,
            until: now + self.backoff_after(failures),
        };
        self.entries.insert(
            key,
            Entry {
                state,
                failures,
                failed_at: now,
            },
        );
        self.enqueue(key, state, QueueEvent::Failure);
    }

    /// Removes an entry from the queue that it is in.
    pub fn remove(&mut self, key: K) {
        if let Some(entry) = self.entries.remove(&key) {
            self.dequeue(key, entry.state);
        }
    }

    /// Changes the rank of an entry.
    pub fn rerank(&mut self, key: K, new_rank: R) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        match &mut entry.state {
            State::Active { rank } => {
                self.active.remove(&(*rank, key));
                self.active.insert((new_rank, key));
                *rank = new_rank;
            }
            State::Backoff { rank, .. }
            | State::Unschedulable { rank, .. }
            | State::InCycle { rank, .. } => *rank = new_rank,
        }
    }

    /// Starts a cycle with the active entry of the lowest rank. The caller ends the cycle with
    /// [`record_placed`](Self::record_placed) or [`record_failure`](Self::record_failure).
    pub fn pop(&mut self) -> Option<K> {
        let (rank, key) = self.active.pop_first()?;
        self.cycle += 1;
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = State::InCycle {
                rank,
                cycle: self.cycle,
            };
        }
        Some(key)
    }

    /// Ends the cycle of an entry that was placed, or needs no placement any more, and removes the entry.
    pub fn record_placed(&mut self, key: K) {
        self.remove(key);
    }

    /// Ends the cycle of an entry that could not be placed.
    pub fn record_failure(&mut self, key: K, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let State::InCycle { rank, cycle } = entry.state else {
            return;
        };
        entry.failures = entry.failures.saturating_add(1);
        entry.failed_at = now;
        // The change behind a move request since the cycle began may be the one that the entry needs.
        let state = if self
            .move_request_cycle
            .is_some_and(|request_cycle| request_cycle >= cycle)
        {
            State::Backoff {
                rank,
                until: now + self.config.backoff_after(entry.failures),
            }
        } else {
            State::Unschedulable { rank, since: now }
        };
        self.enqueue(key, state, QueueEvent::Failure);
    }

    /// Handles a move request: something has changed that may make entries schedulable. All unschedulable
    /// entries become active, or back off for the rest of their backoff.
    pub fn move_all(&mut self, now: Timestamp) {
        self.move_request_cycle = Some(self.cycle);
        let unschedulable: Vec<K> = self.unschedulable.iter().map(|(_, key)| *key).collect();
        for key in unschedulable {
            self.release(key, now, QueueEvent::Move);
        }
    }

    /// Makes entries active whose backoff has ended, and releases those that have been unschedulable for the
    /// whole timeout.
    pub fn flush(&mut self, now: Timestamp) {
        while let Some(&(until, key)) = self.backoff.first() {
            if until > now {
                break;
            }
            self.backoff.pop_first();
            let Some(entry) = self.entries.get(&key) else {
                continue;
            };
            let State::Backoff { rank, .. } = entry.state else {
                continue;
            };
            self.enqueue(key, State::Active { rank }, QueueEvent::BackoffComplete);
        }
        while let Some(&(since, key)) = self.unschedulable.first() {
            if since + self.config.unschedulable_timeout > now {
                break;
            }
            self.release(key, now, QueueEvent::Leftover);
        }
    }

    /// The time from which the next flush has something to do.
    pub fn next_flush_at(&self) -> Option<Timestamp> {
        let backoff_end = self.backoff.first().map(|(until, _)| *until);
        let unschedulable_end = self
            .unschedulable
            .first()
            .map(|(since, _)| *since + self.config.unschedulable_timeout);
        [backoff_end, unschedulable_end].into_iter().flatten().min()
    }

    /// Whether any entry is active, so that a cycle can run.
    pub fn has_active(&self) -> bool {
        !self.active.is_empty()
    }

    /// Whether an entry is in any of the queues.
    pub fn contains(&self, key: K) -> bool {
        self.entries.contains_key(&key)
    }

    /// The queue that an entry is in, and how often the entry has failed.
    pub fn location(&self, key: K) -> Option<(QueueKind, u32)> {
        self.entries
            .get(&key)
            .map(|entry| (entry.state.kind(), entry.failures))
    }

    /// Number of entries in each queue (metric `trackcrank_pending_tasks`).
    pub fn pending(&self) -> [(QueueKind, usize); 3] {
        [
            (QueueKind::Active, self.active.len()),
            (QueueKind::Backoff, self.backoff.len()),
            (QueueKind::Unschedulable, self.unschedulable.len()),
        ]
    }

    /// Number of entries that came into each queue, by event (metric `trackcrank_queue_incoming_tasks_total`).
    pub fn incoming(&self) -> &HashMap<(QueueKind, QueueEvent), u64> {
        &self.incoming
    }

    /// The keys of all entries, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = K> + '_ {
        self.entries.keys().copied()
    }

    /// Makes an unschedulable entry active, or has it back off for the rest of its backoff.
    fn release(&mut self, key: K, now: Timestamp, event: QueueEvent) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        let State::Unschedulable { rank, .. } = entry.state else {
            return;
        };
        let until = entry.failed_at + self.backoff_after(entry.failures);
        let state = if until > now {
            State::Backoff { rank, until }
        } else {
            State::Active { rank }
        };
        self.dequeue(key, entry.state);
        self.enqueue(key, state, event);
    }

    /// Sets the state of a known entry and inserts the entry into the queue of that state.
    fn enqueue(&mut self, key: K, state: State<R>, event: QueueEvent) {
        match state {
            State::Active { rank } => self.active.insert((rank, key)),
            State::Backoff { until, .. } => self.backoff.insert((until, key)),
            State::Unschedulable { since, .. } => self.unschedulable.insert((since, key)),
            State::InCycle { .. } => false,
        };
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = state;
        }
        *self.incoming.entry((state.kind(), event)).or_default() += 1;
    }

    /// Removes an entry from the queue of a state.
    fn dequeue(&mut self, key: K, state: State<R>) {
        match state {
            State::Active { rank } => self.active.remove(&(rank, key)),
            State::Backoff { until, .. } => self.backoff.remove(&(until, key)),
            State::Unschedulable { since, .. } => self.unschedulable.remove(&(since, key)),
            State::InCycle { .. } => false,
        };
    }
}
