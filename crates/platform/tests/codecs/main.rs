//! Streams in any split, arbitrary bytes, and what each kind of bad input is answered with.

mod clients;
mod lines;
mod split;
mod tools;
