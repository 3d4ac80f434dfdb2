//! Codec tests: streams in any split, arbitrary bytes, and the reaction to each kind of malformed input.

mod clients;
mod lines;
mod split;
mod tools;
