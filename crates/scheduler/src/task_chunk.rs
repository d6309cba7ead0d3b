//! The stored form of a job's progress in the placement log: chunks of consecutive tasks.

use serde::{Deserialize, Serialize, Serializer};

/// Number of tasks in a chunk, whose progress is stored together.
pub const TASKS_PER_CHUNK: u32 = 64;

/// A placed task in the placement log, serialised as an array of its three fields in their order.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, u64, String)")]
pub struct PlacedTask {
    /// Index of the task within its chunk.
    pub offset: u32,
    /// Number of the attempt, see [`model::Attempt`].
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
}

impl From<(u32, u64, String)> for PlacedTask {
    fn from((offset, attempt, machine): (u32, u64, String)) -> Self {
        PlacedTask {
            offset,
            attempt,
            machine,
        }
    }
}

impl Serialize for PlacedTask {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.offset, self.attempt, &self.machine).serialize(serializer)
    }
}

/// The progress of one chunk of a job's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskChunk {
    /// Bits in hexadecimal: bit i is set if task i of the chunk is done; empty if none is. Not a JSON number,
    /// because JSON readers disagree on integers beyond 53 bits.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub placed: Vec<PlacedTask>,
}

impl TaskChunk {
    /// Whether there is no progress to be stored.
    pub fn is_empty(&self) -> bool {
        self.done.is_empty() && self.placed.is_empty()
    }

    /// Whether all of the chunk can be restored.
    pub fn is_valid(&self) -> bool {
        let done_is_valid = self.done.is_empty() || u64::from_str_radix(&self.done, 16).is_ok();
        let task_is_valid =
            |task: &PlacedTask| task.offset < TASKS_PER_CHUNK && !task.machine.is_empty();
        done_is_valid && self.placed.iter().all(task_is_valid)
    }
}
