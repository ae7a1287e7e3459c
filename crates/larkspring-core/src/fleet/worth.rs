//! What an answer is worth to its caller, against other answers.
//!
//! Only the order of requests that wait for the same thing depends on it, so the unit is
//! free: 1 is the answer in time to a prompt without tokens.

/// Part of its worth that an answer keeps when it begins late; the deployments' lists of
/// requests say 0.3 of every kind.
pub const LATE: f64 = 0.3;
/// Worth of an adapter that is loaded ahead of requests: that of one short request, as one
/// will come for it. It is due late, so of equals it comes last.
pub const OF_COPY: f64 = 1.0;
/// Growth of the worth for each 1,000 tokens of the prompt. The deployments' lists make an
/// answer to 9,000 tokens worth 2.7 times one to 800; this makes it 3.
const PER_THOUSAND_TOKENS: f64 = 0.3;

/// Returns what an answer in time to a prompt is worth.
pub fn of_prompt(tokens: u32) -> f64 {
    1.0 + PER_THOUSAND_TOKENS * f64::from(tokens) / 1000.0
}
