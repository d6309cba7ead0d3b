//! The administration API as bytes: views of a controller with machines and jobs, changes of the operators'
//! settings, and errors.

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
/// Later than everything that happens to the controller before it is asked.
const ASKED_AT: Timestamp = Timestamp::from_millis(8_000);
const TICKET: u64 = 1_000;
/// Incarnation of the controller under test.
const BOOT: u64 = 256;

fn ask(controller: &mut Controller, request: AdminRequest) -> Vec<Effect> {
    controller.handle(
        ASKED_AT,
        Event::Admin {
            ticket: TICKET,
            request,
        },
    )
}

/// The answer among a controller's effects, as its status and its body.
fn answer(effects: &[Effect]) -> Option<String> {
    effects.iter().find_map(|effect| match effect {
        Effect::Admin {
            ticket: TICKET,
            reply,
        } => Some(format!("{} {}", reply.status, golden::to_json(&reply.body))),
        _ => None,
    })
}

fn view(controller: &mut Controller, name: &'static str, request: AdminRequest) -> Entry {
    let effects = ask(controller, request);
    Entry::text(
        name,
        answer(&effects).unwrap_or_else(|| panic!("{name} is answered at once")),
    )
}

fn from_peer(message: MeshMessage) -> Event {
    Event::Mesh {
        from: ControllerName::from("n1"),
        message,
    }
}

fn sign_of_life() -> MeshMessage {
    let peer_heartbeat_ages = vec![("n0".to_owned(), 20)];
    MeshMessage::Heartbeat {
        incarnation: 9,
        revision: 1,
        state_contact: true,
        ready: true,
        peer_heartbeat_ages,
    }
}

fn follow() -> MeshMessage {
    MeshMessage::Subscribe {
        partition: 0,
        incarnation: BOOT,
        term: 1,
        applied: 0,
    }
}

/// A controller on whose machines an array and a service run, with more that waits.
fn busy_site() -> SingleController {
    let mut single_controller = SingleController::with_silent_peer(MACHINES);
    single_controller.submit(JobKind::Service, 1);
    single_controller.submit(JobKind::Array, 12);
    single_controller.submit(JobKind::Gang, 5);
    for _ in 0..30 {
        single_controller.tick(100);
        single_controller.inject(from_peer(sign_of_life()));
        for nth in 0..MACHINES {
            single_controller.send_heartbeat(nth);
        }
    }
    single_controller
}

#[test]
fn admin_views_match_golden_bytes() {
    let mut single_controller = busy_site();
    let controller = single_controller.controller();
    controller.handle(ASKED_AT, from_peer(follow()));
    let job = |id: &str| AdminRequest::Job(id.into());
    let entries = [
        view(controller, "settings", AdminRequest::Settings),
        view(controller, "partitions", AdminRequest::Partitions),
        view(controller, "standby", AdminRequest::Standby),
        view(controller, "machines", AdminRequest::Machines),
        view(controller, "queues", AdminRequest::Queues),
        view(controller, "job_service", job("j-000001")),
        view(controller, "job_array", job("j-000002")),
        view(controller, "job_gang", job("j-000003")),
        view(controller, "job_not_open", job("j-000099")),
        view(controller, "job_malformed", job("nothing")),
        view(controller, "metrics", AdminRequest::Metrics),
    ];
    golden::check("admin_views.txt", &entries);
}

/// A controller that was asked for more than it could answer before it had taken its partition over.
#[test]
fn admin_refusals_match_golden_names() {
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
    let answer = answer(&effects).expect("an answer");
    let body: Value = serde_json::from_str(answer.trim_start_matches("200 ")).expect("JSON");
    let entries = [Entry::text("refusals", body["refusals"].to_string())];
    golden::check("admin_refusals.txt", &entries);
}

fn change(settings: Value) -> AdminRequest {
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
        view(
            controller,
            "unknown_field",
            change(json!({ "lease_s": 3.0 })),
        ),
        view(
            controller,
            "wrong_type",
            change(json!({ "window": "many" })),
        ),
        view(controller, "out_of_bounds", change(json!({ "window": 0 }))),
        view(
            controller,
            "below_another",
            change(json!({ "max_backoff_s": 0.01 })),
        ),
        view(
            controller,
            "initial_backoff",
            change(json!({ "initial_backoff_s": 0.0 })),
        ),
        view(controller, "leftover", change(json!({ "leftover_s": 0.0 }))),
        view(controller, "silence", change(json!({ "silence_s": 0.0 }))),
        view(
            controller,
            "faulty_after",
            change(json!({ "faulty_after": 0 })),
        ),
        view(controller, "set_back", change(json!({ "set_back": 1001 }))),
        view(controller, "absorb", change(json!({ "absorb_s": -1.0 }))),
        view(
            controller,
            "short_set_back",
            change(json!({ "short_set_back": 1001 })),
        ),
        view(controller, "horizon", change(json!({ "horizon_s": 0.0 }))),
        view(
            controller,
            "keep_idle",
            change(json!({ "keep_idle_s": -1.0 })),
        ),
        view(controller, "paid", change(json!({ "paid_s": -1.0 }))),
        view(
            controller,
            "shift_idle",
            change(json!({ "shift_idle_s": -1.0 })),
        ),
        view(
            controller,
            "shift_count",
            change(json!({ "shift_count": 1001 })),
        ),
        view(controller, "silent", change(json!({ "silent_s": 0.0 }))),
        view(
            controller,
            "boot_trust",
            change(json!({ "boot_trust": 0.0 })),
        ),
        view(
            controller,
            "boot_patience",
            change(json!({ "boot_patience": 0 })),
        ),
    ];
    golden::check("admin_errors.txt", &entries);
}

/// Asks for a change; returns the transaction that this leads to, with its call.
fn write_settings(controller: &mut Controller, settings: Value) -> (CallId, Transaction) {
    let calls = ask(controller, change(settings))
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
    calls.expect("a write of the settings")
}

/// The answer to a change, after this answer of the state service.
fn changed(name: &'static str, reply: StateReply) -> Entry {
    let mut single_controller = SingleController::new(MACHINES);
    let controller = single_controller.controller();
    let (call, _) = write_settings(controller, json!({ "window": 32 }));
    let effects = controller.handle(ASKED_AT, Event::State { call, reply });
    Entry::text(
        name,
        answer(&effects).unwrap_or_else(|| panic!("{name} is answered")),
    )
}

fn written(name: &'static str, settings: Value) -> Entry {
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
        written("write", json!({ "window": 32, "preempt": false })),
        written("write_defaults", json!({})),
        changed("committed", StateReply::Committed { revision: 91 }),
        changed("stale", conflict),
        changed("unknown", StateReply::Unknown),
    ];
    golden::check("admin_changes.txt", &entries);
}
