//! Digests of the messages that leave the controllers.

use super::message::OutgoingMessage;
use std::collections::BTreeMap;
use std::fmt::Write;
use xxhash_rust::xxh3::{xxh3_128, Xxh3};

/// What one recipient has got.
#[derive(Default)]
struct Received {
    messages: u64,
    hash: Xxh3,
}

/// Hashes messages, each recipient's on their own and in their order.
#[derive(Default)]
pub struct Recorder {
    received: BTreeMap<String, Received>,
    trace: Option<String>,
}

impl Recorder {
    /// A recorder that keeps a line for each message as well.
    pub fn with_trace() -> Self {
        Recorder {
            trace: Some(String::new()),
            ..Recorder::default()
        }
    }

    /// Adds a message that a controller sends at a simulated time.
    pub(crate) fn record(&mut self, at_ms: u64, sender: usize, message: &OutgoingMessage) {
        let received = self.received.entry(message.recipient.clone()).or_default();
        received.messages += 1;
        received.hash.update(&at_ms.to_le_bytes());
        received.hash.update(&(sender as u64).to_le_bytes());
        received
            .hash
            .update(&(message.bytes.len() as u64).to_le_bytes());
        received.hash.update(&message.bytes);
        if let Some(trace) = &mut self.trace {
            trace_line(trace, at_ms, sender, message);
        }
    }

    /// Messages that have been added.
    pub fn message_count(&self) -> u64 {
        self.received
            .values()
            .map(|received| received.messages)
            .sum()
    }

    /// One line for each message: time, sender, recipient, digest, content.
    pub fn trace(&self) -> Option<&str> {
        self.trace.as_deref()
    }

    /// The digest of all recipients' digests, in the order of their names.
    pub fn digest(&self) -> u128 {
        let mut all = Xxh3::new();
        for (recipient, received) in &self.received {
            all.update(&(recipient.len() as u64).to_le_bytes());
            all.update(recipient.as_bytes());
            all.update(&received.messages.to_le_bytes());
            all.update(&received.hash.digest128().to_le_bytes());
        }
        all.digest128()
    }
}

fn trace_line(trace: &mut String, at_ms: u64, sender: usize, message: &OutgoingMessage) {
    let digest = xxh3_128(&message.bytes);
    let text = match &message.readable {
        Some(readable) => readable.clone(),
        None => String::from_utf8_lossy(&message.bytes).replace('\n', " "),
    };
    writeln!(
        trace,
        "{at_ms} n{sender} -> {} {digest:032x} {text}",
        message.recipient
    )
    .expect("a string takes any text");
}
