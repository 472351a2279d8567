//! The placement decisions, driven around a small data centre.

#[path = "placement/guarantee.rs"]
mod guarantee;
#[path = "placement/planner.rs"]
mod planner;
#[path = "placement/quarantine.rs"]
mod quarantine;
#[path = "placement/site.rs"]
mod site;
