//! Decisions, formats and clients of the marigoldglade scheduler.
//!
//! Callers' requests and jobs flow in, actions for the daemon's shells flow out. No module here
//! owns a clock, a thread or a socket: time comes in as [`time::UnixMs`], randomness from a seeded
//! generator, and input and output pass through plain structs of closures.

pub mod api;
pub mod breaker;
pub mod budget;
pub mod config;
pub mod config_accept;
pub mod config_check;
pub mod config_diff;
pub mod config_edit;
pub mod config_locate;
pub mod error;
pub mod etcd;
pub mod label;
pub mod plan;
pub mod prelude;
pub mod settings;
pub mod spread;
pub mod store;
pub mod store_client;
pub mod time;
pub mod wire;
