//! A simulated state service: a versioned key-value store in memory with leases, transactions and watches.

mod limits;

pub use limits::StateServiceLimits;

use limits::RateLimit;
use std::collections::{BTreeMap, VecDeque};
use wire::state::{Change, Changes, Item, ListPage, StateReply, StateRequest, Transaction, Write};

#[derive(Debug, Clone)]
struct StoredValue {
    value: serde_json::Value,
    /// Revision of the store at which the value was written.
    version: u64,
    /// Lease that deletes the value when it ends.
    lease: Option<u64>,
}

/// The store. All times are in ms.
#[derive(Debug, Clone, Default)]
pub struct StateService {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    /// When each lease expires and how long it lasts after a renewal, by its id.
    leases: BTreeMap<u64, (u64, u64)>,
    last_lease_id: u64,
    /// The latest changes, for watches.
    changes: VecDeque<Change>,
    /// Revision of the latest change that is no longer kept.
    compacted_revision: u64,
    /// Puts and deletes that may be executed now.
    write_rate: RateLimit,
    /// Requests that may be executed now.
    request_rate: RateLimit,
    /// The limits other than that on puts and deletes per second; none are enforced if this is not set.
    limits: Option<StateServiceLimits>,
    /// Number of puts and deletes that were accepted, and number of those that were refused because of the rate limit.
    pub accepted_writes: u64,
    pub refused_writes: u64,
    /// Number of transactions that were refused because they exceeded a limit whatever the load.
    pub oversized_transactions: u64,
    /// Maximum number of changes that are kept for watches.
    pub max_kept_changes: usize,
}

impl StateService {
    /// An empty store that accepts `write_rps` puts and deletes per second.
    pub fn new(write_rps: f64) -> Self {
        StateService {
            write_rate: RateLimit::new(write_rps, 0.0),
            max_kept_changes: 10_000,
            last_lease_id: 1,
            ..Default::default()
        }
    }

    /// Enforces these limits from now on.
    pub fn set_limits(&mut self, limits: StateServiceLimits) {
        self.write_rate.per_s = limits.writes_per_s;
        if self.limits.is_none() {
            self.request_rate.available = limits.requests_per_s;
        }
        self.request_rate.per_s = limits.requests_per_s;
        self.limits = Some(limits);
    }

    /// Takes a request from the budget; true if it exceeds it and is refused.
    pub fn throttle_request(&mut self, now: u64) -> bool {
        self.limits.is_some() && !self.request_rate.take(now, 1)
    }

    /// Keys that begin with a prefix.
    pub fn keys<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a str> {
        self.values
            .range(prefix.to_owned()..)
            .map(|(key, _)| key.as_str())
            .take_while(move |key| key.starts_with(prefix))
    }

    /// Stores a value without a change event and without limits, as if it had been there from the beginning.
    pub fn preload(&mut self, key: &str, value: serde_json::Value) {
        let stored = StoredValue {
            value,
            version: 1,
            lease: None,
        };
        self.revision = self.revision.max(1);
        self.values.insert(key.to_owned(), stored);
    }

    fn record_change(&mut self, change: Change) {
        self.changes.push_back(change);
        while self.changes.len() > self.max_kept_changes {
            if let Some(old) = self.changes.pop_front() {
                self.compacted_revision = old.version;
            }
        }
    }

    /// Ends the leases that were not renewed in time.
    pub fn expire(&mut self, now: u64) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (expires_at, _))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let deleted: Vec<String> = self
            .values
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if deleted.is_empty() {
            return;
        }
        self.revision += 1;
        for key in deleted {
            self.values.remove(&key);
            let version = self.revision;
            self.record_change(Change {
                put_key: None,
                deleted_key: Some(key),
                value: None,
                version,
                lease: None,
            });
        }
    }

    /// The value under a key, for tests and checks.
    pub fn value(&self, key: &str) -> Option<&serde_json::Value> {
        self.values.get(key).map(|stored| &stored.value)
    }

    /// Replaces all values under a prefix by empty objects without a change event, as a defective store might.
    pub fn empty_values(&mut self, prefix: &str) {
        for (_, stored) in self
            .values
            .iter_mut()
            .filter(|(key, _)| key.starts_with(prefix))
        {
            stored.value = serde_json::json!({});
        }
    }

    /// Renews every lease, as the service does after an outage.
    pub fn renew_all_leases(&mut self, now: u64) {
        for (expires_at, ttl_ms) in self.leases.values_mut() {
            *expires_at = now + *ttl_ms;
        }
    }

    /// Takes a transaction's writes from the budget; true if they exceed it and are refused.
    fn throttle_writes(&mut self, now: u64, writes: usize) -> bool {
        let is_refused = !self.write_rate.take(now, writes);
        if is_refused {
            self.refused_writes += writes as u64;
        } else {
            self.accepted_writes += writes as u64;
        }
        is_refused
    }

    fn execute_transaction(&mut self, now: u64, txn: &Transaction) -> StateReply {
        if let Some(problem) = self.limits.and_then(|limits| limits.exceeded_by(txn)) {
            self.oversized_transactions += 1;
            return StateReply::Invalid(problem);
        }
        if self.throttle_writes(now, txn.writes.len()) {
            return StateReply::Refused { throttled: true };
        }
        for write in &txn.writes {
            if let Write::Put {
                lease: Some(lease), ..
            } = write
            {
                if !self.leases.contains_key(lease) {
                    return StateReply::LeaseGone;
                }
            }
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.values.get(&c.key).map_or(0, |s| s.version) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StateReply::Conflict {
                failed,
                revision: self.revision,
            };
        }
        if !txn.writes.is_empty() {
            self.revision += 1;
        }
        let version = self.revision;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    let stored = StoredValue {
                        value: value.clone(),
                        version,
                        lease: *lease,
                    };
                    self.values.insert(key.clone(), stored);
                    self.record_change(Change {
                        put_key: Some(key.clone()),
                        deleted_key: None,
                        value: Some(value.clone()),
                        version,
                        lease: *lease,
                    });
                }
                Write::Delete { key } => {
                    if self.values.remove(key).is_some() {
                        self.record_change(Change {
                            put_key: None,
                            deleted_key: Some(key.clone()),
                            value: None,
                            version,
                            lease: None,
                        });
                    }
                }
            }
        }
        StateReply::Committed { revision: version }
    }

    /// The reply to a watch of a prefix: the changes after a revision. None if there are none yet.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<StateReply> {
        if after < self.compacted_revision {
            return Some(StateReply::Compacted);
        }
        let events: Vec<Change> = self
            .changes
            .iter()
            .filter(|c| c.version > after)
            .filter(|c| {
                c.put_key
                    .as_ref()
                    .or(c.deleted_key.as_ref())
                    .is_some_and(|key| key.starts_with(prefix))
            })
            .cloned()
            .collect();
        if events.is_empty() {
            return None;
        }
        Some(StateReply::Changes(Changes {
            revision: self.revision,
            events,
        }))
    }

    /// The reply to a watch that timed out without a change.
    pub fn no_changes(&self) -> StateReply {
        StateReply::Changes(Changes {
            revision: self.revision,
            events: Vec::new(),
        })
    }

    /// Executes a request. A watch gets an empty reply at once; see [`StateService::changes`] for its events.
    pub fn execute(&mut self, now: u64, request: &StateRequest) -> StateReply {
        self.expire(now);
        match request {
            StateRequest::Get { key } => match self.values.get(key) {
                Some(stored) => StateReply::Item(Item {
                    key: key.clone(),
                    value: stored.value.clone(),
                    version: stored.version,
                    lease: stored.lease,
                }),
                None => StateReply::NotFound,
            },
            StateRequest::List {
                prefix,
                after,
                limit,
            } => {
                let mut items = self
                    .values
                    .range(prefix.clone()..)
                    .take_while(|(key, _)| key.starts_with(prefix.as_str()))
                    .filter(|(key, _)| key.as_str() > after.as_str())
                    .map(|(key, stored)| Item {
                        key: key.clone(),
                        value: stored.value.clone(),
                        version: stored.version,
                        lease: stored.lease,
                    });
                let page: Vec<Item> = items.by_ref().take(*limit as usize).collect();
                let has_more = items.next().is_some();
                StateReply::List(ListPage {
                    items: page,
                    has_more,
                    revision: self.revision,
                })
            }
            StateRequest::Transaction(txn) => self.execute_transaction(now, txn),
            StateRequest::GrantLease { ttl_ms } => {
                self.last_lease_id += 1;
                self.leases
                    .insert(self.last_lease_id, (now + ttl_ms, *ttl_ms));
                StateReply::Lease(self.last_lease_id)
            }
            StateRequest::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some((expires_at, ttl_ms)) => {
                    *expires_at = now + *ttl_ms;
                    StateReply::Ok
                }
                None => StateReply::LeaseGone,
            },
            StateRequest::RevokeLease { lease } => {
                self.end_lease(*lease);
                StateReply::Ok
            }
            StateRequest::Watch { .. } => self.no_changes(),
        }
    }
}
