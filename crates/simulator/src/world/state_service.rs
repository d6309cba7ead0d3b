//! Handling of requests to the state service, with delays, lost replies and injected defects.

use super::active_fault::ActiveFault;
use super::events::{Endpoint, Message, ScheduledEvent};
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
    /// Prefix of the watched keys.
    prefix: String,
    /// The watch waits for changes after this revision.
    after_revision: u64,
}

/// The partitions whose records a request writes, with their terms.
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

/// Applies [`Mutation::PredecessorsNotRecorded`]: removes last leaders and unconfirmed predecessors from the
/// token counter's record and from partition records.
fn forget_predecessors(writes: &mut [Write]) {
    for write in writes {
        let Write::Put { key, value, .. } = write else {
            continue;
        };
        if key == "s/t" || key.starts_with("s/p/") {
            for field in ["takers", "suspects"] {
                match value.get_mut(field) {
                    Some(serde_json::Value::Object(object)) => object.clear(),
                    Some(serde_json::Value::Array(array)) => array.clear(),
                    _ => {}
                }
            }
        }
    }
}

/// Whether one of the writes records terminal states of jobs.
fn writes_terminal_states(writes: &[Write]) -> bool {
    writes
        .iter()
        .any(|write| matches!(write, Write::Put { key, .. } if key.starts_with("s/e/")))
}

impl World {
    /// Sends a reply to a controller.
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

    /// Handles a request that has reached the state service: refuses, delays or applies it, and sends the reply
    /// unless it is lost.
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
        if self.state.throttle_request(self.now) {
            let refusal = StateReply::Refused { throttled: true };
            self.send_state_reply(controller, incarnation, call, refusal);
            return;
        }
        if let StateRequest::Watch {
            prefix,
            after,
            wait_ms,
        } = &request
        {
            if *wait_ms == 0 && self.plan.mutation == Some(Mutation::StaleLinearizableReads) {
                let no_changes = Changes {
                    revision: *after,
                    events: Vec::new(),
                };
                self.send_state_reply(
                    controller,
                    incarnation,
                    call,
                    StateReply::Changes(no_changes),
                );
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
                    let timeout = ScheduledEvent::WatchTimeout {
                        controller,
                        incarnation,
                        call,
                    };
                    self.schedule(self.now + wait_ms, timeout);
                }
            }
            return;
        }
        if self.delays_transaction(controller, incarnation, &request) {
            return;
        }
        let is_reply_lost = self.draw_lost_reply(&request);
        let mut only_pretend = false;
        if let StateRequest::Transaction(txn) = &mut request {
            let is_log_page =
                |w: &Write| matches!(w, Write::Put { key, .. } if key.starts_with("l/"));
            match self.plan.mutation {
                Some(Mutation::PredecessorsNotRecorded) => forget_predecessors(&mut txn.writes),
                Some(Mutation::TerminalStatesIgnoreCancellations) => {
                    txn.conditions.retain(|c| {
                        !c.key.starts_with("s/x/") || !writes_terminal_states(&txn.writes)
                    });
                }
                Some(Mutation::LogCommitsNotWritten) => {
                    only_pretend = txn.writes.iter().any(is_log_page)
                }
                Some(Mutation::LostRepliesNotApplied) => only_pretend = is_reply_lost,
                Some(Mutation::NoFencing) => {
                    txn.conditions
                        .retain(|c| !c.key.starts_with("s/p/") && !c.key.starts_with("l/"));
                }
                _ => {}
            }
        }
        let reply = self.apply_state_request(controller, &request, only_pretend);
        if self.plan.mutation == Some(Mutation::TerminalStatesNotWritten) {
            self.state.empty_values("f/");
            self.state.empty_values("s/e/");
        }
        // Without a fault, 0.3 % of the replies are lost although the requests were applied.
        if is_reply_lost && !only_pretend {
            self.record_lost_reply(controller, &reply);
        } else if !self.rng.random_bool(0.003) {
            self.send_state_reply(controller, incarnation, call, reply);
        }
        self.answer_watches();
    }

    /// Applies a request and records writes of partition records. With `only_pretend`, a commit is reported but
    /// nothing is applied.
    fn apply_state_request(
        &mut self,
        controller: usize,
        request: &StateRequest,
        only_pretend: bool,
    ) -> StateReply {
        let written_records = leadership_changes(request);
        let previous_leaders: Vec<Option<String>> = written_records
            .iter()
            .map(|(partition, _)| self.leader(*partition).map(str::to_owned))
            .collect();
        let reply = if only_pretend {
            StateReply::Committed { revision: 0 }
        } else if self.reads_stale_log(request) {
            self.stale_state.execute(self.now, request)
        } else {
            self.state.execute(self.now, request)
        };
        if let StateReply::Committed { .. } = reply {
            for ((partition, term), previous_leader) in
                written_records.into_iter().zip(previous_leaders)
            {
                let machines_up = self.machines_up_of(partition);
                self.schedule_heartbeats_for_new_leader(&machines_up, partition);
                self.schedule_old_heartbeats_for_new_leader(partition);
                self.failovers.record_acquisition(
                    partition,
                    previous_leader.as_deref(),
                    term,
                    machines_up,
                    self.now,
                );
            }
            self.schedule_old_heartbeats_for_new_owners(request);
            if matches!(request, StateRequest::Transaction(_)) {
                self.transactions_applied[controller] += 1;
            }
        }
        reply
    }

    /// Draws whether a request is a transaction that is delayed, and schedules it if so. Draws nothing if no such
    /// fault is active.
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
        let is_delayed = percent.is_some_and(|percent| self.rng.random_range(0..100) < percent);
        if is_delayed {
            let applied_when_sent = self.transactions_applied[controller];
            let delayed = ScheduledEvent::ApplyDelayedTransaction {
                controller,
                incarnation,
                applied_when_sent,
                txn: txn.clone(),
            };
            let delay_ms = self.rng.random_range(2_000..12_000);
            self.schedule(self.now + delay_ms, delayed);
        }
        is_delayed
    }

    /// Applies a delayed transaction, unless the state service is down. Nobody gets a reply.
    pub(super) fn apply_delayed_transaction(
        &mut self,
        controller: usize,
        incarnation: u64,
        applied_when_sent: u64,
        mut txn: Transaction,
    ) {
        if self.is_state_service_down() {
            return;
        }
        if self.plan.mutation == Some(Mutation::DelayedWritesUnconditional) {
            txn.conditions.clear();
        }
        let has_newer = self.transactions_applied[controller] > applied_when_sent;
        let has_writes = !txn.writes.is_empty();
        let reply = self.apply_state_request(controller, &StateRequest::Transaction(txn), false);
        if has_writes && matches!(reply, StateReply::Committed { .. }) {
            self.coverage.delayed_writes += 1;
            self.coverage.delayed_writes_after_newer += u64::from(has_newer);
            self.coverage.delayed_writes_of_crashed +=
                u64::from(!self.is_running(controller, incarnation));
        } else if has_writes {
            self.coverage.delayed_writes_rejected += 1;
        }
        self.answer_watches();
    }

    /// Applies [`Mutation::StalePlacementLog`]: whether a read of the placement log is answered from the snapshot of
    /// some seconds ago.
    pub(super) fn reads_stale_log(&mut self, request: &StateRequest) -> bool {
        let is_log_read =
            matches!(request, StateRequest::List { prefix, .. } if prefix.starts_with("l/"));
        is_log_read
            && self.plan.mutation == Some(Mutation::StalePlacementLog)
            && self.rng.random_bool(0.7)
    }

    /// Ends a watch that has seen no change by an empty reply. While the state service refuses requests, the watch
    /// stays open without a reply.
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

    /// Replies to all watches that have changes to report.
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
