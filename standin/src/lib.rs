//! Small stand-ins for the platform (key-value service, VM list), runners and workers.
//!
//! Each one serves HTTP on an address of its own, in threads of the process that starts it; each
//! program under `bin` starts one. They are for tests, benchmarks and the demo only.

pub mod batch_worker;
pub mod http;
pub mod kv;
pub mod platform;
pub mod proxy;
pub mod runner;
pub mod vms;
pub mod worker;

pub use http::Server;
