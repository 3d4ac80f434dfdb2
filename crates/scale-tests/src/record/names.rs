//! Names that the measurements draw; their lengths are assumptions.

/// A function's name: 16 bytes.
pub fn function_name(n: usize) -> String {
    format!("function-{n:07}")
}

/// A front end's name: 12 bytes.
pub fn member_name(n: usize) -> String {
    format!("front-{n:06}")
}
