//! The processes of a run and how they speak with the one that started them: settings on standard input,
//! messages on standard output, a line of JSON each. A process stops when its standard input ends, which
//! it also does when whoever started it is gone.

use crate::config::Experiment;
use crate::http::TrafficTotals;
use crate::observations::{TaskEvent, UserEvent};
use crate::run_layout::{Clock, LoopbackNet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use tokio::sync::oneshot;

/// What a process of a run does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    StateService,
    Cloud,
    /// Starts, kills and watches the real controllers.
    Controllers {
        program: String,
    },
    /// Holds the workers whose machine numbers are its own modulo the number of such processes.
    Workers {
        process: u32,
    },
    Users,
}

impl Role {
    /// Name in reports.
    pub fn name(&self) -> String {
        match self {
            Role::StateService => "state service".into(),
            Role::Cloud => "cloud".into(),
            Role::Controllers { .. } => "controllers' supervisor".into(),
            Role::Workers { process } => format!("workers {process}"),
            Role::Users => "users".into(),
        }
    }
}

/// What a process is given at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RoleSettings {
    pub role: Role,
    pub net: LoopbackNet,
    /// Begin of the run, in microseconds since 1970.
    pub started_us: u64,
    pub experiment: Experiment,
}

/// What a process says at its end.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoleReport {
    pub traffic: TrafficTotals,
    pub tasks: Vec<TaskEvent>,
    pub users: Vec<UserEvent>,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
}

/// A line of a process.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum RoleMessage {
    /// It can be used.
    Ready,
    /// Figures of now.
    Progress(BTreeMap<String, f64>),
    /// A controller runs under this process id.
    Controller { controller: u32, pid: u32 },
    /// A controller ended without having been killed.
    ControllerEnded { controller: u32, status: String },
    /// The last line.
    Report(Box<RoleReport>),
}

/// Says something to whoever started the process.
pub fn send_message(message: &RoleMessage) {
    if let Ok(line) = serde_json::to_string(message) {
        let mut out = std::io::stdout().lock();
        let _ = writeln!(out, "{line}").and_then(|()| out.flush());
    }
}

/// Everything a role needs besides its own matters.
pub struct Context {
    pub net: LoopbackNet,
    pub clock: Clock,
    pub experiment: Experiment,
    /// Resolves when the process is to stop.
    pub stop: oneshot::Receiver<()>,
}

/// Ends the process when any of its tasks panics: a run that lost a part of its stand-ins proves nothing.
fn end_at_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        print(panic);
        std::process::exit(101);
    }));
}

/// Runs the role that standard input asks for.
pub fn run() -> Result<(), String> {
    let mut line = String::new();
    std::io::stdin()
        .lock()
        .read_line(&mut line)
        .map_err(|e| format!("no settings: {e}"))?;
    let settings: RoleSettings =
        serde_json::from_str(&line).map_err(|e| format!("unreadable settings: {e}"))?;
    let (stopper, stop) = oneshot::channel();
    std::thread::spawn(move || {
        let mut rest = String::new();
        while std::io::stdin()
            .lock()
            .read_line(&mut rest)
            .is_ok_and(|read| read > 0)
        {
            rest.clear();
        }
        let _ = stopper.send(());
    });
    let RoleSettings {
        role,
        net,
        started_us,
        experiment,
    } = settings;
    if !matches!(role, Role::Controllers { .. }) {
        end_at_panics();
    }
    let context = Context {
        net,
        clock: Clock::starting_at(started_us),
        experiment,
        stop,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| format!("cannot start the runtime: {e}"))?;
    let name = role.name();
    let running = async {
        match role {
            Role::StateService => crate::state_service::run(context).await,
            Role::Cloud => crate::cloud::run(context).await,
            Role::Controllers { program } => crate::controllers::run(context, &program).await,
            Role::Workers { process } => crate::workers::run(context, process).await,
            Role::Users => crate::users::run(context).await,
        }
    };
    let report = tokio::task::LocalSet::new()
        .block_on(&runtime, running)
        .map_err(|e| format!("{name}: {e}"))?;
    send_message(&RoleMessage::Report(Box::new(report)));
    Ok(())
}
