//! Load tests: real controller processes over loopback, with stand-ins for everything around them.
//!
//! An experiment is a checked TOML file. The state service, the cloud, the workers and the users are
//! stand-ins written from the protocols; each runs in a process of its own. What they decide is in
//! `simulator`; here are their sockets, clocks and measurements. No tasks are run.

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
