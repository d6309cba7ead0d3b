//! Golden tests of the admin API: views of a controller with machines and jobs, changes of the operators' settings, and
//! errors.

#[path = "../../wire/tests/golden/mod.rs"]
mod golden;

use controller::records::TUNING_KEY;
use controller::{AdminRequest, Controller, Effect, Event};
use golden::Entry;
use model::{CallId, ControllerName, Timestamp};
use serde_json::{json, Value};
use simulator::SingleController;
use wire::mesh::MeshMessage;
use wire::state::{StateReply, StateRequest, Transaction};
use wire::users::JobKind;

const MACHINES: usize = 8;
/// Time of the requests: later than all other events of the controller.
const REQUESTED_AT: Timestamp = Timestamp::from_millis(8_000);
const TICKET: u64 = 1_000;
/// Incarnation of the controller under test.
const INCARNATION: u64 = 256;

fn send_request(controller: &mut Controller, request: AdminRequest) -> Vec<Effect> {
    controller.handle(
        REQUESTED_AT,
        Event::Admin {
            ticket: TICKET,
            request,
        },
    )
}

/// The reply to an admin request among a controller's effects, as its status and its body.
fn admin_reply(effects: &[Effect]) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        Effect::Admin {
            ticket: TICKET,
            reply,
        } => Some(format!("{} {}", reply.status, golden::to_json(&reply.body))),
        _ => None,
    })
}

/// An entry of the reply to a request.
fn reply_entry(controller: &mut Controller, name: &'static str, request: AdminRequest) -> Entry {
    let effects = send_request(controller, request);
    Entry::text(
        name,
        admin_reply(&effects).unwrap_or_else(|| panic!("no immediate reply to {name}")),
    )
}

fn from_peer(message: MeshMessage) -> Event {
    Event::Mesh {
        from: ControllerName::from("n1"),
        message,
    }
}

fn peer_heartbeat() -> MeshMessage {
    let peer_heartbeat_ages = vec![("n0".to_owned(), 20)];
    MeshMessage::Heartbeat {
        incarnation: 9,
        revision: 1,
        state_contact: true,
        ready: true,
        peer_heartbeat_ages,
    }
}

fn subscription() -> MeshMessage {
    MeshMessage::Subscribe {
        partition: 0,
        incarnation: INCARNATION,
        term: 1,
        applied: 0,
    }
}

/// A controller on whose machines an array and a service run, while other tasks wait.
fn busy_controller() -> SingleController {
    let mut single_controller = SingleController::with_silent_peer(MACHINES);
    single_controller.submit(JobKind::Service, 1);
    single_controller.submit(JobKind::Array, 12);
    single_controller.submit(JobKind::Gang, 5);
    for _ in 0..30 {
        single_controller.tick(100);
        single_controller.inject(from_peer(peer_heartbeat()));
        for machine_index in 0..MACHINES {
            single_controller.send_heartbeat(machine_index);
        }
    }
    single_controller
}

#[test]
fn admin_views_match_golden_bytes() {
    let mut single_controller = busy_controller();
    let controller = single_controller.controller();
    controller.handle(REQUESTED_AT, from_peer(subscription()));
    let job = |id: &str| AdminRequest::Job(id.into());
    let entries = [
        reply_entry(controller, "settings", AdminRequest::Settings),
        reply_entry(controller, "partitions", AdminRequest::Partitions),
        reply_entry(controller, "standby", AdminRequest::Standby),
        reply_entry(controller, "machines", AdminRequest::Machines),
        reply_entry(controller, "queues", AdminRequest::Queues),
        reply_entry(controller, "job_service", job("j-000001")),
        reply_entry(controller, "job_array", job("j-000002")),
        reply_entry(controller, "job_gang", job("j-000003")),
        reply_entry(controller, "job_not_open", job("j-000099")),
        reply_entry(controller, "job_malformed", job("nothing")),
        reply_entry(controller, "metrics", AdminRequest::Metrics),
    ];
    golden::check("admin_views.txt", &entries);
}

/// A restarted controller refuses requests that it can't answer before it leads its partition again.
#[test]
fn refusal_counts_match_golden_bytes() {
    let mut single_controller = SingleController::new(MACHINES);
    single_controller.restart();
    single_controller.submit(JobKind::Array, 1);
    for _ in 0..200 {
        single_controller.tick(20);
        single_controller.send_heartbeat(0);
    }
    let effects = single_controller.controller().handle(
        Timestamp::from_millis(30_000),
        Event::Admin {
            ticket: TICKET,
            request: AdminRequest::Metrics,
        },
    );
    let reply = admin_reply(&effects).expect("a reply");
    let body: Value = serde_json::from_str(reply.trim_start_matches("200 ")).expect("JSON");
    let entries = [Entry::text("refusals", body["refusals"].to_string())];
    golden::check("admin_refusals.txt", &entries);
}

fn settings_change(settings: Value) -> AdminRequest {
    AdminRequest::ChangeSettings {
        version: 7,
        settings,
    }
}

#[test]
fn invalid_settings_are_rejected_with_field_name() {
    let mut single_controller = SingleController::new(MACHINES);
    let controller = single_controller.controller();
    let entries = [
        reply_entry(
            controller,
            "unknown_field",
            settings_change(json!({ "lease_s": 3.0 })),
        ),
        reply_entry(
            controller,
            "wrong_type",
            settings_change(json!({ "window": "many" })),
        ),
        reply_entry(
            controller,
            "out_of_bounds",
            settings_change(json!({ "window": 0 })),
        ),
        reply_entry(
            controller,
            "below_another",
            settings_change(json!({ "max_backoff_s": 0.01 })),
        ),
        reply_entry(
            controller,
            "initial_backoff",
            settings_change(json!({ "initial_backoff_s": 0.0 })),
        ),
        reply_entry(
            controller,
            "leftover",
            settings_change(json!({ "leftover_s": 0.0 })),
        ),
        reply_entry(
            controller,
            "silence",
            settings_change(json!({ "silence_s": 0.0 })),
        ),
        reply_entry(
            controller,
            "faulty_after",
            settings_change(json!({ "faulty_after": 0 })),
        ),
        reply_entry(
            controller,
            "set_back",
            settings_change(json!({ "set_back": 1001 })),
        ),
        reply_entry(
            controller,
            "absorb",
            settings_change(json!({ "absorb_s": -1.0 })),
        ),
        reply_entry(
            controller,
            "short_set_back",
            settings_change(json!({ "short_set_back": 1001 })),
        ),
        reply_entry(
            controller,
            "horizon",
            settings_change(json!({ "horizon_s": 0.0 })),
        ),
        reply_entry(
            controller,
            "keep_idle",
            settings_change(json!({ "keep_idle_s": -1.0 })),
        ),
        reply_entry(
            controller,
            "paid",
            settings_change(json!({ "paid_s": -1.0 })),
        ),
        reply_entry(
            controller,
            "shift_idle",
            settings_change(json!({ "shift_idle_s": -1.0 })),
        ),
        reply_entry(
            controller,
            "shift_count",
            settings_change(json!({ "shift_count": 1001 })),
        ),
        reply_entry(
            controller,
            "silent",
            settings_change(json!({ "silent_s": 0.0 })),
        ),
        reply_entry(
            controller,
            "boot_trust",
            settings_change(json!({ "boot_trust": 0.0 })),
        ),
        reply_entry(
            controller,
            "boot_patience",
            settings_change(json!({ "boot_patience": 0 })),
        ),
    ];
    golden::check("admin_errors.txt", &entries);
}

/// Requests a change of the settings; returns the call that writes them, and its transaction.
fn write_settings(controller: &mut Controller, settings: Value) -> (CallId, Transaction) {
    let write = send_request(controller, settings_change(settings))
        .into_iter()
        .find_map(|effect| match effect {
            Effect::State {
                call,
                request: StateRequest::Transaction(txn),
                ..
            } => txn
                .writes
                .iter()
                .any(|write| write.key() == TUNING_KEY)
                .then_some((call, txn)),
            _ => None,
        });
    write.expect("a write of the settings")
}

/// An entry of the reply to a change of the settings, after this reply of the state service.
fn settings_reply_entry(name: &'static str, reply: StateReply) -> Entry {
    let mut single_controller = SingleController::new(MACHINES);
    let controller = single_controller.controller();
    let (call, _) = write_settings(controller, json!({ "window": 32 }));
    let effects = controller.handle(REQUESTED_AT, Event::State { call, reply });
    Entry::text(
        name,
        admin_reply(&effects).unwrap_or_else(|| panic!("no reply to {name}")),
    )
}

/// An entry of the transaction that writes these settings.
fn settings_write_entry(name: &'static str, settings: Value) -> Entry {
    let mut single_controller = SingleController::new(MACHINES);
    let (_, txn) = write_settings(single_controller.controller(), settings);
    Entry::text(name, golden::to_json(&txn))
}

#[test]
fn settings_changes_match_golden_bytes() {
    let conflict = StateReply::Conflict {
        failed: vec!["s/c".into()],
        revision: 90,
    };
    let entries = [
        settings_write_entry("write", json!({ "window": 32, "preempt": false })),
        settings_write_entry("write_defaults", json!({})),
        settings_reply_entry("committed", StateReply::Committed { revision: 91 }),
        settings_reply_entry("stale", conflict),
        settings_reply_entry("unknown", StateReply::Unknown),
    ];
    golden::check("admin_changes.txt", &entries);
}
