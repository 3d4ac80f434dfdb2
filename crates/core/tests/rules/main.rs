//! The module by its behaviour: each rule from both sides, each failure found, and a randomised checker of
//! actions under many settings. Nothing here models a worker; outcomes are drawn.

mod confirmation;
mod drawn;
mod five_rules;
mod learning;
mod load_reports;
mod placement;
mod queueing;
mod support;
