//! Raising of the fencing tokens of a partition's machines within one term.

use super::PartitionLeadership;
use crate::controller::call_kind::LeadershipCall;
use crate::controller::machine_records::MachineChange;
use crate::controller::{CallKind, Controller};
use crate::records::{partition_key, TOKEN_COUNTER_KEY};
use crate::request_budget::CallPriority;
use model::{FencingToken, PartitionId, Timestamp};
use std::time::Duration;
use wire::state::{StateReply, StateRequest, Transaction, Write};

/// Minimum time between attempts to raise the token of all machines of a partition.
const TOKEN_RAISE_INTERVAL: Duration = Duration::from_secs(2);

/// The token allocated last for all machines of a partition, and the state of the next allocation.
#[derive(Debug, Default)]
pub(super) struct TokenRaise {
    token: FencingToken,
    state: TokenRaiseState,
}

/// Whether an allocation of a token is pending.
#[derive(Debug)]
enum TokenRaiseState {
    /// None is pending; the next may begin at this time.
    Idle { next_attempt_at: Timestamp },
    /// The transaction's reply is awaited; the next allocation may begin after it, and not before this
    /// time.
    Pending { next_attempt_at: Timestamp },
}

impl Default for TokenRaiseState {
    fn default() -> Self {
        TokenRaiseState::Idle {
            next_attempt_at: Timestamp::default(),
        }
    }
}

impl TokenRaise {
    /// The highest token allocated so far.
    pub(super) fn token(&self) -> FencingToken {
        self.token
    }

    fn is_due(&self, now: Timestamp) -> bool {
        match self.state {
            TokenRaiseState::Idle { next_attempt_at } => now >= next_attempt_at,
            TokenRaiseState::Pending { .. } => false,
        }
    }

    fn begin(&mut self, now: Timestamp) {
        let next_attempt_at = now + TOKEN_RAISE_INTERVAL;
        self.state = TokenRaiseState::Pending { next_attempt_at };
    }

    fn finish(&mut self) {
        if let TokenRaiseState::Pending { next_attempt_at } = self.state {
            self.state = TokenRaiseState::Idle { next_attempt_at };
        }
    }

    fn raise_to(&mut self, token: FencingToken) {
        self.token = self.token.max(token);
    }
}

impl PartitionLeadership {
    /// Whether a worker of the partition has retained exited tasks for so long that it needs a higher
    /// token.
    fn exited_tasks_need_higher_token(&self, now: Timestamp) -> bool {
        self.partition_state().is_some_and(|partition_state| {
            partition_state
                .machines
                .values()
                .any(|machine| machine.exited_tasks_need_higher_token(now))
        })
    }

    fn apply_raised_token(&mut self, token: FencingToken) {
        self.token_raise.raise_to(token);
        let token = self.token();
        let Some(partition_state) = self.partition_state_mut() else {
            return;
        };
        for machine in partition_state.machines.values_mut() {
            machine.token = machine.token.max(token);
        }
    }
}

impl Controller {
    /// Requests a higher token for each machine with a lost direct launch that only a higher token can
    /// void.
    pub(super) fn request_token_raises(&mut self, partition: PartitionId) {
        let Some(partition_state) = self
            .leaderships
            .get(&partition)
            .and_then(PartitionLeadership::partition_state)
        else {
            return;
        };
        for machine in partition_state.machines.values() {
            if machine.lost_launch_needs_higher_token() {
                self.machine_changes
                    .request(&machine.name, MachineChange::RaiseToken);
            }
        }
    }

    /// Allocates a higher token for all machines of a partition if some of them have retained exited
    /// tasks for long: a worker that has seen it executes no copy of an earlier launch, and may forget
    /// those tasks.
    ///
    /// The token counter is written before the token is used, so that every later leader has a still
    /// higher one. The partition's record and its term do not change.
    pub(super) fn raise_partition_token(&mut self, partition: PartitionId) {
        let now = self.now;
        let Some(leadership) = self.leaderships.get_mut(&partition) else {
            return;
        };
        if !leadership.token_raise.is_due(now) || !leadership.exited_tasks_need_higher_token(now) {
            return;
        }
        leadership.token_raise.begin(now);
        let (version, term) = (leadership.version.0, leadership.term.0);
        let token = self.cache.next_token();
        let mut counter = self
            .cache
            .token_counter
            .as_ref()
            .map(|counter| counter.record.clone())
            .unwrap_or_default();
        counter.next = token + 1;
        let value = serde_json::to_value(counter).unwrap_or_default();
        let txn = Transaction::default()
            .if_version(partition_key(partition), version)
            .if_version(TOKEN_COUNTER_KEY, self.cache.token_counter_version())
            .write(Write::put(TOKEN_COUNTER_KEY, value));
        let kind = CallKind::Leadership(LeadershipCall::RaiseToken {
            partition,
            term,
            token,
        });
        self.queue_state_request(
            CallPriority::Placement,
            StateRequest::Transaction(txn),
            kind,
        );
    }

    /// Applies a token once the token counter is written. After any other reply the token stays unused,
    /// and a later attempt allocates another one.
    pub(in crate::controller) fn handle_token_raised(
        &mut self,
        partition: PartitionId,
        term: u64,
        token: u64,
        reply: StateReply,
    ) {
        let Some(leadership) = self.leadership_in_term(partition, term) else {
            return;
        };
        leadership.token_raise.finish();
        if let StateReply::Committed { .. } = reply {
            leadership.apply_raised_token(FencingToken(token));
        }
    }
}
