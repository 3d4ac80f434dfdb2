//! Marks of attempts on disk: before the first attempt of a call that may not simply be repeated, that it may have run.
#![forbid(unsafe_code)]
