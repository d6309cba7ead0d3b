//! Load tests: real controller processes over loopback, with everything around them simulated.
//!
//! An experiment is described by a TOML file, which is checked before the run. The state service, the cloud, the workers
//! and the users are simulated according to the protocols, in separate processes. The logic of the services and of the
//! workers is in the crate `simulator`; this crate adds sockets, clocks and measurements. No tasks are run.

pub mod capacity;
pub mod cloud;
pub mod config;
pub mod controllers;
pub mod experiment;
pub mod fit;
pub mod http;
pub mod limits;
pub mod observations;
pub mod processes;
pub mod report;
pub mod role;
pub mod rules;
pub mod run_layout;
pub mod state_service;
pub mod users;
pub mod workers;
