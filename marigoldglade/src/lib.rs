//! Decisions, formats and clients of the marigoldglade scheduler.
//!
//! Callers' requests and jobs flow in, actions for the daemon's shells flow out. No module here
//! owns a clock, a thread or a socket: time comes in as [`time::UnixMs`], randomness from a seeded
//! generator, and input and output pass through plain structs of closures.

pub mod api;
pub mod config;
pub mod config_check;
pub mod config_diff;
pub mod config_edit;
pub mod config_locate;
pub mod error;
pub mod etcd;
pub mod events;
pub mod explain;
pub mod frame_auth;
pub mod gang;
pub mod jobs;
pub mod label;
pub mod member;
pub mod mesh;
pub mod owner;
pub mod plan;
pub mod prelude;
pub mod record;
pub mod roles;
pub mod settings;
pub mod store;
pub mod time;
pub mod wire;
pub mod worker_link;
pub mod writer;
