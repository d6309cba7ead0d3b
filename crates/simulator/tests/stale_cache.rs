//! Replies to users from a controller whose state cache lags behind the writes of another controller. They must not
//! contradict what the other controller has already confirmed.

use controller::records::{
    accepted_jobs_key, cancellations_key, terminal_jobs_key, terminal_state_key, AcceptedJobsPage,
    CancellationsRecord, PackedJob, TerminalJobsPage, TerminalStateRecord,
};
use controller::{Controller, Effect, Event, UserReply, UserRequest};
use model::{CallId, ControllerName, JobId, JobState, PartitionId, Settings, Timestamp};
use serde::Serialize;
use simulator::single_controller::{job, machine_type};
use simulator::state::StateService;
use std::collections::VecDeque;
use wire::cloud::{CloudReply, CloudRequest, MachineTypes};
use wire::state::{StateReply, StateRequest, Transaction, Write};
use wire::users::{JobKind, JobRequest};

const SETTINGS: &str = r#"
member = "n0"
zone = "a"
serve_on = "10.0.0.1:80"
mesh_addr = "10.0.0.1:81"
[[peers]]
member = "n1"
zone = "b"
endpoint = "10.0.0.2:81"
[endpoints]
cloud = "10.1.0.1:1"
state = "10.1.0.2:1"
[[settings.teams]]
name = "t0"
cpus = 8.0
cpus_max = 16.0
[settings.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = 40.0
[settings.state]
rps = 200.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 8
[settings.cloud]
rps = 10.0
list_lag_s = 8.0
"#;

/// A controller and its state service. A watch that waits for changes is answered only by
/// [`Harness::answer_watch`]; reads that do not wait are answered at once.
struct Harness {
    controller: Controller,
    state: StateService,
    now_ms: u64,
    events: VecDeque<Event>,
    /// The watch that waits for changes, with the revision after which it reads.
    pending_watch: Option<(CallId, u64)>,
    /// Whether the reply to the next check of terminal states is held back in `held_terminal_states_check`.
    hold_next_terminal_states_check: bool,
    held_terminal_states_check: Option<(CallId, StateReply)>,
    replies: Vec<UserReply>,
}

impl Harness {
    fn new() -> Self {
        let settings = Settings::parse(SETTINGS).expect("the settings are valid");
        let mut harness = Harness {
            controller: Controller::new(settings, 1 << 20),
            state: StateService::new(1e9),
            now_ms: 10,
            events: VecDeque::new(),
            pending_watch: None,
            hold_next_terminal_states_check: false,
            held_terminal_states_check: None,
            replies: Vec::new(),
        };
        for _ in 0..100 {
            harness.advance(50);
            harness.answer_watch();
        }
        harness
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        self.handle_event(Event::Tick);
    }

    /// Answers the pending watch with all changes so far.
    fn answer_watch(&mut self) {
        let Some((call, after)) = self.pending_watch.take() else {
            return;
        };
        let reply = self
            .state
            .changes("s/", after)
            .unwrap_or_else(|| self.state.no_changes());
        self.handle_event(Event::State { call, reply });
    }

    fn send_user_request(&mut self, request: UserRequest) {
        self.handle_event(Event::User { ticket: 1, request });
    }

    /// Writes a record as the other controller would.
    fn write_as_other_controller(&mut self, key: String, record: &impl Serialize) {
        let value = serde_json::to_value(record).expect("records are JSON");
        let txn = Transaction::default().write(Write::put(key, value));
        let reply = self
            .state
            .execute(self.now_ms, &StateRequest::Transaction(txn));
        assert!(matches!(reply, StateReply::Committed { .. }), "{reply:?}");
    }

    fn accept_through_other_controller(&mut self, job: &JobRequest) {
        let packed = serde_json::to_value(PackedJob::new(1, job.clone())).expect("a job is JSON");
        let page = AcceptedJobsPage { jobs: vec![packed] };
        self.write_as_other_controller(accepted_jobs_key(&ControllerName::from("n1"), 0), &page);
    }

    fn cancel_through_other_controller(&mut self, id: JobId) {
        self.write_as_other_controller(
            cancellations_key(&ControllerName::from("n1")),
            &CancellationsRecord { jobs: vec![id.0] },
        );
    }

    fn handle_event(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            for effect in self
                .controller
                .handle(Timestamp::from_millis(self.now_ms), event)
            {
                self.apply_effect(effect);
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::State { call, request, .. } => self.call_state(call, request),
            Effect::Cloud { call, request } => {
                let reply = match request {
                    CloudRequest::MachineTypes => CloudReply::MachineTypes(MachineTypes {
                        types: vec![machine_type()],
                    }),
                    _ => CloudReply::NoCapacity,
                };
                self.events.push_back(Event::Cloud { call, reply });
            }
            Effect::User { reply, .. } => self.replies.push(reply),
            _ => {}
        }
    }

    fn call_state(&mut self, call: CallId, request: StateRequest) {
        let reply = match &request {
            StateRequest::Watch { after, wait_ms, .. } if *wait_ms > 0 => {
                self.pending_watch = Some((call, *after));
                return;
            }
            StateRequest::Watch { after, .. } => self
                .state
                .changes("s/", *after)
                .unwrap_or_else(|| self.state.no_changes()),
            other => self.state.execute(self.now_ms, other),
        };
        let is_check = matches!(&request, StateRequest::Transaction(txn) if txn.writes.is_empty());
        if is_check && std::mem::take(&mut self.hold_next_terminal_states_check) {
            self.held_terminal_states_check = Some((call, reply));
            return;
        }
        self.events.push_back(Event::State { call, reply });
    }

    /// The job states in replies to users, in order, and whether the reply was `Created`. Rejections are left out.
    fn reported_states(&self) -> Vec<(bool, JobState)> {
        let state = |reply: &UserReply| match reply {
            UserReply::Created(status) => Some((true, status.state)),
            UserReply::Status(status) => Some((false, status.state)),
            _ => None,
        };
        self.replies.iter().filter_map(state).collect()
    }
}

fn array_job() -> (JobId, JobRequest) {
    let mut request = job(12, JobKind::Array, 1);
    request.team = "t0".into();
    (JobId::parse(&request.id).expect("an id"), request)
}

fn submit(job: &JobRequest) -> UserRequest {
    UserRequest::Submit(Box::new(job.clone()))
}

#[test]
fn submission_is_answered_created_as_soon_as_watch_shows_its_write() {
    let mut harness = Harness::new();
    let (_, job) = array_job();
    harness.send_user_request(submit(&job));
    assert!(
        harness.reported_states().is_empty(),
        "{:?}",
        harness.replies
    );
    harness.answer_watch();
    assert_eq!(harness.reported_states(), [(true, JobState::Queued)]);
}

#[test]
fn submission_is_answered_created_after_read_when_watch_lags() {
    let mut harness = Harness::new();
    let (_, job) = array_job();
    harness.send_user_request(submit(&job));
    for _ in 0..10 {
        harness.advance(50);
    }
    assert_eq!(harness.reported_states(), [(true, JobState::Queued)]);
}

#[test]
fn resubmission_after_cancellation_elsewhere_is_answered_cancelled() {
    for watch_answered in [true, false] {
        let mut harness = Harness::new();
        let (id, job) = array_job();
        harness.accept_through_other_controller(&job);
        harness.cancel_through_other_controller(id);
        harness.send_user_request(submit(&job));
        assert!(harness
            .state
            .value(&accepted_jobs_key(&ControllerName::from("n0"), 0))
            .is_some());
        if watch_answered {
            harness.answer_watch();
        }
        for _ in 0..10 {
            harness.advance(50);
        }
        assert_eq!(harness.reported_states(), [(false, JobState::Cancelled)]);
    }
}

#[test]
fn resubmission_after_completion_elsewhere_is_answered_done() {
    let mut harness = Harness::new();
    let (id, job) = array_job();
    harness.accept_through_other_controller(&job);
    let page = TerminalJobsPage {
        done: vec![id.0],
        ..TerminalJobsPage::default()
    };
    harness.write_as_other_controller(terminal_jobs_key(PartitionId(1), 0), &page);
    harness.send_user_request(submit(&job));
    for _ in 0..10 {
        harness.advance(50);
    }
    assert_eq!(harness.reported_states(), [(false, JobState::Done)]);
}

#[test]
fn resubmission_of_archived_job_is_answered_with_terminal_state() {
    let mut harness = Harness::new();
    let (id, job) = array_job();
    harness.write_as_other_controller(
        terminal_state_key(id),
        &TerminalStateRecord {
            state: JobState::Cancelled,
        },
    );
    harness.send_user_request(submit(&job));
    for _ in 0..10 {
        harness.advance(50);
    }
    assert_eq!(harness.reported_states(), [(false, JobState::Cancelled)]);
}

/// Another controller accepts a job after this one has read the open jobs and before the reply to its check of
/// terminal states arrives: a status request or cancellation must not be answered as if the job did not exist, and
/// a submission of this job that this controller would reject must not be rejected.
#[test]
fn job_accepted_during_archive_lookup_is_neither_missing_nor_rejected() {
    let (id, job) = array_job();
    let mut infeasible = job.clone();
    infeasible.cpus = 1_000.0;
    for request in [
        UserRequest::Get(id),
        UserRequest::Cancel(id),
        submit(&infeasible),
    ] {
        let mut harness = Harness::new();
        harness.hold_next_terminal_states_check = true;
        harness.send_user_request(request);
        for _ in 0..10 {
            harness.advance(50);
        }
        let (call, reply) = harness
            .held_terminal_states_check
            .take()
            .expect("the terminal states were checked");
        harness.accept_through_other_controller(&job);
        harness.answer_watch();
        harness.handle_event(Event::State { call, reply });
        for _ in 0..10 {
            harness.advance(50);
        }
        assert_eq!(harness.reported_states().len(), 1, "{:?}", harness.replies);
    }
}
