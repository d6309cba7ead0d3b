//! The settings file as the platform writes it: the names of its fields, the settings that they are read
//! as, and the errors for invalid values.

use std::time::Duration;

#[path = "../../wire/tests/golden/mod.rs"]
mod golden;

use golden::Entry;
use model::settings::{Peer, StateLimits, Team, WorkerTimings};
use model::{ControllerName, Resources, Settings, TeamName, ZoneName};
use std::collections::BTreeMap;
use std::net::SocketAddr;

const FULL: &str = include_str!("data/settings.toml");
const PLAIN: &str = include_str!("data/settings_plain.toml");

/// Invalid files: name of the case, the text that is replaced in the full file, and its replacement.
const INVALID_FILES: &[(&str, &str, &str)] = &[
    ("member_missing", "member = \"n0\"\n", ""),
    ("member_empty", "member = \"n0\"", "member = \"\""),
    (
        "zone_empty",
        "zone = \"north\"\nserve_on",
        "zone = \"\"\nserve_on",
    ),
    ("serve_on", "10.0.0.1:8080", "10.0.0.1"),
    ("mesh_addr", "10.0.0.1:8081", "here"),
    ("endpoints_cloud", "10.1.0.1:9001", "cloud:9001"),
    ("endpoints_state", "10.1.0.2:9002", ""),
    ("peer_endpoint", "[::1]:8083", "::1"),
    ("team_cpus", "cpus = 64.5", "cpus = -1.0"),
    ("team_cpus_max", "cpus_max = 128.0", "cpus_max = nan"),
    ("team_gpus", "gpus = 8.0", "gpus = inf"),
    ("team_gpus_max", "gpus_max = 16.0", "gpus_max = -0.5"),
    ("team_twice", "name = \"guests\"", "name = \"vision\""),
    ("objective_within", "within_s = 600.5", "within_s = 0.0"),
    ("report", "report_s = 1.5", "report_s = 0.0"),
    ("lease", "lease_s = 20.0", "lease_s = -20.0"),
    ("gang_wait", "gang_wait_s = 45.0", "gang_wait_s = 0.0"),
    ("gang_peer", "gang_peer_s = 8.0", "gang_peer_s = inf"),
    ("cancel", "cancel_s = 60.25", "cancel_s = nan"),
    ("state_rps", "rps = 100.0", "rps = 0.0"),
    ("state_write_rps", "write_rps = 40.0", "write_rps = -1.0"),
    ("state_value_small", "value_kb = 8.5", "value_kb = 0.5"),
    ("state_value", "value_kb = 8.5", "value_kb = 0.0"),
    ("state_txn_ops", "txn_ops = 6", "txn_ops = 1"),
    ("cloud_rps", "rps = 10.0", "rps = 0.0"),
];

fn address(text: &str) -> SocketAddr {
    text.parse().expect("parse address")
}

fn peer(name: &str, zone: &str, mesh_address: &str) -> Peer {
    Peer {
        name: ControllerName::from(name),
        zone: ZoneName::from(zone),
        mesh_address: address(mesh_address),
    }
}

fn teams() -> Vec<Team> {
    let vision = Team {
        name: TeamName::from("vision"),
        guarantee: Resources {
            milli_cpus: 64_500,
            milli_gpus: 8_000,
            memory_mb: 0,
        },
        limit: Resources {
            milli_cpus: 128_000,
            milli_gpus: 16_000,
            memory_mb: 0,
        },
    };
    let guests = Team {
        name: TeamName::from("guests"),
        guarantee: Resources::default(),
        limit: Resources {
            milli_cpus: u64::MAX,
            milli_gpus: u64::MAX,
            memory_mb: 0,
        },
    };
    vec![vision, guests]
}

fn plain_settings() -> Settings {
    Settings {
        name: ControllerName::from("n0"),
        zone: ZoneName::from("north"),
        listen_address: address("10.0.0.1:8080"),
        mesh_address: address("10.0.0.1:8081"),
        peers: Vec::new(),
        cloud_address: address("10.1.0.1:9001"),
        state_address: address("10.1.0.2:9002"),
        teams: Vec::new(),
        workers: WorkerTimings {
            heartbeat_interval: Duration::from_millis(1_500),
            lease_duration: Duration::from_secs(20),
            gang_start_timeout: Duration::from_secs(45),
            gang_peer_timeout: Duration::from_secs(8),
            cancel_deadline: Duration::from_millis(60_250),
        },
        state_limits: StateLimits {
            requests_per_s: 100.0,
            writes_per_s: 40.0,
            max_value_bytes: 8_704,
            max_txn_ops: 6,
        },
        cloud_requests_per_s: 10.0,
        cloud_list_lag: Duration::from_millis(8_250),
        max_sockets: 1_000,
        completion_objectives: BTreeMap::new(),
    }
}

fn full_settings() -> Settings {
    Settings {
        peers: vec![
            peer("n1", "south", "10.0.0.2:8082"),
            peer("n2", "north", "[::1]:8083"),
        ],
        teams: teams(),
        max_sockets: 321,
        completion_objectives: BTreeMap::from([(
            "train".to_owned(),
            Duration::from_millis(600_500),
        )]),
        ..plain_settings()
    }
}

#[test]
fn settings_files_are_read() {
    assert_eq!(
        Settings::parse(FULL).expect("parse full file"),
        full_settings()
    );
    assert_eq!(
        Settings::parse(PLAIN).expect("parse plain file"),
        plain_settings()
    );
}

fn error_entry(name: &'static str, replaced: &str, replacement: &str) -> Entry {
    assert!(FULL.contains(replaced), "{name}: {replaced}");
    let text = FULL.replacen(replaced, replacement, 1);
    let error = Settings::parse(&text).expect_err(name);
    Entry::text(name, error.to_string())
}

#[test]
fn errors_name_the_invalid_field() {
    let entries: Vec<Entry> = INVALID_FILES
        .iter()
        .map(|(name, replaced, replacement)| error_entry(name, replaced, replacement))
        .collect();
    golden::check("settings_errors.txt", &entries);
}
