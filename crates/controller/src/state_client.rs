//! Outgoing calls to the state service: queues by priority, delayed retries and the request budgets.
//!
//! The client does no I/O. Calls are queued with [`StateClient::enqueue`] or
//! [`StateClient::retry_after`]; [`StateClient::dispatch`] returns those that may be sent now, in
//! the order in which they must be sent. Calls of the same priority keep their order, except that a
//! write that has to wait does not hold up the reads behind it.

use crate::request_budget::{CallPriority, TokenBucket};
use model::settings::StateLimits;
use model::{CallId, Timestamp};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use wire::state::StateRequest;

/// Timeout of a call, not counting the time for which a watch asks the service to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Exclusive upper bound of the random delay that is added to a retry.
const MAX_RETRY_JITTER_MS: u64 = 40;
/// Time between attempts to send calls that the budgets do not allow yet.
const BUDGET_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Fraction of the service's writes per second that one controller may send in a burst.
const WRITE_BURST_FRACTION: f64 = 0.6;

/// A call with the request that it sends.
#[derive(Debug, Clone)]
pub struct QueuedCall {
    pub call: CallId,
    pub request: StateRequest,
}

impl QueuedCall {
    /// Number of writes that the request takes from the budget.
    fn write_cost(&self) -> usize {
        match &self.request {
            StateRequest::Transaction(transaction) => transaction.writes.len(),
            _ => 0,
        }
    }

    fn is_transaction(&self) -> bool {
        matches!(self.request, StateRequest::Transaction(_))
    }

    /// Time after which the call counts as unanswered.
    fn timeout(&self) -> Duration {
        match &self.request {
            StateRequest::Watch { wait_ms, .. } => CALL_TIMEOUT + Duration::from_millis(*wait_ms),
            _ => CALL_TIMEOUT,
        }
    }
}

/// A call that is to be queued when it is due.
#[derive(Debug)]
struct DelayedCall {
    due_at: Timestamp,
    priority: CallPriority,
    queued: QueuedCall,
}

/// A call to be sent now.
#[derive(Debug, Clone)]
pub struct DispatchedCall {
    pub call: CallId,
    pub request: StateRequest,
    pub timeout: Duration,
    /// Number of writes that the call took from the budget.
    pub write_cost: usize,
}

/// One of the two budgets of calls. Each follows a limit that the state service enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Budget {
    Requests,
    Writes,
}

/// Queues and budgets of the calls to the state service.
#[derive(Debug)]
pub struct StateClient {
    request_budget: TokenBucket,
    write_budget: TokenBucket,
    queues: BTreeMap<CallPriority, VecDeque<QueuedCall>>,
    retries: Vec<DelayedCall>,
    /// Sending times of the calls that are not answered yet.
    sent_at: HashMap<CallId, Timestamp>,
}

impl StateClient {
    /// Creates the client of one controller for a service with these limits, which `controller_count`
    /// controllers share evenly. The others are often idle, so each client may exceed its even share for a
    /// while; a response with status 429 tells it that this was too much.
    pub fn new(limits: &StateLimits, controller_count: usize) -> Self {
        let controller_count = controller_count.max(1) as f64;
        let requests_per_s = limits.requests_per_s / controller_count;
        let writes_per_s = limits.writes_per_s / controller_count;
        let write_burst = limits.writes_per_s * WRITE_BURST_FRACTION;
        StateClient {
            request_budget: TokenBucket::shared(requests_per_s, requests_per_s),
            write_budget: TokenBucket::shared(writes_per_s, write_burst),
            queues: BTreeMap::new(),
            retries: Vec::new(),
            sent_at: HashMap::new(),
        }
    }

    /// Queues a call behind the others of its priority.
    pub fn enqueue(&mut self, priority: CallPriority, queued: QueuedCall) {
        self.queues.entry(priority).or_default().push_back(queued);
    }

    /// Queues a call ahead of the others of its priority, once `delay` and a random jitter have passed.
    /// Draws from `rng` exactly once.
    pub fn retry_after(
        &mut self,
        now: Timestamp,
        delay: Duration,
        rng: &mut SmallRng,
        priority: CallPriority,
        queued: QueuedCall,
    ) {
        let jitter = Duration::from_millis(rng.random_range(0..MAX_RETRY_JITTER_MS));
        self.retries.push(DelayedCall {
            due_at: now + delay + jitter,
            priority,
            queued,
        });
    }

    /// Whether a transaction with this many writes would be sent immediately. Transactions that batch
    /// pending changes are built only then, so that they carry all changes up to their sending.
    pub fn may_write(&mut self, now: Timestamp, priority: CallPriority, writes: f64) -> bool {
        let transaction_waits = self
            .queues
            .range(..=priority)
            .any(|(_, queue)| queue.iter().any(QueuedCall::is_transaction));
        let reserve = priority.reserves().writes;
        !transaction_waits && self.write_budget.allows(now, writes, reserve)
    }

    /// Takes the calls that the budgets allow out of the queues, those of the highest priority first.
    pub fn dispatch(&mut self, now: Timestamp) -> Vec<DispatchedCall> {
        self.queue_due_retries(now);
        let mut dispatched = Vec::new();
        for (priority, queue) in &mut self.queues {
            let reserves = priority.reserves();
            let mut still_queued = VecDeque::new();
            let mut write_waits = false;
            for queued in queue.drain(..) {
                let write_cost = queued.write_cost();
                let writes = write_cost as f64;
                let allowed = self.request_budget.allows(now, 1.0, reserves.requests)
                    && (write_cost == 0
                        || !write_waits && self.write_budget.take(now, writes, reserves.writes));
                if !allowed {
                    write_waits |= write_cost > 0;
                    still_queued.push_back(queued);
                    continue;
                }
                self.request_budget.take(now, 1.0, reserves.requests);
                self.sent_at.insert(queued.call, now);
                dispatched.push(DispatchedCall {
                    call: queued.call,
                    timeout: queued.timeout(),
                    request: queued.request,
                    write_cost,
                });
            }
            *queue = still_queued;
        }
        dispatched
    }

    fn queue_due_retries(&mut self, now: Timestamp) {
        for due in self.retries.extract_if(.., |retry| retry.due_at <= now) {
            self.queues
                .entry(due.priority)
                .or_default()
                .push_front(due.queued);
        }
    }

    /// Forgets an answered call and returns when it was sent.
    pub fn complete(&mut self, call: CallId) -> Option<Timestamp> {
        self.sent_at.remove(&call)
    }

    /// Lowers the rate of a budget after the service refused a call because the budget was exhausted.
    pub fn handle_throttled(&mut self, now: Timestamp, budget: Budget) {
        match budget {
            Budget::Requests => self.request_budget.throttle(now),
            Budget::Writes => self.write_budget.throttle(now),
        }
    }

    /// When [`StateClient::dispatch`] is to be called next at the latest; `None` if no call waits.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        let retry_at = self.retries.iter().map(|retry| retry.due_at).min();
        let any_queued = self.queues.values().any(|queue| !queue.is_empty());
        let poll_at = any_queued.then(|| now + BUDGET_POLL_INTERVAL);
        retry_at.into_iter().chain(poll_at).min()
    }
}
