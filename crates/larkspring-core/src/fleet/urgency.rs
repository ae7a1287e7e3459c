//! In which order an engine reads the prompts that wait there.
//!
//! An engine reads one prompt after the other, the most urgent first, so whoever is let
//! pass is in time at the cost of those behind. Three rules decide, each by what it takes
//! from others: a short prompt delays nobody by much and goes first; of the long ones the
//! one with the least time to spare; one that is late whatever is done goes last, since
//! it is worth the same a little later.

use std::time::Duration;

use super::reading::TOKENS_PER_MS;

/// How urgently an engine reads a prompt; 0 is the most urgent.
pub type Urgency = u32;

/// Urgency of what is late whatever is done.
const LATE: Urgency = 8;
/// Least urgency of what can be in time.
const LEAST_TIMELY: Urgency = 7;
/// Tokens up to which a prompt is short: it is read in 80 ms, an eighth of the shortest
/// objective of the deployments.
const SHORT_PROMPT: u32 = 3000;
/// Time to spare that counts as one step less urgent: about half of the time in which the
/// middle one of the long prompts is read.
const STEP: Duration = Duration::from_millis(100);

/// Returns how urgently a prompt is to be read.
///
/// `rank` is that of its route, 0 the highest; `left` is the time until its answer begins
/// late, `unread` are the tokens that the engine has not read before.
pub fn urgency(rank: u32, left: Duration, unread: u32) -> Urgency {
    let reading = Duration::from_secs_f64(f64::from(unread) / TOKENS_PER_MS / 1000.0);
    let Some(spare) = left.checked_sub(reading) else { return LATE };
    if unread < SHORT_PROMPT {
        return rank.min(LEAST_TIMELY);
    }
    let steps = (spare.as_millis() / STEP.as_millis()) as u32;
    (rank.max(1) + steps).min(LEAST_TIMELY)
}
