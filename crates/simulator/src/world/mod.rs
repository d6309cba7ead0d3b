//! The world: a queue of events in simulated time, a network, and real [`Controller`]s.

mod cancellations;
mod close_looks;
mod faults;
mod interference;
mod kinds;
mod machines;
mod network;
mod odd_requests;
mod outgoing;
mod plan;
mod sabotage;
mod site;
mod state;
mod users;
mod views;

use model::DurationExt;
pub use plan::{Fault, Plan, Sabotage};

use crate::cloud::{Boots, Cloud};
use crate::fingerprint::Recorder;
use crate::known::Known;
use crate::rules::Rules;
use crate::served::{least, Served, Share};
use crate::starved::Starved;
use crate::state::StateService;
use crate::takeovers::Takeovers;
use crate::worker::{Happened, Worker, MISTAKEN};
use close_looks::{Confirmation, Looks};
use controller::controller::DirectReply;
use controller::{Controller, Effect, Event, HeartbeatReply, UserReply, UserRequest};
use interference::Interference;
use kinds::{starts, Asked, Cut, Happening, Message, Place, Queued, Running};
use model::{CallId, ControllerName, JobId, Settings, Timestamp};
use odd_requests::Refusal;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use site::{settings, Terms, NODES};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, HashSet};
use users::LAST_TRY;
use wire::cloud::{CloudReply, CloudRequest};
use wire::mesh::{MeshMessage, ReplicatedRecord};
use wire::state::{StateReply, StateRequest, Transaction, Write};
use wire::users::{JobKind, JobRequest, JobState, Priority};
use wire::workers::{Command, ExitCause, TaskState};

/// What has really come about of troubles that are there to meet: a test whose troubles never met
/// proves nothing.
#[derive(Debug, Clone, Default)]
pub struct Met {
    /// Late transactions that were applied; of these, after newer ones of the same node, and of lives
    /// that were over by then.
    pub late_writes: u64,
    pub late_after_newer: u64,
    pub late_of_the_dead: u64,
    /// Late transactions whose conditions voided them.
    pub late_and_void: u64,
    /// Copies of reports that came after newer messages of their machines; of these, from earlier
    /// sessions.
    pub old_reports: u64,
    pub old_sessions: u64,
    /// Answers and commands that were lost on their way to machines whose reports arrive.
    pub unheard: u64,
    /// Connections of machines that failed, and direct commands and questions that reached these
    /// machines meanwhile.
    pub mute: u64,
    pub mute_and_told: u64,
    /// Transactions that were carried out and whose answers were lost; those of them that another node
    /// read.
    pub lost_answers: u64,
    pub lost_and_read: u64,
    /// Kept copies of reports, older than what their machines had said since, that came to a holder that
    /// had just begun; of these, from earlier sessions.
    pub old_at_begin: u64,
    pub old_sessions_at_begin: u64,
    /// Reports that were held back and came to a holder that had begun since.
    pub held_reports: u64,
    /// Late direct commands that were carried out, and that their token or session made void; those
    /// with commands whose node had ended, and those that came after a higher token.
    pub late_commands: u64,
    pub late_commands_void: u64,
    pub late_commands_of_the_dead: u64,
    pub late_commands_of_the_deposed: u64,
    /// Launches on machines that had come up within two seconds a moment before, while writes came late.
    pub young_launches: u64,
    /// What nodes told each other and was lost on one way, and what came again late.
    pub lost_on_one_way: u64,
    pub mesh_copies: u64,
    /// Jobs that were cancelled at the moment of their acceptance, while they ran with long to go, and
    /// around the end of their last task.
    pub cancelled_at_acceptance: u64,
    pub cancelled_running: u64,
    pub cancelled_at_end: BTreeSet<String>,
    /// Machines that hung while their jobs were cancelled.
    pub hung_with_cancelled: u64,
    /// Odd requests, by kind.
    pub repeated_unfinished: u64,
    pub cancelled_done: u64,
    pub refused_unfit: u64,
    pub refused_malformed: u64,
    pub one_task_jobs: u64,
}

/// The world.
pub struct World {
    plan: Plan,
    terms: Terms,
    rng: SmallRng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Queued>>,
    nodes: Vec<Option<Running>>,
    lives: u64,
    state: StateService,
    /// As it was some seconds ago, for those who are to read what is old.
    older: StateService,
    watches: Vec<(usize, u64, CallId, String, u64)>,
    cloud: Cloud,
    workers: BTreeMap<String, Worker>,
    cuts: Vec<Cut>,
    held: Vec<(Place, Place, Message)>,
    interference: Interference,
    pending: HashSet<(usize, u64, CallId)>,
    tickets: HashMap<(usize, u64, u64), Asked>,
    report_tickets: HashMap<(usize, u64, u64), (String, u64)>,
    next_ticket: u64,
    jobs: HashMap<String, JobRequest>,
    /// Jobs whose tasks run so many times as long.
    long: HashMap<String, u64>,
    next_job: u64,
    /// How often users have looked closely at each confirmation.
    looks: Looks,
    /// Submissions that have to be refused.
    odd_jobs: HashMap<String, Refusal>,
    limits: BTreeMap<String, f64>,
    settled: BTreeSet<String>,
    submitted: HashMap<String, u64>,
    /// Requests that the state service has had, and answers that turned a user away.
    pub requests: u64,
    pub turned_away: u64,
    /// How long users waited for each acceptance.
    pub accept_ms: Vec<u64>,
    pub rules: Rules,
    pub takeovers: Takeovers,
    /// Whether questions are answered once all troubles are over.
    known: Known,
    /// Whether jobs wait beside room for them, from the end of all troubles on.
    starved: Starved,
    troubles_over: u64,
    /// Arrays of low priority among them: these are left to cheap machines and to the gaps beside other
    /// work, see `scheduler::best_effort`, and are told apart until that is settled.
    pub starved_low: Vec<String>,
    /// Since when each node has been healthy without a break.
    healthy_since: [Option<u64>; NODES],
    served: Served,
    /// Transactions of each node that have been carried out.
    carried_out: [u64; NODES],
    pub met: Met,
    /// Nodes that end as they are about to do something: what they have done so far, and at which
    /// deed they end.
    ends_at: HashMap<usize, (u64, u64)>,
    /// Machines that lived when the controllers gave them back.
    pub released_alive: u64,
    /// Early takeovers, and those of them whose holders lived, of nodes that have ended.
    early: (u64, u64),
    /// Records what leaves the controllers, if that is wanted.
    recorder: Option<Recorder>,
}

impl World {
    /// A world in which nothing has happened yet.
    pub fn new(plan: Plan) -> Self {
        let terms = Terms::of(plan.size);
        let mut world = World {
            rng: SmallRng::seed_from_u64(plan.seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            nodes: (0..NODES).map(|_| None).collect(),
            lives: 0,
            state: StateService::new(terms.write_rps),
            older: StateService::new(terms.write_rps),
            watches: Vec::new(),
            cloud: Cloud::new(&["a", "b"], 5 * plan.size as u32, 2 * plan.size as u32),
            workers: BTreeMap::new(),
            cuts: Vec::new(),
            held: Vec::new(),
            interference: Interference::default(),
            pending: HashSet::new(),
            tickets: HashMap::new(),
            report_tickets: HashMap::new(),
            next_ticket: 0,
            jobs: HashMap::new(),
            long: HashMap::new(),
            next_job: 0,
            looks: Looks::default(),
            odd_jobs: HashMap::new(),
            limits: (0..6)
                .map(|t| (format!("t{t}"), 6.0 * plan.size as f64))
                .collect(),
            settled: BTreeSet::new(),
            submitted: HashMap::new(),
            requests: 0,
            turned_away: 0,
            accept_ms: Vec::new(),
            rules: Rules::new(terms.cancel),
            takeovers: Takeovers::default(),
            known: Known::default(),
            starved: Starved::default(),
            troubles_over: 0,
            starved_low: Vec::new(),
            healthy_since: [None; NODES],
            served: Served::default(),
            carried_out: [0; NODES],
            met: Met::default(),
            ends_at: HashMap::new(),
            released_alive: 0,
            early: (0, 0),
            recorder: None,
            terms,
            plan,
        };
        world.pretend_large_machines();
        for node in 0..NODES {
            world.at(0, Happening::Boot { node });
        }
        world.at(0, Happening::Workers);
        world.at(1_500, Happening::Submit);
        let over = world
            .plan
            .faults
            .iter()
            .map(|(at, fault)| at + fault.lasts())
            .max();
        world.troubles_over = over.unwrap_or(0).max(60_000);
        world.at(world.troubles_over, Happening::AskAll);
        for (at, fault) in world.plan.faults.clone() {
            world.at(at, Happening::Fault(fault));
        }
        world
    }

    /// Runs to the end, or to the first broken rule.
    pub fn run(&mut self) {
        self.run_to(self.plan.ms);
    }

    /// Puts and deletes that the state service has taken, and those it has refused for want of
    /// budget.
    pub fn writes(&self) -> (u64, u64) {
        (self.state.taken, self.state.refused)
    }

    /// Machines recorded for a partition.
    pub fn machines_of(&self, partition: u32) -> usize {
        self.records()
            .filter(|m| m.get(4).is_some_and(|p| *p == partition))
            .count()
    }

    /// Takeovers of partitions whose records stood, and those of them whose holders lived.
    pub fn early_takeovers(&self) -> (u64, u64) {
        let counts = |r: &Running| {
            (
                r.node.counters.early_takeovers,
                r.node.counters.wrong_takeovers,
            )
        };
        let living = self.nodes.iter().flatten().map(counts);
        living.fold(self.early, |sum, n| (sum.0 + n.0, sum.1 + n.1))
    }

    /// All records of machines.
    fn records(&self) -> impl Iterator<Item = &serde_json::Value> {
        let page = |n: u32| self.state.value(&format!("s/m/{n:04}"));
        (0..)
            .map_while(page)
            .filter_map(|p| p.get("machines")?.as_array())
            .flatten()
    }

    /// Machines that ended with tasks on them, and are recorded and not given up yet.
    pub fn recorded_dead(&self) -> usize {
        let kept = self
            .records()
            .filter(|m| m.get(6).is_some_and(|leaving| *leaving == false));
        let names = kept.filter_map(|m| m.get(0)?.as_str());
        names
            .filter(|name| self.workers.get(*name).is_some_and(|w| w.ended_busy))
            .count()
    }

    /// How much of what is due has been served, by kind of work and by team. What came within the last
    /// `patience` ms need not be done.
    pub fn served(&self, patience: u64) -> Vec<Share> {
        let Rules {
            accepted,
            cancel_asked,
            done_told,
            ..
        } = &self.rules;
        let until = self.now.saturating_sub(patience);
        let mut shares = self
            .served
            .shares(&self.jobs, accepted, cancel_asked, done_told, until);
        shares.extend(self.served.largest(
            &self.jobs,
            accepted,
            &self.submitted,
            cancel_asked,
            self.now,
        ));
        shares
    }

    /// The class or team of which the least was served, see [`World::served`].
    pub fn least_served(&self, patience: u64) -> Option<(String, f64)> {
        least(&self.served(patience))
    }

    /// Names of the machines recorded for a partition that live.
    fn living_of(&self, partition: u32) -> BTreeSet<String> {
        let ours = self
            .records()
            .filter(|m| m.get(4).is_some_and(|p| *p == partition));
        let names = ours.filter_map(|m| m.get(0)?.as_str());
        let lives = |name: &&str| self.workers.get(*name).is_some_and(|w| !w.dead);
        names.filter(lives).map(str::to_owned).collect()
    }

    /// Tasks of jobs that were confirmed as cancelled which are still on machines of a partition.
    pub fn cancelled_and_there(&self, partition: u32) -> usize {
        let machines = self.living_of(partition);
        let workers = machines.iter().filter_map(|name| self.workers.get(name));
        let tasks = workers.flat_map(|w| w.tasks.iter().filter(|(_, held)| held.present()));
        let cancelled = |task: &str| {
            let id = task.split('/').next().unwrap_or_default();
            self.rules.cancelled_told.contains_key(id)
        };
        tasks.filter(|((task, _), _)| cancelled(task)).count()
    }

    /// A holder ends or stands still: its partitions are to be taken over.
    fn holder_stops(&mut self, node: usize) {
        let name = format!("n{node}");
        for partition in 0..NODES as u32 {
            if self.holder(partition) == Some(&name) {
                self.takeovers.ended(partition, &name, self.now);
            }
        }
    }

    /// Machines that are up.
    pub fn machines_up(&self) -> usize {
        self.workers.values().filter(|w| !w.dead).count()
    }

    /// The node that holds a partition by its record.
    pub fn holder(&self, partition: u32) -> Option<&str> {
        self.state
            .value(&format!("s/p/{partition}"))?
            .get("holder")?
            .as_str()
    }

    /// The term of a partition by its record.
    pub fn term(&self, partition: u32) -> Option<u64> {
        self.state
            .value(&format!("s/p/{partition}"))?
            .get("term")?
            .as_u64()
    }

    /// Runs to a time, or to the first broken rule.
    pub fn run_to(&mut self, ms: u64) {
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > ms || !self.rules.broken.is_empty() {
                self.queue.push(Reverse(next));
                break;
            }
            self.now = next.at;
            // Where there is much to look at, it is looked at every time the workers move; every
            // start is checked anyway.
            let look = self.plan.size == 1 || matches!(next.what, Happening::Workers);
            self.happen(next.what);
            if !look {
                continue;
            }
            self.rules
                .check(&self.workers, &self.jobs, &self.limits, self.now);
            for id in self.known.forgotten(self.now) {
                self.rules
                    .broke("forgotten", format!("{id}: no answer for 75 s"), self.now);
            }
        }
    }

    /// A trouble begins now, for tests that wait for the moment at which it meets another.
    pub fn begin(&mut self, fault: Fault) {
        self.fault(fault);
    }

    /// Prints where a job's tasks are, for the eyes of whoever looks into a run.
    pub fn dump(&self, id: &str) {
        for worker in self.workers.values() {
            for ((task, attempt), held) in &worker.tasks {
                if task.starts_with(id) {
                    println!(
                        "{} dead={} {task} try {attempt} {held:?}",
                        worker.name, worker.dead
                    );
                }
            }
        }
        for running in self.nodes.iter().flatten() {
            println!("{}", running.node.explain(id));
        }
    }

    /// A job as it was submitted.
    pub fn job(&self, id: &str) -> Option<&JobRequest> {
        self.jobs.get(id)
    }

    /// Tasks that workers have killed since their lease had run out.
    pub fn killed_by_lease(&self) -> u64 {
        self.workers.values().map(|w| w.lapsed_tasks).sum()
    }

    /// Tasks of jobs that were accepted, are not over and have nothing on any machine.
    pub fn waiting(&self) -> u64 {
        let placed: HashSet<&str> = self
            .workers
            .values()
            .filter(|worker| !worker.dead)
            .flat_map(|worker| worker.tasks.keys())
            .filter_map(|(task, _)| task.split('/').next())
            .collect();
        let unplaced = self
            .unfinished()
            .into_iter()
            .filter(|id| !placed.contains(id.as_str()));
        unplaced
            .filter_map(|id| Some(self.jobs.get(&id)?.tasks))
            .sum()
    }

    /// Notes jobs that have been waiting for too long beside room for them.
    fn look_for_starved(&mut self) {
        if self.now < self.troubles_over {
            return;
        }
        let Rules {
            accepted,
            done_told,
            cancel_asked,
            ..
        } = &self.rules;
        let open = accepted
            .keys()
            .filter(|id| !done_told.contains_key(*id) && !cancel_asked.contains(*id));
        let starved = self
            .starved
            .look(&self.workers, &self.jobs, open, &self.limits, self.now);
        for id in starved {
            let low =
                |job: &JobRequest| job.kind == JobKind::Array && job.priority == Priority::Low;
            if self.jobs.get(&id).is_some_and(low) {
                self.starved_low.push(id);
            } else {
                self.rules.broke(
                    "starved",
                    format!("{id} waits beside room for it"),
                    self.now,
                );
            }
        }
    }

    /// Jobs that were accepted and are neither done nor cancelled by now.
    pub fn unfinished(&self) -> Vec<String> {
        self.rules
            .accepted
            .keys()
            .filter(|id| {
                !self.rules.done_told.contains_key(*id)
                    && !self.rules.cancelled_told.contains_key(*id)
            })
            .cloned()
            .collect()
    }

    fn at(&mut self, at: u64, what: Happening) {
        self.order += 1;
        self.queue.push(Reverse(Queued {
            at: at.max(self.now),
            order: self.order,
            what,
        }));
    }

    fn live(&self, node: usize, life: u64) -> bool {
        self.nodes[node].as_ref().is_some_and(|r| r.life == life)
    }

    fn feed(&mut self, node: usize, event: Event) {
        let now = self.now;
        let Some(running) = self.nodes[node].as_mut() else {
            return;
        };
        if let Some(frozen) = running.frozen.as_mut().filter(|frozen| frozen.handled) {
            frozen.waiting.push(event);
            return;
        }
        let local = Timestamp::from_millis(((now - running.since) as f64 * running.rate) as u64);
        let effects = running.node.handle(local, event);
        let life = running.life;
        if let Some(frozen) = running.frozen.as_mut() {
            frozen.handled = true;
            frozen.decided = effects;
            return;
        }
        let next = running.node.next_tick();
        let at = running.since + (next.as_millis() as f64 / running.rate).ceil() as u64;
        if running.ticking <= now || at < running.ticking {
            running.ticking = at.max(now + 1);
            let at = running.ticking;
            self.at(at, Happening::Tick { node, life });
        }
        for effect in effects {
            if self.ends_here(node, &effect) {
                return;
            }
            self.carry_out(node, life, effect);
        }
    }

    /// Ends a node that has come to the deed at which it is to end.
    fn ends_here(&mut self, node: usize, effect: &Effect) -> bool {
        let Some((done, last)) = self.ends_at.get_mut(&node) else {
            return false;
        };
        let changes = match effect {
            Effect::State { request, .. } => matches!(request, StateRequest::Transaction(_)),
            Effect::Cloud { request, .. } => !matches!(request, CloudRequest::List { .. }),
            Effect::Worker { body, .. } => !body.commands.is_empty(),
            Effect::Mesh { message, .. } => !matches!(message, MeshMessage::Heartbeat { .. }),
            Effect::User { .. } => true,
            Effect::Heartbeat { .. } | Effect::Admin { .. } => false,
        };
        *done += u64::from(changes);
        if !changes || done < last {
            return false;
        }
        self.ends_at.remove(&node);
        self.fault(Fault::Crash { node, back: 6_000 });
        true
    }

    fn carry_out(&mut self, node: usize, life: u64, effect: Effect) {
        self.record(node, life, &effect);
        match effect {
            Effect::State {
                call,
                request,
                timeout,
            } => {
                self.pending.insert((node, life, call));
                let event = Event::State {
                    call,
                    reply: StateReply::Unknown,
                };
                self.time_out(timeout.whole_millis(), node, life, call, event);
                let message = Message::State {
                    node,
                    life,
                    call,
                    request,
                };
                self.send(Place::Controller(node), Place::State, message);
            }
            Effect::Cloud { call, request } => {
                self.pending.insert((node, life, call));
                let event = Event::Cloud {
                    call,
                    reply: CloudReply::Unknown,
                };
                self.time_out(4_000, node, life, call, event);
                let message = Message::Cloud {
                    node,
                    life,
                    call,
                    request,
                };
                self.send(Place::Controller(node), Place::Cloud, message);
            }
            Effect::Worker {
                call,
                address,
                body,
                timeout,
            } => {
                self.pending.insert((node, life, call));
                let event = Event::Worker {
                    call,
                    reply: DirectReply::Unknown,
                };
                self.time_out(timeout.whole_millis(), node, life, call, event);
                let machine = address.trim_end_matches(":9000").to_owned();
                let to = self.machine(&machine);
                let message = Message::Direct {
                    node,
                    life,
                    call,
                    machine,
                    body,
                };
                self.send(Place::Controller(node), to, message);
            }
            Effect::Mesh { to, message } => {
                let Some(other) = to.as_str().trim_start_matches('n').parse::<usize>().ok() else {
                    return;
                };
                self.send_mesh(node, other, message);
            }
            Effect::Admin { .. } => {}
            Effect::User { ticket, reply } => {
                if let Some(asked) = self.tickets.remove(&(node, life, ticket)) {
                    self.user_answer(asked, reply);
                }
            }
            Effect::Heartbeat { ticket, reply } => {
                if let Some((machine, number)) = self.report_tickets.remove(&(node, life, ticket)) {
                    let to = self.machine(&machine);
                    let message = Message::HeartbeatResponse {
                        machine,
                        number,
                        node,
                        reply,
                    };
                    self.send(Place::Controller(node), to, message);
                }
            }
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Tick { node, life } => {
                if self.live(node, life) {
                    self.feed(node, Event::Tick);
                }
            }
            Happening::Thaw { node, life } => self.thaw(node, life),
            Happening::Mend { key, value } => self.write_past(&key, value),
            Happening::Deliver(message) => self.deliver(*message),
            Happening::Copy(message) => {
                self.note_copy(&message);
                self.deliver(*message);
            }
            Happening::LateWrite {
                node,
                life,
                newer_than,
                txn,
            } => {
                self.late_write(node, life, newer_than, txn);
            }
            Happening::LateCommand(message) => self.late_command(*message),
            Happening::HeldReport(message) => self.held_report(*message),
            Happening::MeshCopy { to, event } => {
                self.met.mesh_copies += 1;
                self.feed(to, event);
            }
            Happening::AskAll => self.ask_all(),
            Happening::Timeout {
                node,
                life,
                call,
                event,
            } => {
                if self.live(node, life) && self.pending.remove(&(node, life, call)) {
                    self.feed(node, *event);
                }
            }
            Happening::WatchEnds { node, life, call } => {
                let waiting = self
                    .watches
                    .iter()
                    .position(|w| (w.0, w.1, w.2) == (node, life, call));
                if let Some(at) = waiting {
                    if self.refuses(node) {
                        return;
                    }
                    self.watches.remove(at);
                    let reply = self.state.no_changes();
                    self.state_answer(node, life, call, reply);
                }
            }
            Happening::Workers => {
                let keeps = self.plan.sabotage == Some(Sabotage::OldLedger);
                if keeps && self.now % 6_000 < self.terms.step {
                    self.older = self.state.clone();
                }
                self.step_workers();
                for node in 0..NODES {
                    let healthy = self.nodes[node].as_ref().is_some_and(|r| r.node.healthy());
                    let since = self.healthy_since[node].filter(|_| healthy);
                    self.healthy_since[node] = since.or(healthy.then_some(self.now));
                }
                let (accepted, asked) = (&self.rules.accepted, &self.rules.cancel_asked);
                self.served
                    .look(&self.workers, &self.jobs, accepted, asked, self.now);
                self.look_for_starved();
                self.at(self.now + self.terms.step, Happening::Workers);
            }
            Happening::Submit => self.submit(),
            Happening::Poll { id } => {
                if !self.settled.contains(&id) {
                    if let Some(job) = JobId::parse(&id) {
                        self.ask(UserRequest::Get(job), id.clone(), 0);
                    }
                    let often = self.cuts.contains(&Cut::Questions);
                    self.at(
                        self.now + if often { 300 } else { 5_000 },
                        Happening::Poll { id },
                    );
                }
            }
            Happening::Cancel { id } => {
                self.note_cancel_requested(&id);
                if let Some(job) = JobId::parse(&id) {
                    self.ask(UserRequest::Cancel(job), id, 0);
                }
            }
            Happening::Ask { request, id, tries } => self.ask(request, id, tries),
            Happening::Look { node, request, id } => self.look(node, request, id),
            Happening::OddRequest => self.odd_request(),
            Happening::OneTaskJob => self.one_task_job(),
            Happening::Boot { node } => self.boot(node),
            Happening::Fault(fault) => self.fault(fault),
            Happening::Heal(cut) => {
                if let Some(at) = self.cuts.iter().position(|c| *c == cut) {
                    self.cuts.remove(at);
                }
                if let Cut::Refuse(None) = cut {
                    self.state.refresh_leases(self.now);
                }
                if cut == Cut::Boots {
                    self.cloud.boots = Boots::Usual;
                }
                self.at(self.now + 1, Happening::Flush);
            }
            Happening::Flush => {
                let held = std::mem::take(&mut self.held);
                for (from, to, message) in held {
                    self.send(from, to, message);
                }
            }
        }
    }

    fn boot(&mut self, node: usize) {
        self.lives += 1;
        let text = settings(node, self.plan.sabotage, self.plan.size);
        let Ok(settings) = Settings::parse(&text) else {
            panic!("settings of the world")
        };
        let rate = 1.0 + self.rng.random_range(-0.0005..0.0005);
        let seed = self.rng.random();
        self.nodes[node] = Some(Running {
            node: Controller::new(settings, seed),
            life: self.lives,
            since: self.now,
            rate,
            ticking: 0,
            frozen: None,
        });
        self.feed(node, Event::Tick);
    }

    /// A node goes on: what it had decided is sent, and what has come meanwhile reaches it in any
    /// order, its own timers among it.
    fn thaw(&mut self, node: usize, life: u64) {
        if !self.live(node, life) {
            return;
        }
        let Some(frozen) = self.nodes[node].as_mut().and_then(|r| r.frozen.take()) else {
            return;
        };
        for effect in frozen.decided {
            self.carry_out(node, life, effect);
        }
        let mut waiting = frozen.waiting;
        waiting.push(Event::Tick);
        waiting.shuffle(&mut self.rng);
        if let Some(running) = self.nodes[node].as_mut() {
            running.ticking = 0;
        }
        for event in waiting {
            self.feed(node, event);
        }
    }
}
