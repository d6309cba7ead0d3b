//! Stand-in of the state service.

use std::collections::{BTreeMap, VecDeque};
use wire::state::{Change, Changes, Item, ListPage, StateReply, StateRequest, Transaction, Write};

#[derive(Debug, Clone)]
struct Stored {
    value: serde_json::Value,
    version: u64,
    lease: Option<u64>,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct StateService {
    revision: u64,
    keys: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, (u64, u64)>,
    next_lease: u64,
    log: VecDeque<Change>,
    compacted: u64,
    budget: f64,
    filled_at: u64,
    write_rps: f64,
    /// Puts and deletes taken, and refused for want of budget.
    pub accepted_writes: u64,
    pub refused_writes: u64,
    /// Changes that are kept for watches.
    pub max_kept_changes: usize,
}

impl StateService {
    /// An empty store with a budget of puts and deletes a second.
    pub fn new(write_rps: f64) -> Self {
        StateService {
            write_rps,
            max_kept_changes: 10_000,
            next_lease: 1,
            ..Default::default()
        }
    }

    fn record(&mut self, change: Change) {
        self.log.push_back(change);
        while self.log.len() > self.max_kept_changes {
            if let Some(old) = self.log.pop_front() {
                self.compacted = old.version;
            }
        }
    }

    /// Ends leases that were not renewed.
    pub fn expire(&mut self, now: u64) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let gone: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if gone.is_empty() {
            return;
        }
        self.revision += 1;
        for key in gone {
            self.keys.remove(&key);
            let version = self.revision;
            self.record(Change {
                put_key: None,
                deleted_key: Some(key),
                value: None,
                version,
                lease: None,
            });
        }
    }

    /// The value under a key, for tests.
    pub fn value(&self, key: &str) -> Option<&serde_json::Value> {
        self.keys.get(key).map(|stored| &stored.value)
    }

    /// Empties all values under a prefix without a change event: a defective store.
    pub fn empty_values(&mut self, prefix: &str) {
        for (_, stored) in self
            .keys
            .iter_mut()
            .filter(|(key, _)| key.starts_with(prefix))
        {
            stored.value = serde_json::json!({});
        }
    }

    /// After an outage every lease has its full time again.
    pub fn renew_all_leases(&mut self, now: u64) {
        for (until, ttl) in self.leases.values_mut() {
            *until = now + *ttl;
        }
    }

    fn over_budget(&mut self, now: u64, writes: usize) -> bool {
        // A bucket with one second's worth.
        let passed = now.saturating_sub(self.filled_at) as f64 / 1000.0;
        self.filled_at = now.max(self.filled_at);
        self.budget = (self.budget + passed * self.write_rps).min(self.write_rps);
        if self.budget < writes as f64 {
            self.refused_writes += writes as u64;
            return true;
        }
        self.accepted_writes += writes as u64;
        self.budget -= writes as f64;
        false
    }

    fn txn(&mut self, now: u64, txn: &Transaction) -> StateReply {
        if self.over_budget(now, txn.writes.len()) {
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
            .filter(|c| self.keys.get(&c.key).map_or(0, |s| s.version) != c.version)
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
                    let stored = Stored {
                        value: value.clone(),
                        version,
                        lease: *lease,
                    };
                    self.keys.insert(key.clone(), stored);
                    self.record(Change {
                        put_key: Some(key.clone()),
                        deleted_key: None,
                        value: Some(value.clone()),
                        version,
                        lease: *lease,
                    });
                }
                Write::Delete { key } => {
                    if self.keys.remove(key).is_some() {
                        self.record(Change {
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

    /// Changes after a revision, if there are any to tell.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<StateReply> {
        if after < self.compacted {
            return Some(StateReply::Compacted);
        }
        let events: Vec<Change> = self
            .log
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

    /// The answer of a watch whose time has run out.
    pub fn no_changes(&self) -> StateReply {
        StateReply::Changes(Changes {
            revision: self.revision,
            events: Vec::new(),
        })
    }

    /// Executes a request other than a watch.
    pub fn execute(&mut self, now: u64, request: &StateRequest) -> StateReply {
        self.expire(now);
        match request {
            StateRequest::Get { key } => match self.keys.get(key) {
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
                    .keys
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
                let more = items.next().is_some();
                StateReply::List(ListPage {
                    items: page,
                    has_more: more,
                    revision: self.revision,
                })
            }
            StateRequest::Transaction(txn) => self.txn(now, txn),
            StateRequest::GrantLease { ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (now + ttl_ms, *ttl_ms));
                StateReply::Lease(self.next_lease)
            }
            StateRequest::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
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
