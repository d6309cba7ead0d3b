//! Wire formats of every interface of trackcrank.
//!
//! Rust names are the standard terms of cluster scheduling; the names used on the wire appear only as
//! serde renames. Clients may depend on this crate alone.

#![warn(missing_docs)]

pub mod cloud;
pub mod http;
pub mod json;
pub mod limits;
pub mod mesh;
pub mod state;
pub mod users;
pub mod workers;
