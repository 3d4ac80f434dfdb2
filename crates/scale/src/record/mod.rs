//! The record: sessions of front ends with real replicas over loopback, and changes until they are in force.

use crate::plan::Measure;

pub const MEASURES: &[Measure] = &[];
