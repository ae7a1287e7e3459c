//! The utility of an answer to its caller, relative to other answers.
//!
//! Utility only determines the order of requests that wait for the same resource, so its
//! unit is arbitrary: 1 is the answer in time to a prompt without tokens.

/// Part of the utility that remains when an answer begins late: 0.3 for every kind of
/// request in the deployments' request lists.
pub const LATE_FACTOR: f64 = 0.3;
/// Utility of an adapter that is loaded ahead of requests: that of the short request
/// expected for the adapter. The soft deadline of the load is late, so it comes last
/// among equals.
pub const LOAD_AHEAD_UTILITY: f64 = 1.0;
/// Increase of the utility for each 1,000 tokens of the prompt. By the deployments'
/// lists, an answer to 9,000 tokens has 2.7 times the utility of an answer to 800 tokens;
/// with this constant the ratio is 3.
const PER_THOUSAND_TOKENS: f64 = 0.3;

/// Returns the utility of an answer in time to a prompt.
pub fn of_prompt(tokens: u32) -> f64 {
    1.0 + PER_THOUSAND_TOKENS * f64::from(tokens) / 1000.0
}
