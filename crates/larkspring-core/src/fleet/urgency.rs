//! The order in which an engine prefills waiting prompts.
//!
//! An engine prefills one prompt after the other, the most urgent first, so a prompt that
//! is served in time delays all prompts behind. Three rules limit this delay: short
//! prompts go first, as they delay others little; long prompts are ordered by their
//! slack; a prompt that can no longer be in time goes last, as a further delay does not
//! reduce its value.

use std::time::Duration;

use super::prefill::PREFILL_TOKENS_PER_MS;

/// Prefill priority of a prompt; 0 is the most urgent.
pub type Urgency = u32;

/// Urgency of a prompt that can no longer be in time.
const LATE_URGENCY: Urgency = 8;
/// Lowest urgency of a prompt that can be in time.
const LOWEST_TIMELY_URGENCY: Urgency = 7;
/// Tokens below which a prompt is short: its prefill takes up to 80 ms, an eighth of the
/// shortest objective of the deployments.
const SHORT_PROMPT_TOKENS: u32 = 3000;
/// Slack that counts as one step less urgent: about half of the prefill time of the
/// median long prompt.
const SLACK_STEP: Duration = Duration::from_millis(100);

/// Returns the prefill urgency of a prompt.
///
/// `rank` is the priority of its route, 0 the highest; `left` is the time until the
/// answer would begin late; `uncached_tokens` is the number of tokens that the engine has
/// not processed before.
pub fn urgency(rank: u32, left: Duration, uncached_tokens: u32) -> Urgency {
    let prefill = Duration::from_secs_f64(
        f64::from(uncached_tokens) / PREFILL_TOKENS_PER_MS / 1000.0,
    );
    let Some(slack) = left.checked_sub(prefill) else { return LATE_URGENCY };
    if uncached_tokens < SHORT_PROMPT_TOKENS {
        return rank.min(LOWEST_TIMELY_URGENCY);
    }
    let steps = (slack.as_millis() / SLACK_STEP.as_millis()) as u32;
    (rank.max(1) + steps).min(LOWEST_TIMELY_URGENCY)
}
