//! Hollow users: they submit jobs through healthy controllers, poll them, cancel some, and note what
//! they were told.

use crate::config::Experiment;
use crate::http::{Client, SharedTrafficTotals};
use crate::observations::{UserAnswer, UserEvent};
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

/// How long a user waits for an answer to a submission or a cancellation, and to a poll.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two tries, the longest, and for how long a submission is tried.
const RETRY_S: u64 = 1;
const MAX_RETRY_S: u64 = 30;
const REQUEST_DEADLINE_MS: u64 = 60_000;
/// Pause between two polls.
const POLL_MS: u64 = 5_000;
/// Health checks: how often, their timeout, and failures in a row that count.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_FAILURES: u32 = 2;
/// Questions at once, and tries of each, when every accepted job is asked about at the end.
const CONCURRENT_FINAL_POLLS: usize = 50;
const MAX_FINAL_POLL_ATTEMPTS: u32 = 4;

/// Runs the users to the end of the experiment, or until they are told to stop.
pub async fn run(context: Context) -> std::io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        mut stop,
    } = context;
    let end_ms = (experiment.duration_s * 1_000.0) as u64;
    let warmup = (experiment.warmup_s * 1_000.0) as u64;
    let users = Rc::new(Users::new(experiment, net, clock));
    send_message(&RoleMessage::Ready);
    for controller in 0..users.experiment.controllers.count {
        tokio::task::spawn_local(users.clone().probe(controller));
    }
    tokio::task::spawn_local(crate::http::clear_totals_at(
        clock,
        warmup,
        users.tally.clone(),
    ));
    tokio::task::spawn_local(users.clone().submit_services());
    for class in 0..users.experiment.classes.len() {
        tokio::task::spawn_local(users.clone().submit_class(class));
    }
    let whole = tokio::select! {
        () = clock.sleep_until_ms(end_ms) => true,
        _ = &mut stop => false,
    };
    users.ending.set(true);
    let traffic = users.tally.borrow().clone();
    let unanswered = if whole {
        users.clone().poll_all_jobs().await
    } else {
        0
    };
    let figures = [
        ("jobs accepted", users.accepted.borrow().len() as f64),
        ("submissions given up", users.given_up.get() as f64),
        (
            "requests without a usable answer",
            users.failures.get() as f64,
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
    healthy: RefCell<Vec<bool>>,
    /// Connections that nobody uses now, by controller.
    idle: RefCell<Vec<Vec<Client>>>,
    tally: SharedTrafficTotals,
    events: RefCell<Vec<UserEvent>>,
    accepted: RefCell<Vec<u64>>,
    given_up: Cell<u64>,
    failures: Cell<u64>,
    ending: Cell<bool>,
}

impl Users {
    fn new(experiment: Experiment, net: LoopbackNet, clock: Clock) -> Self {
        let count = experiment.controllers.count as usize;
        Users {
            net,
            clock,
            experiment,
            healthy: RefCell::new(vec![false; count]),
            idle: RefCell::new((0..count).map(|_| Vec::new()).collect()),
            tally: SharedTrafficTotals::default(),
            events: RefCell::default(),
            accepted: RefCell::default(),
            given_up: Cell::default(),
            failures: Cell::default(),
            ending: Cell::default(),
        }
    }

    /// Checks a controller's health as the load balancer does.
    async fn probe(self: Rc<Self>, controller: u32) {
        let mut failures = 0;
        loop {
            let exchange = self.exchange(controller, Method::GET, "/healthz", Vec::new(), "health");
            let answer = tokio::time::timeout(PROBE_TIMEOUT, exchange)
                .await
                .ok()
                .flatten();
            failures = if answer.is_some_and(|a| a.0 == 200) {
                0
            } else {
                failures + 1
            };
            {
                let healthy = &mut self.healthy.borrow_mut()[controller as usize];
                *healthy = failures == 0 || (*healthy && failures < PROBE_FAILURES);
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    fn healthy_controller(&self) -> Option<u32> {
        let healthy = self.healthy.borrow();
        let healthy: Vec<u32> = (0..healthy.len() as u32)
            .filter(|n| healthy[*n as usize])
            .collect();
        if healthy.is_empty() {
            return None;
        }
        Some(healthy[rand::rng().random_range(0..healthy.len())])
    }

    async fn exchange(
        &self,
        controller: u32,
        method: Method,
        path: &str,
        body: Vec<u8>,
        kind: &str,
    ) -> Option<(u16, Option<u64>, Bytes)> {
        let idle = self.idle.borrow_mut()[controller as usize].pop();
        let mut client = match idle.filter(Client::usable) {
            Some(client) => client,
            None => Client::connect(None, self.net.controller(controller), controller)
                .await
                .ok()?,
        };
        let answer = client.exchange(method, path, body).await.ok()?;
        client.count(&self.tally, kind);
        self.idle.borrow_mut()[controller as usize].push(client);
        Some(answer)
    }

    /// One request through a healthy controller.
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
        let answer = tokio::time::timeout(timeout, exchange).await.ok().flatten();
        let usable = answer
            .as_ref()
            .is_some_and(|a| matches!(a.0, 200 | 201 | 400 | 404 | 422));
        if !usable {
            self.failures.set(self.failures.get() + 1);
        }
        answer
    }

    fn record(&self, job: u64, asked_us: u64, answer: UserAnswer) {
        let at_us = self.clock.now_us();
        self.events.borrow_mut().push(UserEvent {
            at_us,
            asked_us,
            job,
            answer,
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
        let pause = Duration::from_secs_f64(1.0 / self.experiment.services.per_s);
        for nth in 0..self.experiment.service_count() {
            if self.ending.get() {
                return;
            }
            tokio::task::spawn_local(self.clone().live(service_job_number(nth), 0.0));
            tokio::time::sleep(pause).await;
        }
    }

    /// Jobs of a class arrive as a Poisson process.
    async fn submit_class(self: Rc<Self>, class: usize) {
        self.wait_for_controllers().await;
        let seed = self.experiment.seed.wrapping_add(class as u64 + 1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let (rate, cancelled) = {
            let class = &self.experiment.classes[class];
            (class.jobs_per_s, class.cancelled)
        };
        let mut next_s = self.clock.now_ms() as f64 / 1_000.0;
        for nth in 0.. {
            let draw: f64 = rng.random_range(f64::EPSILON..1.0);
            next_s -= draw.ln() / rate;
            self.clock.sleep_until_ms((next_s * 1_000.0) as u64).await;
            if self.ending.get() {
                return;
            }
            tokio::task::spawn_local(self.clone().live(class_job_number(class, nth), cancelled));
        }
    }

    /// A job from its submission to its end.
    async fn live(self: Rc<Self>, number: u64, cancelled: f64) {
        if !self.submit(number).await {
            return;
        }
        let cancel_at = rand::rng().random_bool(cancelled).then(|| {
            let now = self.clock.now_ms();
            now + rand::rng().random_range(200..3 * POLL_MS)
        });
        let mut next_poll = self.clock.now_ms() + POLL_MS;
        loop {
            let wake = cancel_at.map_or(next_poll, |at| at.min(next_poll));
            self.clock.sleep_until_ms(wake).await;
            if self.ending.get() {
                return;
            }
            if cancel_at.is_some_and(|at| at <= self.clock.now_ms()) {
                self.cancel(number).await;
                return;
            }
            if self.poll(number).await.is_some_and(is_over) {
                return;
            }
            next_poll = self.clock.now_ms() + POLL_MS;
        }
    }

    /// Submits a job until it is accepted; false if it is not.
    async fn submit(&self, number: u64) -> bool {
        let Some(job) = self.experiment.job_request(number) else {
            return false;
        };
        let body = serde_json::to_vec(&job).unwrap_or_default();
        let begun = self.clock.now_ms();
        self.record(number, self.clock.now_us(), UserAnswer::Submitted);
        loop {
            let asked = self.clock.now_us();
            let answer = self
                .request(
                    Method::POST,
                    "/v1/jobs",
                    body.clone(),
                    "submit",
                    SUBMIT_TIMEOUT,
                )
                .await;
            match answer {
                Some((200 | 201, _, body)) => {
                    self.record(number, asked, UserAnswer::Accepted);
                    self.accepted.borrow_mut().push(number);
                    self.note_state(number, asked, &body);
                    return true;
                }
                Some((400 | 422, ..)) => {
                    self.record(number, asked, UserAnswer::Missing);
                    return false;
                }
                answer => {
                    if self.clock.now_ms() > begun + REQUEST_DEADLINE_MS || self.ending.get() {
                        self.given_up.set(self.given_up.get() + 1);
                        return false;
                    }
                    pause(answer.and_then(|a| a.1)).await;
                }
            }
        }
    }

    /// Asks for a job's state; none if there was no usable answer.
    async fn poll(&self, number: u64) -> Option<JobState> {
        let path = format!("/v1/jobs/{}", job_id(number));
        let asked = self.clock.now_us();
        match self
            .request(Method::GET, &path, Vec::new(), "poll", POLL_TIMEOUT)
            .await?
        {
            (200, _, body) => self.note_state(number, asked, &body),
            (404, ..) => {
                self.record(number, asked, UserAnswer::Missing);
                None
            }
            _ => None,
        }
    }

    /// Cancels a job, however often that has to be said.
    async fn cancel(&self, number: u64) {
        let path = format!("/v1/jobs/{}/cancel", job_id(number));
        self.record(number, self.clock.now_us(), UserAnswer::CancelAsked);
        while !self.ending.get() {
            let asked = self.clock.now_us();
            let answer = self
                .request(Method::POST, &path, Vec::new(), "cancel", SUBMIT_TIMEOUT)
                .await;
            match answer {
                Some((200, _, body)) => {
                    self.note_state(number, asked, &body);
                    return;
                }
                Some((404, ..)) => self.record(number, asked, UserAnswer::Missing),
                _ => {}
            }
            pause(answer.and_then(|a| a.1)).await;
        }
    }

    fn note_state(&self, number: u64, asked: u64, body: &[u8]) -> Option<JobState> {
        let status: JobStatus = serde_json::from_slice(body).ok()?;
        self.record(number, asked, UserAnswer::Told(status.state));
        Some(status.state)
    }

    /// Asks once more about every accepted job; returns how many had no answer.
    async fn poll_all_jobs(self: Rc<Self>) -> u64 {
        let places = Rc::new(Semaphore::new(CONCURRENT_FINAL_POLLS));
        let numbers = self.accepted.borrow().clone();
        let mut polls = Vec::new();
        for number in numbers {
            let (users, places) = (self.clone(), places.clone());
            polls.push(tokio::task::spawn_local(async move {
                let _place = places.acquire().await;
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
            tokio::time::sleep(Duration::from_secs(RETRY_S)).await;
        }
        false
    }
}

fn is_over(state: JobState) -> bool {
    matches!(state, JobState::Done | JobState::Cancelled)
}

async fn pause(retry_after_s: Option<u64>) {
    let wait = retry_after_s.unwrap_or(RETRY_S).clamp(RETRY_S, MAX_RETRY_S);
    tokio::time::sleep(Duration::from_secs(wait)).await;
}
