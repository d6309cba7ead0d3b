//! Starts the real controllers, kills them when the experiment says so, and ends them with itself.

use crate::config::{Experiment, Fault};
use crate::role::{send_message, Context, RoleMessage, RoleReport};
use crate::run_layout::{controller_name, LoopbackNet};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How often the controllers are looked at.
const SUPERVISION_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before a controller that ended by itself is started again.
const RESTART_MS: u64 = 2_000;

/// Runs the controllers until it is told to stop.
pub async fn run(context: Context, program: &str) -> io::Result<RoleReport> {
    let Context {
        net,
        clock,
        experiment,
        mut stop,
    } = context;
    let directory =
        std::env::temp_dir().join(format!("trackcrank-loadtest-{}", std::process::id()));
    std::fs::create_dir_all(&directory)?;
    let mut supervisor = Supervisor::new(program, directory, &experiment, net)?;
    send_message(&RoleMessage::Ready);
    loop {
        supervisor.supervise(clock.now_ms())?;
        let stopped = tokio::time::timeout(SUPERVISION_INTERVAL, &mut stop).await;
        if stopped.is_ok() {
            break;
        }
    }
    supervisor.end();
    Ok(RoleReport::default())
}

/// One controller.
struct Controller {
    child: Option<Child>,
    /// When it is to be started.
    start_at: u64,
    /// Kills that were carried out, by their place in the list of faults.
    killed_by: Vec<usize>,
    starts: u32,
}

struct Supervisor {
    program: PathBuf,
    directory: PathBuf,
    experiment: Experiment,
    controllers: Vec<Controller>,
    /// Some controller ended by itself: its log is kept.
    unexpected_end: bool,
}

impl Supervisor {
    fn new(
        program: &str,
        directory: PathBuf,
        experiment: &Experiment,
        net: LoopbackNet,
    ) -> io::Result<Self> {
        let count = experiment.controllers.count;
        for controller in 0..count {
            let text = experiment.settings_file(net, controller);
            std::fs::write(settings_path(&directory, controller), text)?;
        }
        let controllers = (0..count)
            .map(|_| Controller {
                child: None,
                start_at: 0,
                killed_by: Vec::new(),
                starts: 0,
            })
            .collect();
        Ok(Supervisor {
            program: PathBuf::from(program),
            directory,
            experiment: experiment.clone(),
            controllers,
            unexpected_end: false,
        })
    }

    /// Kills, starts and notices ends, as far as due.
    fn supervise(&mut self, now: u64) -> io::Result<()> {
        for number in 0..self.controllers.len() {
            self.kill_if_due(number, now);
            self.detect_exit(number, now)?;
            let controller = &self.controllers[number];
            if controller.child.is_none() && controller.start_at <= now {
                self.start(number as u32)?;
            }
        }
        Ok(())
    }

    fn start(&mut self, number: u32) -> io::Result<()> {
        let controller = &mut self.controllers[number as usize];
        controller.starts += 1;
        let log = format!("{}-{}.log", controller_name(number), controller.starts);
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(settings_path(&self.directory, number))
            .env("LOG_LEVEL", &self.experiment.controllers.log)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(self.directory.join(log))?)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", self.program.display())))?;
        send_message(&RoleMessage::Controller {
            controller: number,
            pid: child.id(),
        });
        controller.child = Some(child);
        Ok(())
    }

    fn kill_if_due(&mut self, number: usize, now: u64) {
        let due = self
            .experiment
            .faults
            .iter()
            .enumerate()
            .find(|(at, fault)| match fault {
                Fault::KillController { controller, .. } => {
                    *controller as usize == number
                        && fault.active(now)
                        && !self.controllers[number].killed_by.contains(at)
                }
                _ => false,
            });
        let Some((at, fault)) = due else { return };
        let controller = &mut self.controllers[number];
        controller.killed_by.push(at);
        controller.start_at = (fault.span_s().1 * 1_000.0) as u64;
        if let Some(mut child) = controller.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn detect_exit(&mut self, number: usize, now: u64) -> io::Result<()> {
        let controller = &mut self.controllers[number];
        let Some(child) = &mut controller.child else {
            return Ok(());
        };
        if let Some(status) = child.try_wait()? {
            let status = format!("{status}, logs in {}", self.directory.display());
            send_message(&RoleMessage::ControllerEnded {
                controller: number as u32,
                status,
            });
            controller.child = None;
            controller.start_at = now + RESTART_MS;
            self.unexpected_end = true;
        }
        Ok(())
    }

    fn end(&mut self) {
        for controller in &mut self.controllers {
            if let Some(mut child) = controller.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let logged = self.experiment.controllers.log != "error";
        if !self.unexpected_end && !logged {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl Drop for Supervisor {
    fn drop(&mut self) {
        self.end();
    }
}

fn settings_path(directory: &Path, controller: u32) -> PathBuf {
    directory.join(format!("{}.toml", controller_name(controller)))
}
