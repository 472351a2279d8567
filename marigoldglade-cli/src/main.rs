//! The marigoldglade command line.
fn main() {}
