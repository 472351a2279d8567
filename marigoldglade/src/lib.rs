//! Decisions, formats and clients of the marigoldglade scheduler.
//!
//! Callers' requests and jobs flow in, actions for the daemon's shells flow out. No module here
//! owns a clock, a thread or a socket: time comes in as [`time::UnixMs`], randomness from a seeded
//! generator, and input and output pass through plain structs of closures.

pub mod api;
mod blocks;
pub mod config;
mod decide;
pub mod error;
mod fleet;
pub mod guarantee;
mod job;
pub mod label;
pub mod order;
mod own;
pub mod place;
pub mod plan;
pub mod planner;
pub mod prelude;
pub mod reclaim;
pub mod settings;
pub mod store;
pub mod time;
pub mod wire;
