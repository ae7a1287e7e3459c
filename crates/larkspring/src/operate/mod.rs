//! Declarations of operators: read and checked from files, and written as one change.

pub mod declare;
pub mod plan;
pub mod publish;
