//! What was sent, answered and run, with the time since the start of the run. Written to `record.txt`.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

/// A change of a task on a machine.
#[derive(Clone, Debug)]
pub struct TaskEvent {
    pub task: String,
    /// `starts`, `exits done`, `exits error`, ...
    pub what: String,
}

pub struct Record {
    started: Instant,
    file: Mutex<std::fs::File>,
    events: Mutex<Vec<TaskEvent>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Record {
            started: Instant::now(),
            file: Mutex::new(std::fs::File::create(path).expect("create the record")),
            events: Mutex::new(Vec::new()),
        }
    }

    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now_s(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn task(&self, machine: &str, task: &str, what: &str) {
        self.line(format!("{machine}: {task} {what}"));
        self.events.lock().unwrap().push(TaskEvent {
            task: task.to_owned(),
            what: what.to_owned(),
        });
    }

    pub fn events(&self) -> Vec<TaskEvent> {
        self.events.lock().unwrap().clone()
    }
}
