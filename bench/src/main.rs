//! Benchmarks that drive the shipping decisions.
fn main() {}
