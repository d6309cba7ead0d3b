//! Simulated users: they submit jobs through healthy controllers, poll them, cancel some, and record the replies.

use crate::config::Experiment;
use crate::http::{Client, SharedTrafficTotals};
use crate::observations::{UserEvent, UserEventKind};
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::{class_job_number, job_id, service_job_number, Clock, LoopbackNet};
use bytes::Bytes;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Semaphore;
use wire::users::{JobState, JobStatus};

/// Timeouts of the response to a submission or a cancellation, and to a poll.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay between two attempts (`Retry-After` within these bounds), and for how long a submission is retried.
const MIN_RETRY_DELAY_S: u64 = 1;
const MAX_RETRY_DELAY_S: u64 = 30;
const SUBMISSION_DEADLINE_MS: u64 = 60_000;
/// Time between two polls of a job.
const POLL_INTERVAL_MS: u64 = 5_000;
/// Health checks: their interval, their timeout, and the failures in a row after which a controller is unhealthy.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const UNHEALTHY_AFTER_FAILURES: u32 = 2;
/// Concurrent polls, and attempts for each job, when every accepted job is polled at the end.
const CONCURRENT_FINAL_POLLS: usize = 50;
const MAX_FINAL_POLL_ATTEMPTS: u32 = 4;

/// Runs the users to the end of the experiment, or until `context.stop` resolves.
pub async fn run(context: Context) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        mut stop,
    } = context;
    let end_ms = (experiment.duration_s * 1_000.0) as u64;
    let warmup_ms = (experiment.warmup_s * 1_000.0) as u64;
    let users = Rc::new(Users::new(experiment, net, clock));
    send_message(&RoleMessage::Ready);
    for controller in 0..users.experiment.controllers.count {
        tokio::task::spawn_local(users.clone().probe(controller));
    }
    tokio::task::spawn_local(crate::http::clear_totals_at(
        clock,
        warmup_ms,
        users.traffic_totals.clone(),
    ));
    tokio::task::spawn_local(users.clone().submit_services());
    for class in 0..users.experiment.classes.len() {
        tokio::task::spawn_local(users.clone().submit_class(class));
    }
    let completed = tokio::select! {
        () = clock.sleep_until_ms(end_ms) => true,
        _ = &mut stop => false,
    };
    users.stopping.set(true);
    let traffic = users.traffic_totals.borrow().clone();
    let unanswered = if completed {
        users.clone().poll_all_jobs().await
    } else {
        0
    };
    let figures = [
        ("jobs accepted", users.accepted_jobs.borrow().len() as f64),
        (
            "submissions given up",
            users.abandoned_submissions.get() as f64,
        ),
        (
            "requests without a usable answer",
            users.failed_requests.get() as f64,
        ),
        (
            "accepted jobs without an answer at the end",
            unanswered as f64,
        ),
    ];
    let events = std::mem::take(&mut *users.events.borrow_mut());
    Ok(RoleReport {
        traffic,
        users: events,
        figures: figures.map(|(name, value)| (name.to_owned(), value)).into(),
        ..RoleReport::default()
    })
}

struct Users {
    net: LoopbackNet,
    clock: Clock,
    experiment: Experiment,
    /// Result of the health checks, by controller.
    is_healthy: RefCell<Vec<bool>>,
    /// Idle connections, by controller.
    idle_clients: RefCell<Vec<Vec<Client>>>,
    traffic_totals: SharedTrafficTotals,
    events: RefCell<Vec<UserEvent>>,
    accepted_jobs: RefCell<Vec<u64>>,
    abandoned_submissions: Cell<u64>,
    failed_requests: Cell<u64>,
    stopping: Cell<bool>,
}

impl Users {
    fn new(experiment: Experiment, net: LoopbackNet, clock: Clock) -> Self {
        let count = experiment.controllers.count as usize;
        Users {
            net,
            clock,
            experiment,
            is_healthy: RefCell::new(vec![false; count]),
            idle_clients: RefCell::new((0..count).map(|_| Vec::new()).collect()),
            traffic_totals: SharedTrafficTotals::default(),
            events: RefCell::default(),
            accepted_jobs: RefCell::default(),
            abandoned_submissions: Cell::default(),
            failed_requests: Cell::default(),
            stopping: Cell::default(),
        }
    }

    /// Checks a controller's health repeatedly, as the load balancer does.
    async fn probe(self: Rc<Self>, controller: u32) {
        let mut failures = 0;
        loop {
            let exchange = self.exchange(controller, Method::GET, "/healthz", Vec::new(), "health");
            let response = tokio::time::timeout(PROBE_TIMEOUT, exchange)
                .await
                .ok()
                .flatten();
            failures = if response.is_some_and(|r| r.0 == 200) {
                0
            } else {
                failures + 1
            };
            {
                let is_healthy = &mut self.is_healthy.borrow_mut()[controller as usize];
                *is_healthy = failures == 0 || (*is_healthy && failures < UNHEALTHY_AFTER_FAILURES);
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    fn healthy_controller(&self) -> Option<u32> {
        let is_healthy = self.is_healthy.borrow();
        let healthy_controllers: Vec<u32> = (0..is_healthy.len() as u32)
            .filter(|n| is_healthy[*n as usize])
            .collect();
        if healthy_controllers.is_empty() {
            return None;
        }
        Some(healthy_controllers[rand::rng().random_range(0..healthy_controllers.len())])
    }

    async fn exchange(
        &self,
        controller: u32,
        method: Method,
        path: &str,
        body: Vec<u8>,
        kind: &str,
    ) -> Option<(u16, Option<u64>, Bytes)> {
        let idle_client = self.idle_clients.borrow_mut()[controller as usize].pop();
        let mut client = match idle_client.filter(Client::usable) {
            Some(client) => client,
            None => Client::connect(None, self.net.controller(controller), controller)
                .await
                .ok()?,
        };
        let response = client.exchange(method, path, body).await.ok()?;
        client.count(&self.traffic_totals, kind);
        self.idle_clients.borrow_mut()[controller as usize].push(client);
        Some(response)
    }

    /// Sends a request through a healthy controller; none if there is no response in time.
    async fn request(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        kind: &str,
        timeout: Duration,
    ) -> Option<(u16, Option<u64>, Bytes)> {
        let controller = self.healthy_controller()?;
        let exchange = self.exchange(controller, method, path, body, kind);
        let response = tokio::time::timeout(timeout, exchange).await.ok().flatten();
        let usable = response
            .as_ref()
            .is_some_and(|r| matches!(r.0, 200 | 201 | 400 | 404 | 422));
        if !usable {
            self.failed_requests.set(self.failed_requests.get() + 1);
        }
        response
    }

    fn record_event(&self, job: u64, request_sent_us: u64, kind: UserEventKind) {
        let at_us = self.clock.now_us();
        self.events.borrow_mut().push(UserEvent {
            at_us,
            request_sent_us,
            job,
            kind,
        });
    }

    /// Waits until some controller is healthy.
    async fn wait_for_controllers(&self) {
        while self.healthy_controller().is_none() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    async fn submit_services(self: Rc<Self>) {
        self.wait_for_controllers().await;
        let interval = Duration::from_secs_f64(1.0 / self.experiment.services.per_s);
        for index in 0..self.experiment.service_count() {
            if self.stopping.get() {
                return;
            }
            tokio::task::spawn_local(self.clone().run_job(service_job_number(index), 0.0));
            tokio::time::sleep(interval).await;
        }
    }

    /// Submits the jobs of a class, which arrive as a Poisson process.
    async fn submit_class(self: Rc<Self>, class: usize) {
        self.wait_for_controllers().await;
        let seed = self.experiment.seed.wrapping_add(class as u64 + 1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let (jobs_per_s, cancelled_fraction) = {
            let class = &self.experiment.classes[class];
            (class.jobs_per_s, class.cancelled)
        };
        let mut next_s = self.clock.now_ms() as f64 / 1_000.0;
        for index in 0.. {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            next_s -= uniform.ln() / jobs_per_s;
            self.clock.sleep_until_ms((next_s * 1_000.0) as u64).await;
            if self.stopping.get() {
                return;
            }
            tokio::task::spawn_local(
                self.clone()
                    .run_job(class_job_number(class, index), cancelled_fraction),
            );
        }
    }

    /// Submits a job and polls it until it has terminated; cancels it with the given probability.
    async fn run_job(self: Rc<Self>, number: u64, cancel_probability: f64) {
        if !self.submit(number).await {
            return;
        }
        let cancel_at = rand::rng().random_bool(cancel_probability).then(|| {
            let now = self.clock.now_ms();
            now + rand::rng().random_range(200..3 * POLL_INTERVAL_MS)
        });
        let mut next_poll = self.clock.now_ms() + POLL_INTERVAL_MS;
        loop {
            let wake = cancel_at.map_or(next_poll, |at| at.min(next_poll));
            self.clock.sleep_until_ms(wake).await;
            if self.stopping.get() {
                return;
            }
            if cancel_at.is_some_and(|at| at <= self.clock.now_ms()) {
                self.cancel(number).await;
                return;
            }
            if self.poll(number).await.is_some_and(is_terminal) {
                return;
            }
            next_poll = self.clock.now_ms() + POLL_INTERVAL_MS;
        }
    }

    /// Submits a job repeatedly until it is accepted; false if it is rejected or the attempts end.
    async fn submit(&self, number: u64) -> bool {
        let Some(job) = self.experiment.job_request(number) else {
            return false;
        };
        let body = serde_json::to_vec(&job).unwrap_or_default();
        let started_ms = self.clock.now_ms();
        self.record_event(number, self.clock.now_us(), UserEventKind::Submitted);
        loop {
            let request_sent_us = self.clock.now_us();
            let response = self
                .request(
                    Method::POST,
                    "/v1/jobs",
                    body.clone(),
                    "submit",
                    SUBMIT_TIMEOUT,
                )
                .await;
            match response {
                Some((200 | 201, _, body)) => {
                    self.record_event(number, request_sent_us, UserEventKind::Accepted);
                    self.accepted_jobs.borrow_mut().push(number);
                    self.record_state(number, request_sent_us, &body);
                    return true;
                }
                Some((400 | 422, ..)) => {
                    self.record_event(number, request_sent_us, UserEventKind::Missing);
                    return false;
                }
                response => {
                    if self.clock.now_ms() > started_ms + SUBMISSION_DEADLINE_MS
                        || self.stopping.get()
                    {
                        self.abandoned_submissions
                            .set(self.abandoned_submissions.get() + 1);
                        return false;
                    }
                    wait_before_retry(response.and_then(|r| r.1)).await;
                }
            }
        }
    }

    /// Polls a job once; none if there was no usable response.
    async fn poll(&self, number: u64) -> Option<JobState> {
        let path = format!("/v1/jobs/{}", job_id(number));
        let request_sent_us = self.clock.now_us();
        match self
            .request(Method::GET, &path, Vec::new(), "poll", POLL_TIMEOUT)
            .await?
        {
            (200, _, body) => self.record_state(number, request_sent_us, &body),
            (404, ..) => {
                self.record_event(number, request_sent_us, UserEventKind::Missing);
                None
            }
            _ => None,
        }
    }

    /// Requests the cancellation of a job repeatedly until it is confirmed.
    async fn cancel(&self, number: u64) {
        let path = format!("/v1/jobs/{}/cancel", job_id(number));
        self.record_event(number, self.clock.now_us(), UserEventKind::CancelRequested);
        while !self.stopping.get() {
            let request_sent_us = self.clock.now_us();
            let response = self
                .request(Method::POST, &path, Vec::new(), "cancel", SUBMIT_TIMEOUT)
                .await;
            match response {
                Some((200, _, body)) => {
                    self.record_state(number, request_sent_us, &body);
                    return;
                }
                Some((404, ..)) => {
                    self.record_event(number, request_sent_us, UserEventKind::Missing)
                }
                _ => {}
            }
            wait_before_retry(response.and_then(|r| r.1)).await;
        }
    }

    fn record_state(&self, number: u64, request_sent_us: u64, body: &[u8]) -> Option<JobState> {
        let status: JobStatus = serde_json::from_slice(body).ok()?;
        self.record_event(number, request_sent_us, UserEventKind::Status(status.state));
        Some(status.state)
    }

    /// Polls every accepted job once more; returns how many gave no usable response.
    async fn poll_all_jobs(self: Rc<Self>) -> u64 {
        let permits = Rc::new(Semaphore::new(CONCURRENT_FINAL_POLLS));
        let numbers = self.accepted_jobs.borrow().clone();
        let mut polls = Vec::new();
        for number in numbers {
            let (users, permits) = (self.clone(), permits.clone());
            polls.push(tokio::task::spawn_local(async move {
                let _permit = permits.acquire().await;
                users.poll_until_answered(number).await
            }));
        }
        let mut unanswered = 0;
        for poll in polls {
            unanswered += u64::from(!poll.await.unwrap_or(false));
        }
        unanswered
    }

    async fn poll_until_answered(&self, number: u64) -> bool {
        for _ in 0..MAX_FINAL_POLL_ATTEMPTS {
            if self.poll(number).await.is_some() {
                return true;
            }
            tokio::time::sleep(Duration::from_secs(MIN_RETRY_DELAY_S)).await;
        }
        false
    }
}

fn is_terminal(state: JobState) -> bool {
    matches!(state, JobState::Done | JobState::Cancelled)
}

async fn wait_before_retry(retry_after_s: Option<u64>) {
    let wait = retry_after_s
        .unwrap_or(MIN_RETRY_DELAY_S)
        .clamp(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S);
    tokio::time::sleep(Duration::from_secs(wait)).await;
}
