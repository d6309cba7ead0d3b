//! Metrics of the process, in the text format of Prometheus.

use controller::rejections::{MessageFault, MessageSource};
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounterVec, Opts, Registry, TextEncoder,
};
use scheduler::MachineRejection;
use serde_json::Value;

/// All metrics of the process.
pub struct Metrics {
    registry: Registry,
    pending_tasks: GaugeVec,
    incoming_tasks: GaugeVec,
    refused_requests: GaugeVec,
    events: GaugeVec,
    counts: GaugeVec,
    start_latencies: Histogram,
    rejected_messages: RejectedMessages,
    unplaced_tasks: IntCounterVec,
}

/// The counter of rejected messages, by sender and fault. Clones share it.
#[derive(Clone)]
pub struct RejectedMessages(IntCounterVec);

impl RejectedMessages {
    fn new() -> Result<Self, prometheus::Error> {
        let help = "Messages that were rejected and changed nothing, by sender and reason";
        let opts = Opts::new("trackcrank_rejected_messages_total", help);
        Ok(RejectedMessages(IntCounterVec::new(
            opts,
            &["source", "reason"],
        )?))
    }

    /// Counts one message.
    pub fn add(&self, source: MessageSource, fault: MessageFault) {
        self.add_many(source, fault, 1);
    }

    /// Counts several messages with the same sender and fault.
    pub fn add_many(&self, source: MessageSource, fault: MessageFault, count: u64) {
        self.0
            .with_label_values(&[source.as_str(), fault.as_str()])
            .inc_by(count);
    }
}

fn gauge_vec(name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec, prometheus::Error> {
    GaugeVec::new(Opts::new(name, help), labels)
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let start_latency_opts = HistogramOpts::new(
            "trackcrank_start_latency_seconds",
            "Time from a job's first sight to the placement of a task",
        )
        .buckets(vec![
            0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 18.0, 30.0, 60.0, 120.0, 300.0,
        ]);
        let metrics = Metrics {
            registry: Registry::new(),
            pending_tasks: gauge_vec(
                "trackcrank_pending_tasks",
                "Entries in each scheduling queue",
                &["queue"],
            )?,
            incoming_tasks: gauge_vec(
                "trackcrank_queue_incoming_tasks_total",
                "Entries that came into each scheduling queue, by event",
                &["queue", "event"],
            )?,
            refused_requests: gauge_vec(
                "trackcrank_refused_requests_total",
                "Requests refused, by cause",
                &["cause"],
            )?,
            events: gauge_vec(
                "trackcrank_events_total",
                "Events since the start",
                &["event"],
            )?,
            counts: gauge_vec("trackcrank_count", "What there is now", &["of"])?,
            start_latencies: Histogram::with_opts(start_latency_opts)?,
            rejected_messages: RejectedMessages::new()?,
            unplaced_tasks: IntCounterVec::new(
                Opts::new(
                    "trackcrank_unplaced_tasks_total",
                    "How often a waiting task found no machine, by why the closest one did not take it",
                ),
                &["reason"],
            )?,
        };
        for gauge in [
            &metrics.pending_tasks,
            &metrics.incoming_tasks,
            &metrics.refused_requests,
            &metrics.events,
            &metrics.counts,
        ] {
            metrics.registry.register(Box::new(gauge.clone()))?;
        }
        metrics
            .registry
            .register(Box::new(metrics.start_latencies.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.rejected_messages.0.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.unplaced_tasks.clone()))?;
        Ok(metrics)
    }

    /// The counter of rejected messages.
    pub fn rejected_messages(&self) -> &RejectedMessages {
        &self.rejected_messages
    }

    /// Counts how often tasks found no machine for this reason.
    pub fn add_unplaced_tasks(&self, reason: MachineRejection, count: u64) {
        self.unplaced_tasks
            .with_label_values(&[reason.as_str()])
            .inc_by(count);
    }

    /// Records the time from when a job was first seen to the placement of one of its tasks.
    pub fn observe_start_latency(&self, latency_ms: u64) {
        self.start_latencies.observe(latency_ms as f64 / 1000.0);
    }

    /// Renders the metrics page. `view` is the body of the reply to [`controller::AdminRequest::Metrics`].
    pub fn render(&self, view: &Value) -> Result<String, prometheus::Error> {
        // Objects of the view that hold a number for each label.
        let gauges = [
            ("pending", &self.pending_tasks),
            ("refusals", &self.refused_requests),
            ("counters", &self.events),
            ("gauges", &self.counts),
        ];
        for (field, gauge) in gauges {
            for (label, value) in view
                .get(field)
                .and_then(Value::as_object)
                .into_iter()
                .flatten()
            {
                gauge
                    .with_label_values(&[label])
                    .set(value.as_f64().unwrap_or(0.0));
            }
        }
        // Each entry of the array is `[queue, event, number]`.
        for entry in view
            .get("incoming")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            let label = |index: usize| entry.get(index).and_then(Value::as_str).unwrap_or_default();
            let value = entry.get(2).and_then(Value::as_f64).unwrap_or(0.0);
            self.incoming_tasks
                .with_label_values(&[label(0), label(1)])
                .set(value);
        }
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}

#[cfg(test)]
mod tests;
