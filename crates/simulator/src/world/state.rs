//! The state service's side of a request, and what is noticed on the way.

use super::*;
use wire::state::Changes;

/// Partitions whose records a request writes, with the new terms.
fn holders_written(request: &StateRequest) -> Vec<(u32, u64)> {
    let StateRequest::Transaction(txn) = request else {
        return Vec::new();
    };
    let record = |write: &Write| match write {
        Write::Put { put, value, .. } => {
            let partition = put.strip_prefix("s/p/")?.parse().ok()?;
            Some((partition, value.get("term")?.as_u64()?))
        }
        Write::Delete { .. } => None,
    };
    txn.writes.iter().filter_map(record).collect()
}

/// Strikes out who may still answer the workers of a partition.
fn forget_predecessors(writes: &mut [Write]) {
    for write in writes {
        let Write::Put { put, value, .. } = write else {
            continue;
        };
        if put == "s/t" || put.starts_with("s/p/") {
            for field in ["takers", "suspects"] {
                match value.get_mut(field) {
                    Some(serde_json::Value::Object(map)) => map.clear(),
                    Some(serde_json::Value::Array(list)) => list.clear(),
                    _ => {}
                }
            }
        }
    }
}

/// Whether final states of jobs are written.
fn writes_end(writes: &[Write]) -> bool {
    writes
        .iter()
        .any(|write| matches!(write, Write::Put { put, .. } if put.starts_with("s/e/")))
}

impl World {
    pub(super) fn state_answer(&mut self, node: usize, life: u64, call: CallId, reply: StateReply) {
        self.note_read(node, &reply);
        let event = Event::State { call, reply };
        let message = Message::Controller { node, life, event };
        self.send(Place::State, Place::Controller(node), message);
    }

    pub(super) fn state_request(
        &mut self,
        node: usize,
        life: u64,
        call: CallId,
        mut request: StateRequest,
    ) {
        self.requests += 1;
        if self.refuses(node) {
            self.state_answer(node, life, call, StateReply::Refused { throttled: false });
            return;
        }
        if let StateRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = &request
        {
            if *wait_ms == 0 && self.plan.sabotage == Some(Sabotage::FreshReadsOld) {
                let nothing = Changes {
                    revision: *after,
                    events: Vec::new(),
                };
                self.state_answer(node, life, call, StateReply::Changes(nothing));
                return;
            }
            match self.state.changes(prefix, *after) {
                Some(reply) => self.state_answer(node, life, call, reply),
                None => {
                    self.watches
                        .push((node, life, call, prefix.clone(), *after));
                    let what = Happening::WatchEnds { node, life, call };
                    self.at(self.now + wait_ms, what);
                }
            }
            return;
        }
        if self.is_late(node, life, &request) {
            return;
        }
        let lost = self.loses_answer(&request);
        let mut pretend = false;
        if let StateRequest::Transaction(txn) = &mut request {
            let page = |w: &Write| matches!(w, Write::Put { put, .. } if put.starts_with("l/"));
            match self.plan.sabotage {
                Some(Sabotage::PredecessorsForgotten) => forget_predecessors(&mut txn.writes),
                Some(Sabotage::EndsIgnoreCancellations) => {
                    txn.conditions
                        .retain(|c| !c.key.starts_with("s/x/") || !writes_end(&txn.writes));
                }
                Some(Sabotage::RoundsNotWritten) => pretend = txn.writes.iter().any(page),
                Some(Sabotage::LostNotCarriedOut) => pretend = lost,
                Some(Sabotage::NoFencing) => {
                    txn.conditions
                        .retain(|c| !c.key.starts_with("s/p/") && !c.key.starts_with("l/"));
                }
                _ => {}
            }
        }
        let reply = self.carry_out_state(node, &request, pretend);
        if self.plan.sabotage == Some(Sabotage::EndsNotWritten) {
            self.state.lose("f/");
            self.state.lose("s/e/");
        }
        // Now and then the answer is lost, although the request was executed.
        if lost && !pretend {
            self.note_lost_answer(node, &reply);
        } else if !self.rng.random_bool(0.003) {
            self.state_answer(node, life, call, reply);
        }
        self.answer_watches();
    }

    /// Executes a request and notes which partitions it moves.
    fn carry_out_state(
        &mut self,
        node: usize,
        request: &StateRequest,
        pretend: bool,
    ) -> StateReply {
        let records = holders_written(request);
        let before: Vec<Option<String>> = records
            .iter()
            .map(|(p, _)| self.holder(*p).map(str::to_owned))
            .collect();
        let reply = if pretend {
            StateReply::Committed { revision: 0 }
        } else if self.is_read_late(request) {
            self.older.execute(self.now, request)
        } else {
            self.state.execute(self.now, request)
        };
        if let StateReply::Committed { .. } = reply {
            for ((partition, term), before) in records.into_iter().zip(before) {
                let living = self.living_of(partition);
                self.next_holder_begins(&living, partition);
                self.takeovers
                    .taken(partition, before.as_deref(), term, living, self.now);
            }
            if matches!(request, StateRequest::Transaction(_)) {
                self.carried_out[node] += 1;
            }
        }
        reply
    }

    /// Whether a transaction gets no answer and is carried out later, if there are such at present.
    fn is_late(&mut self, node: usize, life: u64, request: &StateRequest) -> bool {
        let StateRequest::Transaction(txn) = request else {
            return false;
        };
        let percent = self.cuts.iter().find_map(|cut| match cut {
            Cut::LateWrites(percent) => Some(*percent),
            _ => None,
        });
        let late = percent.is_some_and(|p| self.rng.random_range(0..100) < p);
        if late {
            let newer_than = self.carried_out[node];
            let what = Happening::LateWrite {
                node,
                life,
                newer_than,
                txn: txn.clone(),
            };
            let after = self.rng.random_range(2_000..12_000);
            self.at(self.now + after, what);
        }
        late
    }

    /// A late transaction is carried out.
    pub(super) fn late_write(
        &mut self,
        node: usize,
        life: u64,
        newer_than: u64,
        mut txn: Transaction,
    ) {
        if self.outage() {
            return;
        }
        if self.plan.sabotage == Some(Sabotage::LateUnconditional) {
            txn.conditions.clear();
        }
        let newer = self.carried_out[node] > newer_than;
        let writes = !txn.writes.is_empty();
        let reply = self.carry_out_state(node, &StateRequest::Transaction(txn), false);
        if writes && matches!(reply, StateReply::Committed { .. }) {
            self.met.late_writes += 1;
            self.met.late_after_newer += u64::from(newer);
            self.met.late_of_the_dead += u64::from(!self.live(node, life));
        } else if writes {
            self.met.late_and_void += 1;
        }
        self.answer_watches();
    }

    /// Whether a read of the ledger gets what was there some seconds before.
    pub(super) fn is_read_late(&mut self, request: &StateRequest) -> bool {
        let ledger =
            matches!(request, StateRequest::List { prefix, .. } if prefix.starts_with("l/"));
        ledger && self.plan.sabotage == Some(Sabotage::OldLedger) && self.rng.random_bool(0.7)
    }

    pub(super) fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for (node, life, call, prefix, after) in watches {
            match self.state.changes(&prefix, after) {
                Some(reply) if !self.refuses(node) => self.state_answer(node, life, call, reply),
                _ => self.watches.push((node, life, call, prefix, after)),
            }
        }
    }
}
