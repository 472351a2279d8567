//! Jobs of steps of tasks, run by workers that enforce capacity, leases and fencing themselves.
//!
//! The [`engine`] takes calls of clients, reports of workers and outcomes of commits, and emits
//! orders to workers, commits and replies. The other modules are its parts: the job as submitted
//! ([`spec`]) and as stored ([`record`]), the operators' configuration ([`policy`]), messages between
//! daemons ([`messages`]), the protocol with workers ([`worker`]), the workers that the registry lists ([`roster`]) and
//! those on the stored list ([`worker_list`]),
//! the data centres that the operators have evacuated ([`evacuations`]),
//! the daemons that relay orders to them ([`links`]), earlier owners that may still act ([`succession`]),
//! attempts at submissions that may take effect late ([`attempts`], [`refused`]), and the decisions ([`admission`], [`commit_order`], [`rank`], [`pack`], [`preempt`], [`pace`],
//! [`advice`], [`health`], [`finish`]), and what finished runs have shown ([`run_times`]).

pub mod admission;
pub mod advice;
pub mod attempts;
pub mod commit_order;
pub mod engine;
pub mod evacuations;
pub mod finish;
pub mod health;
pub mod id;
pub mod links;
pub mod messages;
pub mod pace;
pub mod pack;
pub mod policy;
pub mod preempt;
pub mod rank;
pub mod record;
pub mod refused;
pub mod roster;
pub mod run_times;
pub mod spec;
pub mod succession;
pub mod worker;
pub mod worker_list;
