//! Jobs of steps of tasks, run by workers that enforce capacity, leases and fencing themselves.
//!
//! Calls of callers, reports of workers and outcomes of commits flow into the [`engine`]; orders to
//! workers, commits and answers flow out. The other modules are its parts: what a job asks for
//! ([`spec`]), what is kept of it ([`record`]), who may ask ([`policy`]), what workers say
//! ([`worker`]), which earlier owners to reckon with ([`succession`]),
//! and the decisions ([`rank`], [`pack`], [`preempt`], [`pace`], [`advice`], [`health`], [`admission`]).

pub mod admission;
pub mod advice;
pub mod engine;
pub mod health;
pub mod id;
pub mod messages;
pub mod pace;
pub mod pack;
pub mod policy;
pub mod preempt;
pub mod rank;
pub mod record;
pub mod spec;
pub mod succession;
pub mod worker;
