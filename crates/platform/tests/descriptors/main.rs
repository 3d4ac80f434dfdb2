//! The descriptor limit is reached: by accepted clients, by connections to executors, by both, and in the presence of
//! the event bus.

mod ends;
mod limit;
mod stage;
