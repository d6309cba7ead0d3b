//! Replies of a controller whose state cache lags behind the writes of another controller.

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

/// A controller and its state service. Watches that wait are answered only by [`Harness::deliver_watch`];
/// reads that do not wait are answered at once.
struct Harness {
    controller: Controller,
    state: StateService,
    now: u64,
    events: VecDeque<Event>,
    watch: Option<(CallId, u64)>,
    /// The next comparison of terminal states is kept here instead of being answered.
    hold_comparison: bool,
    held_comparison: Option<(CallId, StateReply)>,
    answers: Vec<UserReply>,
}

impl Harness {
    fn new() -> Self {
        let settings = Settings::parse(SETTINGS).expect("the settings are valid");
        let mut harness = Harness {
            controller: Controller::new(settings, 1 << 20),
            state: StateService::new(1e9),
            now: 10,
            events: VecDeque::new(),
            watch: None,
            hold_comparison: false,
            held_comparison: None,
            answers: Vec::new(),
        };
        for _ in 0..100 {
            harness.tick(50);
            harness.deliver_watch();
        }
        harness
    }

    fn tick(&mut self, ms: u64) {
        self.now += ms;
        self.feed(Event::Tick);
    }

    /// Answers the watch that waits with all that has changed.
    fn deliver_watch(&mut self) {
        let Some((call, after)) = self.watch.take() else {
            return;
        };
        let reply = self
            .state
            .changes("s/", after)
            .unwrap_or_else(|| self.state.no_changes());
        self.feed(Event::State { call, reply });
    }

    fn ask(&mut self, request: UserRequest) {
        self.feed(Event::User { ticket: 1, request });
    }

    /// A write by the other controller.
    fn other_writes(&mut self, key: String, record: &impl Serialize) {
        let value = serde_json::to_value(record).expect("records are JSON");
        let txn = Transaction::default().write(Write::put(key, value));
        let reply = self
            .state
            .execute(self.now, &StateRequest::Transaction(txn));
        assert!(matches!(reply, StateReply::Committed { .. }), "{reply:?}");
    }

    fn other_accepts(&mut self, job: &JobRequest) {
        let packed = serde_json::to_value(PackedJob::new(1, job.clone())).expect("a job is JSON");
        let page = AcceptedJobsPage { jobs: vec![packed] };
        self.other_writes(accepted_jobs_key(&ControllerName::from("n1"), 0), &page);
    }

    fn other_cancels(&mut self, id: JobId) {
        self.other_writes(
            cancellations_key(&ControllerName::from("n1")),
            &CancellationsRecord { jobs: vec![id.0] },
        );
    }

    fn feed(&mut self, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            for effect in self
                .controller
                .handle(Timestamp::from_millis(self.now), event)
            {
                self.carry_out(effect);
            }
        }
    }

    fn carry_out(&mut self, effect: Effect) {
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
            Effect::User { reply, .. } => self.answers.push(reply),
            _ => {}
        }
    }

    fn call_state(&mut self, call: CallId, request: StateRequest) {
        let reply = match &request {
            StateRequest::Watch { after, wait_ms, .. } if *wait_ms > 0 => {
                self.watch = Some((call, *after));
                return;
            }
            StateRequest::Watch { after, .. } => self
                .state
                .changes("s/", *after)
                .unwrap_or_else(|| self.state.no_changes()),
            other => self.state.execute(self.now, other),
        };
        let comparison =
            matches!(&request, StateRequest::Transaction(txn) if txn.writes.is_empty());
        if comparison && std::mem::take(&mut self.hold_comparison) {
            self.held_comparison = Some((call, reply));
            return;
        }
        self.events.push_back(Event::State { call, reply });
    }

    /// The states that users were told, in order; refusals are left out.
    fn told(&self) -> Vec<(bool, JobState)> {
        let told = |reply: &UserReply| match reply {
            UserReply::Created(status) => Some((true, status.state)),
            UserReply::Status(status) => Some((false, status.state)),
            _ => None,
        };
        self.answers.iter().filter_map(told).collect()
    }
}

fn array() -> (JobId, JobRequest) {
    let mut request = job(12, JobKind::Array, 1);
    request.team = "t0".into();
    (JobId::parse(&request.id).expect("an id"), request)
}

fn submit(job: &JobRequest) -> UserRequest {
    UserRequest::Submit(Box::new(job.clone()))
}

#[test]
fn accepted_job_is_created_as_soon_as_cache_shows_write() {
    let mut harness = Harness::new();
    let (_, job) = array();
    harness.ask(submit(&job));
    assert!(harness.told().is_empty(), "{:?}", harness.answers);
    harness.deliver_watch();
    assert_eq!(harness.told(), [(true, JobState::Queued)]);
}

#[test]
fn accepted_job_is_created_by_read_when_watch_lags() {
    let mut harness = Harness::new();
    let (_, job) = array();
    harness.ask(submit(&job));
    for _ in 0..10 {
        harness.tick(50);
    }
    assert_eq!(harness.told(), [(true, JobState::Queued)]);
}

#[test]
fn resubmission_after_cancellation_elsewhere_is_answered_cancelled() {
    for watch_delivered in [true, false] {
        let mut harness = Harness::new();
        let (id, job) = array();
        harness.other_accepts(&job);
        harness.other_cancels(id);
        harness.ask(submit(&job));
        assert!(harness
            .state
            .value(&accepted_jobs_key(&ControllerName::from("n0"), 0))
            .is_some());
        if watch_delivered {
            harness.deliver_watch();
        }
        for _ in 0..10 {
            harness.tick(50);
        }
        assert_eq!(harness.told(), [(false, JobState::Cancelled)]);
    }
}

#[test]
fn resubmission_after_completion_elsewhere_is_answered_done() {
    let mut harness = Harness::new();
    let (id, job) = array();
    harness.other_accepts(&job);
    let page = TerminalJobsPage {
        done: vec![id.0],
        ..TerminalJobsPage::default()
    };
    harness.other_writes(terminal_jobs_key(PartitionId(1), 0), &page);
    harness.ask(submit(&job));
    for _ in 0..10 {
        harness.tick(50);
    }
    assert_eq!(harness.told(), [(false, JobState::Done)]);
}

#[test]
fn resubmission_of_archived_job_is_answered_with_terminal_state() {
    let mut harness = Harness::new();
    let (id, job) = array();
    harness.other_writes(
        terminal_state_key(id),
        &TerminalStateRecord {
            state: JobState::Cancelled,
        },
    );
    harness.ask(submit(&job));
    for _ in 0..10 {
        harness.tick(50);
    }
    assert_eq!(harness.told(), [(false, JobState::Cancelled)]);
}

/// A job that is accepted between the read of open jobs and the comparison of terminal states is no unknown
/// job, and a submission that this controller would reject is no rejected one.
#[test]
fn job_accepted_during_archive_lookup_is_neither_missing_nor_rejected() {
    let (id, job) = array();
    let mut unfit = job.clone();
    unfit.cpus = 1_000.0;
    for request in [
        UserRequest::Get(id),
        UserRequest::Cancel(id),
        submit(&unfit),
    ] {
        let mut harness = Harness::new();
        harness.hold_comparison = true;
        harness.ask(request);
        for _ in 0..10 {
            harness.tick(50);
        }
        let (call, reply) = harness
            .held_comparison
            .take()
            .expect("the comparison was made");
        harness.other_accepts(&job);
        harness.deliver_watch();
        harness.feed(Event::State { call, reply });
        for _ in 0..10 {
            harness.tick(50);
        }
        assert_eq!(harness.told().len(), 1, "{:?}", harness.answers);
    }
}
