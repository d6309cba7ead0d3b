//! Requests to the state service, with delays, lost replies and injected defects.

use super::events::{Endpoint, Message, ScheduledEvent};
use super::network::ActiveFault;
use super::open_requests::CallKey;
use super::scenario::Mutation;
use super::World;
use controller::Event;
use model::CallId;
use rand::Rng;
use wire::state::{Changes, StateReply, StateRequest, Transaction, Write};

/// A controller's watch that waits for changes.
pub(super) struct Watch {
    pub(super) key: CallKey,
    prefix: String,
    after_revision: u64,
}

/// Partitions whose records a request writes, with the new terms.
fn leadership_changes(request: &StateRequest) -> Vec<(u32, u64)> {
    let StateRequest::Transaction(txn) = request else {
        return Vec::new();
    };
    let record = |write: &Write| match write {
        Write::Put { key, value, .. } => {
            let partition = key.strip_prefix("s/p/")?.parse().ok()?;
            Some((partition, value.get("term")?.as_u64()?))
        }
        Write::Delete { .. } => None,
    };
    txn.writes.iter().filter_map(record).collect()
}

/// Removes the unconfirmed predecessors from records.
fn forget_predecessors(writes: &mut [Write]) {
    for write in writes {
        let Write::Put { key, value, .. } = write else {
            continue;
        };
        if key == "s/t" || key.starts_with("s/p/") {
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

/// Whether terminal states of jobs are written.
fn writes_terminal_states(writes: &[Write]) -> bool {
    writes
        .iter()
        .any(|write| matches!(write, Write::Put { key, .. } if key.starts_with("s/e/")))
}

impl World {
    pub(super) fn send_state_reply(
        &mut self,
        controller: usize,
        incarnation: u64,
        call: CallId,
        reply: StateReply,
    ) {
        self.record_changes_read(controller, &reply);
        let event = Event::State { call, reply };
        let message = Message::ControllerEvent {
            controller,
            incarnation,
            event,
        };
        self.send(Endpoint::State, Endpoint::Controller(controller), message);
    }

    pub(super) fn handle_state_request(
        &mut self,
        controller: usize,
        incarnation: u64,
        call: CallId,
        mut request: StateRequest,
    ) {
        self.state_requests += 1;
        if self.refuses_state_requests(controller) {
            self.send_state_reply(
                controller,
                incarnation,
                call,
                StateReply::Refused { throttled: false },
            );
            return;
        }
        if let StateRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = &request
        {
            if *wait_ms == 0 && self.plan.mutation == Some(Mutation::StaleLinearizableReads) {
                let nothing = Changes {
                    revision: *after,
                    events: Vec::new(),
                };
                self.send_state_reply(controller, incarnation, call, StateReply::Changes(nothing));
                return;
            }
            match self.state.changes(prefix, *after) {
                Some(reply) => self.send_state_reply(controller, incarnation, call, reply),
                None => {
                    self.watches.push(Watch {
                        key: CallKey {
                            controller,
                            incarnation,
                            call,
                        },
                        prefix: prefix.clone(),
                        after_revision: *after,
                    });
                    let what = ScheduledEvent::WatchTimeout {
                        controller,
                        incarnation,
                        call,
                    };
                    self.schedule(self.now + wait_ms, what);
                }
            }
            return;
        }
        if self.delays_transaction(controller, incarnation, &request) {
            return;
        }
        let lost = self.draw_lost_reply(&request);
        let mut pretend = false;
        if let StateRequest::Transaction(txn) = &mut request {
            let page = |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with("l/"));
            match self.plan.mutation {
                Some(Mutation::PredecessorsNotRecorded) => forget_predecessors(&mut txn.writes),
                Some(Mutation::TerminalStatesIgnoreCancellations) => {
                    txn.conditions.retain(|c| {
                        !c.key.starts_with("s/x/") || !writes_terminal_states(&txn.writes)
                    });
                }
                Some(Mutation::LogCommitsNotWritten) => pretend = txn.writes.iter().any(page),
                Some(Mutation::LostRepliesNotApplied) => pretend = lost,
                Some(Mutation::NoFencing) => {
                    txn.conditions
                        .retain(|c| !c.key.starts_with("s/p/") && !c.key.starts_with("l/"));
                }
                _ => {}
            }
        }
        let reply = self.apply_state_request(controller, &request, pretend);
        if self.plan.mutation == Some(Mutation::TerminalStatesNotWritten) {
            self.state.empty_values("f/");
            self.state.empty_values("s/e/");
        }
        // A small share of the replies is lost although the request was applied.
        if lost && !pretend {
            self.record_lost_reply(controller, &reply);
        } else if !self.rng.random_bool(0.003) {
            self.send_state_reply(controller, incarnation, call, reply);
        }
        self.answer_watches();
    }

    /// Applies a request and records which partitions change their leader.
    fn apply_state_request(
        &mut self,
        controller: usize,
        request: &StateRequest,
        pretend: bool,
    ) -> StateReply {
        let records = leadership_changes(request);
        let before: Vec<Option<String>> = records
            .iter()
            .map(|(p, _)| self.leader(*p).map(str::to_owned))
            .collect();
        let reply = if pretend {
            StateReply::Committed { revision: 0 }
        } else if self.reads_stale_log(request) {
            self.stale_state.execute(self.now, request)
        } else {
            self.state.execute(self.now, request)
        };
        if let StateReply::Committed { .. } = reply {
            for ((partition, term), before) in records.into_iter().zip(before) {
                let living = self.machines_up_of(partition);
                self.schedule_heartbeats_for_new_leader(&living, partition);
                self.failovers.record_acquisition(
                    partition,
                    before.as_deref(),
                    term,
                    living,
                    self.now,
                );
            }
            if matches!(request, StateRequest::Transaction(_)) {
                self.transactions_applied[controller] += 1;
            }
        }
        reply
    }

    /// Whether a transaction is delayed without a reply. Nothing is drawn where no such fault is active.
    fn delays_transaction(
        &mut self,
        controller: usize,
        incarnation: u64,
        request: &StateRequest,
    ) -> bool {
        let StateRequest::Transaction(txn) = request else {
            return false;
        };
        let percent = self.network.find_active(|fault| match fault {
            ActiveFault::DelayedTransactions(percent) => Some(*percent),
            _ => None,
        });
        let late = percent.is_some_and(|p| self.rng.random_range(0..100) < p);
        if late {
            let newer_than = self.transactions_applied[controller];
            let what = ScheduledEvent::ApplyDelayedTransaction {
                controller,
                incarnation,
                applied_when_sent: newer_than,
                txn: txn.clone(),
            };
            let after = self.rng.random_range(2_000..12_000);
            self.schedule(self.now + after, what);
        }
        late
    }

    /// Applies a delayed transaction.
    pub(super) fn apply_delayed_transaction(
        &mut self,
        controller: usize,
        incarnation: u64,
        newer_than: u64,
        mut txn: Transaction,
    ) {
        if self.is_state_service_down() {
            return;
        }
        if self.plan.mutation == Some(Mutation::DelayedWritesUnconditional) {
            txn.conditions.clear();
        }
        let newer = self.transactions_applied[controller] > newer_than;
        let writes = !txn.writes.is_empty();
        let reply = self.apply_state_request(controller, &StateRequest::Transaction(txn), false);
        if writes && matches!(reply, StateReply::Committed { .. }) {
            self.coverage.delayed_writes += 1;
            self.coverage.delayed_writes_after_newer += u64::from(newer);
            self.coverage.delayed_writes_of_crashed +=
                u64::from(!self.is_running(controller, incarnation));
        } else if writes {
            self.coverage.delayed_writes_rejected += 1;
        }
        self.answer_watches();
    }

    /// Whether a read of the placement log returns a state of some seconds ago.
    pub(super) fn reads_stale_log(&mut self, request: &StateRequest) -> bool {
        let placement_log =
            matches!(request, StateRequest::List { prefix, .. } if prefix.starts_with("l/"));
        placement_log
            && self.plan.mutation == Some(Mutation::StalePlacementLog)
            && self.rng.random_bool(0.7)
    }

    /// A watch times out without changes. During a refusal it stays without a reply.
    pub(super) fn time_out_watch(&mut self, key: CallKey) {
        let Some(index) = self.watches.iter().position(|watch| watch.key == key) else {
            return;
        };
        if self.refuses_state_requests(key.controller) {
            return;
        }
        self.watches.remove(index);
        let reply = self.state.no_changes();
        self.send_state_reply(key.controller, key.incarnation, key.call, reply);
    }

    pub(super) fn answer_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        for watch in watches {
            let CallKey {
                controller,
                incarnation,
                call,
            } = watch.key;
            match self.state.changes(&watch.prefix, watch.after_revision) {
                Some(reply) if !self.refuses_state_requests(controller) => {
                    self.send_state_reply(controller, incarnation, call, reply)
                }
                _ => self.watches.push(watch),
            }
        }
    }
}
