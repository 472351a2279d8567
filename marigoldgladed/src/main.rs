//! The marigoldglade daemon.
fn main() {}
