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
    pending: GaugeVec,
    incoming: GaugeVec,
    refusals: GaugeVec,
    totals: GaugeVec,
    now: GaugeVec,
    waits: Histogram,
    rejected: RejectedMessages,
    unplaced: IntCounterVec,
}

/// The counter of rejected messages. Clones share it.
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

    /// Counts several messages of one kind.
    pub fn add_many(&self, source: MessageSource, fault: MessageFault, count: u64) {
        self.0
            .with_label_values(&[source.as_str(), fault.as_str()])
            .inc_by(count);
    }
}

fn family(name: &str, help: &str, labels: &[&str]) -> Result<GaugeVec, prometheus::Error> {
    GaugeVec::new(Opts::new(name, help), labels)
}

impl Metrics {
    /// Registers the metrics.
    pub fn new() -> Result<Self, prometheus::Error> {
        let waits = HistogramOpts::new(
            "trackcrank_start_latency_seconds",
            "Time from a job's first sight to the placement of a task",
        )
        .buckets(vec![
            0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 18.0, 30.0, 60.0, 120.0, 300.0,
        ]);
        let metrics = Metrics {
            registry: Registry::new(),
            pending: family(
                "trackcrank_pending_tasks",
                "Entries in each scheduling queue",
                &["queue"],
            )?,
            incoming: family(
                "trackcrank_queue_incoming_tasks_total",
                "Entries that came into each scheduling queue, by event",
                &["queue", "event"],
            )?,
            refusals: family(
                "trackcrank_refused_requests_total",
                "Requests refused, by cause",
                &["cause"],
            )?,
            totals: family(
                "trackcrank_events_total",
                "Events since the start",
                &["event"],
            )?,
            now: family("trackcrank_count", "What there is now", &["of"])?,
            waits: Histogram::with_opts(waits)?,
            rejected: RejectedMessages::new()?,
            unplaced: IntCounterVec::new(
                Opts::new(
                    "trackcrank_unplaced_tasks_total",
                    "How often a waiting task found no machine, by why the closest one did not take it",
                ),
                &["reason"],
            )?,
        };
        for gauge in [
            &metrics.pending,
            &metrics.incoming,
            &metrics.refusals,
            &metrics.totals,
            &metrics.now,
        ] {
            metrics.registry.register(Box::new(gauge.clone()))?;
        }
        metrics.registry.register(Box::new(metrics.waits.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.rejected.0.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.unplaced.clone()))?;
        Ok(metrics)
    }

    /// The counter of rejected messages.
    pub fn rejected(&self) -> &RejectedMessages {
        &self.rejected
    }

    /// Counts tasks that found no machine for this reason.
    pub fn add_unplaced(&self, reason: MachineRejection, count: u64) {
        self.unplaced
            .with_label_values(&[reason.as_str()])
            .inc_by(count);
    }

    /// Records the time in milliseconds after which a task was placed.
    pub fn observe_wait(&self, ms: u64) {
        self.waits.observe(ms as f64 / 1000.0);
    }

    /// The page in the text format. `view` holds the current numbers of the controller.
    pub fn page(&self, view: &Value) -> Result<String, prometheus::Error> {
        let simple = [
            ("pending", &self.pending),
            ("refusals", &self.refusals),
            ("counters", &self.totals),
            ("gauges", &self.now),
        ];
        for (name, family) in simple {
            for (label, value) in view
                .get(name)
                .and_then(Value::as_object)
                .into_iter()
                .flatten()
            {
                family
                    .with_label_values(&[label])
                    .set(value.as_f64().unwrap_or(0.0));
            }
        }
        for entry in view
            .get("incoming")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            let text = |at: usize| entry.get(at).and_then(Value::as_str).unwrap_or_default();
            let value = entry.get(2).and_then(Value::as_f64).unwrap_or(0.0);
            self.incoming
                .with_label_values(&[text(0), text(1)])
                .set(value);
        }
        let mut page = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut page)?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}

#[cfg(test)]
mod tests;
