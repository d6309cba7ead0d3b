//! Computes the digest of the messages that the controllers of a run send.

use super::message::OutgoingMessage;
use std::collections::BTreeMap;
use std::fmt::Write;
use xxhash_rust::xxh3::{xxh3_128, Xxh3};

/// Number and hash of the messages to one recipient.
#[derive(Default)]
struct RecipientDigest {
    message_count: u64,
    hash: Xxh3,
}

/// Hashes messages separately for each recipient, in the order in which they are sent.
#[derive(Default)]
pub struct Recorder {
    digest_by_recipient: BTreeMap<String, RecipientDigest>,
    /// A line for each message, if a trace is wanted.
    trace: Option<String>,
}

impl Recorder {
    /// A recorder that also keeps a line for each message.
    pub fn with_trace() -> Self {
        Recorder {
            trace: Some(String::new()),
            ..Recorder::default()
        }
    }

    /// Adds a message that the controller `sender` sends at a simulated time.
    pub(crate) fn record(&mut self, at_ms: u64, sender: usize, message: &OutgoingMessage) {
        let recipient = message.recipient.clone();
        let digest = self.digest_by_recipient.entry(recipient).or_default();
        digest.message_count += 1;
        digest.hash.update(&at_ms.to_le_bytes());
        digest.hash.update(&(sender as u64).to_le_bytes());
        digest
            .hash
            .update(&(message.bytes.len() as u64).to_le_bytes());
        digest.hash.update(&message.bytes);
        if let Some(trace) = &mut self.trace {
            write_trace_line(trace, at_ms, sender, message);
        }
    }

    /// Number of messages recorded.
    pub fn message_count(&self) -> u64 {
        self.digest_by_recipient
            .values()
            .map(|digest| digest.message_count)
            .sum()
    }

    /// One line for each message: time, sender, recipient, digest, content.
    pub fn trace(&self) -> Option<&str> {
        self.trace.as_deref()
    }

    /// The digest of all recipients' digests, in the order of the recipients' names.
    pub fn digest(&self) -> u128 {
        let mut combined = Xxh3::new();
        for (recipient, digest) in &self.digest_by_recipient {
            combined.update(&(recipient.len() as u64).to_le_bytes());
            combined.update(recipient.as_bytes());
            combined.update(&digest.message_count.to_le_bytes());
            combined.update(&digest.hash.digest128().to_le_bytes());
        }
        combined.digest128()
    }
}

fn write_trace_line(trace: &mut String, at_ms: u64, sender: usize, message: &OutgoingMessage) {
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
    .expect("writing to a string never fails");
}
