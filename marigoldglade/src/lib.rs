//! Decisions, formats and clients of the marigoldglade scheduler.
//!
//! Its modules take requests, jobs and replies, and return actions that the daemon carries out. No
//! module owns a clock, a thread or a socket: callers pass the time as [`time::UnixMs`] and a seeded
//! random generator, and input and output go through structs of closures.

pub mod admit;
pub mod api;
pub mod batch;
mod blocks;
pub mod breaker;
pub mod budget;
pub mod claim;
pub mod classify;
pub mod config;
pub mod config_accept;
pub mod config_check;
pub mod config_diff;
pub mod config_edit;
pub mod config_gossip;
pub mod config_locate;
mod decide;
pub mod drain;
pub mod error;
pub mod etcd;
pub mod events;
pub mod explain;
mod fleet;
pub mod frame_auth;
pub mod gang;
pub mod guarantee;
mod guaranteed;
mod intake;
mod job;
pub mod job_call;
pub mod jobs;
pub mod label;
pub mod member;
pub mod mesh;
pub mod order;
pub mod owner;
pub mod place;
pub mod plan;
pub mod planner;
pub mod prelude;
pub mod quarantine;
pub mod queue;
pub mod reclaim;
pub mod record;
pub mod requests;
pub mod reserve;
pub mod retry;
pub mod roles;
pub mod route;
pub mod settings;
pub mod share;
pub mod slots;
pub mod store;
pub mod store_client;
pub mod time;
pub mod view;
pub mod wire;
mod worker_health;
pub mod worker_link;
pub mod writer;
pub mod yaml;
