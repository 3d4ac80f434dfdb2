//! Behaviour tests of the decision module: each rule in both directions, a regression test for each fault found, and a
//! randomised checker of the actions under many settings. No worker is simulated; the outcomes are scripted or random.

mod confirmation;
mod drawn;
mod five_rules;
mod learning;
mod load_reports;
mod placement;
mod process_identity;
mod queueing;
mod support;
