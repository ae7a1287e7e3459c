//! Operators' declarations: parsed and validated from files, and published as one change.

pub mod declare;
pub mod plan;
pub mod publish;
