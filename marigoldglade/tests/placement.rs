//! Tests of the planner in a simulated data centre.

#[path = "placement/guarantee.rs"]
mod guarantee;
#[path = "placement/planner.rs"]
mod planner;
#[path = "placement/quarantine.rs"]
mod quarantine;
#[path = "placement/site.rs"]
mod site;
