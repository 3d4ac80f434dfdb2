//! The limit of descriptors reached: by what is accepted, by what is opened to executors, by both, and the event bus' part.

mod ends;
mod limit;
mod stage;
