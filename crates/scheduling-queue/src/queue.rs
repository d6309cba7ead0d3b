//! The queue and its transitions.

use crate::config::QueueConfig;
use crate::metrics::{QueueEvent, QueueKind};
use model::Timestamp;
use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;
use std::time::Duration;

/// Where an entry is. Each state names what its position in the queue is ordered by.
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
    /// Removed from the queue by the running cycle.
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

/// The queue. `K` identifies an entry, `R` is its rank: the lowest rank is tried first.
#[derive(Debug)]
pub struct SchedulingQueue<K, R> {
    config: QueueConfig,
    entries: HashMap<K, Entry<R>>,
    active: BTreeSet<(R, K)>,
    backoff: BTreeSet<(Timestamp, K)>,
    unschedulable: BTreeSet<(Timestamp, K)>,
    /// Number of the last cycle.
    cycle: u64,
    /// The cycle in which the last move request came.
    move_cycle: Option<u64>,
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
            move_cycle: None,
            incoming: HashMap::new(),
        }
    }

    /// Changes the settings from now on.
    pub fn configure(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// The backoff that follows the given number of failures.
    pub fn backoff_after(&self, failures: u32) -> Duration {
        self.config.backoff_after(failures)
    }

    /// Adds an entry to the active heap; one that is already queued stays where it is.
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

    /// Adds an entry whose last run failed: it backs off as if a cycle had failed so often.
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

    /// Removes an entry from whatever queue it is in.
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

    /// Starts a cycle with the entry of the lowest rank. It must be ended with `scheduled` or
    /// `failed`.
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

    /// Ends the entry's cycle: it has been placed.
    pub fn record_placed(&mut self, key: K) {
        self.remove(key);
    }

    /// Ends the entry's cycle: it found no machine.
    pub fn record_failure(&mut self, key: K, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        let State::InCycle { rank, cycle } = entry.state else {
            return;
        };
        entry.failures = entry.failures.saturating_add(1);
        entry.failed_at = now;
        // A change that came while the entry was tried may be the one that it needs.
        let state = if self.move_cycle.is_some_and(|moved| moved >= cycle) {
            State::Backoff {
                rank,
                until: now + self.config.backoff_after(entry.failures),
            }
        } else {
            State::Unschedulable { rank, since: now }
        };
        self.enqueue(key, state, QueueEvent::Failure);
    }

    /// A move request: unschedulable entries become active, or back off for the rest of their
    /// backoff.
    pub fn move_all(&mut self, now: Timestamp) {
        self.move_cycle = Some(self.cycle);
        let unschedulable: Vec<K> = self.unschedulable.iter().map(|(_, key)| *key).collect();
        for key in unschedulable {
            self.release(key, now, QueueEvent::Move);
        }
    }

    /// Releases entries whose backoff has ended, and those unschedulable for too long.
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

    /// When the next flush has something to do.
    pub fn next_flush_at(&self) -> Option<Timestamp> {
        let backoff = self.backoff.first().map(|(until, _)| *until);
        let unschedulable_timeout = self
            .unschedulable
            .first()
            .map(|(since, _)| *since + self.config.unschedulable_timeout);
        [backoff, unschedulable_timeout].into_iter().flatten().min()
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
    pub fn location(&self, key: K) -> Option<(QueueKind, u32)> {
        self.entries
            .get(&key)
            .map(|entry| (entry.state.kind(), entry.failures))
    }

    /// Entries in each queue (metric `pending`).
    pub fn pending(&self) -> [(QueueKind, usize); 3] {
        [
            (QueueKind::Active, self.active.len()),
            (QueueKind::Backoff, self.backoff.len()),
            (QueueKind::Unschedulable, self.unschedulable.len()),
        ]
    }

    /// Entries that came into each queue, by event (metric `queue_incoming`).
    pub fn incoming(&self) -> &HashMap<(QueueKind, QueueEvent), u64> {
        &self.incoming
    }

    /// All entries, in no order.
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

    /// Gives a known entry a state, and the position in the queue that goes with it.
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

    /// Removes the position in the queue that goes with a state.
    fn dequeue(&mut self, key: K, state: State<R>) {
        match state {
            State::Active { rank } => self.active.remove(&(rank, key)),
            State::Backoff { until, .. } => self.backoff.remove(&(until, key)),
            State::Unschedulable { since, .. } => self.unschedulable.remove(&(since, key)),
            State::InCycle { .. } => false,
        };
    }
}
