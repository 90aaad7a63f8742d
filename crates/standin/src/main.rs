//! Empty binary.
fn main() {}
