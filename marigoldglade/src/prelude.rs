//! The types that nearly every module uses.

pub use crate::error::{Error, Kind, Result};
pub use crate::label::{Labels, Selector};
pub use crate::time::UnixMs;
