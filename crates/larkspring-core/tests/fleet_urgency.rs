//! Tests of the order in which an engine prefills prompts.

use std::time::Duration;

use larkspring_core::fleet::urgency::urgency;

#[test]
fn prefill_urgency_follows_size_rank_and_slack() {
    struct Case {
        name: &'static str,
        rank: u32,
        /// Milliseconds until the answer is late.
        left: u64,
        unread: u32,
        urgency: u32,
    }
    let cases = [
        Case { name: "short", rank: 0, left: 600, unread: 800, urgency: 0 },
        Case { name: "short, lower rank", rank: 2, left: 600, unread: 800, urgency: 2 },
        Case {
            name: "long, no time to spare",
            rank: 1,
            left: 500,
            unread: 18_000,
            urgency: 1,
        },
        Case { name: "long, some time", rank: 1, left: 800, unread: 18_000, urgency: 4 },
        Case { name: "long, much time", rank: 1, left: 5000, unread: 9000, urgency: 7 },
        Case {
            name: "long, highest rank",
            rank: 0,
            left: 500,
            unread: 18_000,
            urgency: 1,
        },
        Case { name: "long, lower rank", rank: 3, left: 800, unread: 18_000, urgency: 6 },
        Case { name: "read already", rank: 1, left: 100, unread: 0, urgency: 1 },
        Case { name: "late in any case", rank: 0, left: 400, unread: 18_000, urgency: 8 },
        Case { name: "late by now", rank: 0, left: 0, unread: 800, urgency: 8 },
        Case { name: "rank beyond all", rank: 30, left: 600, unread: 800, urgency: 7 },
    ];
    for c in cases {
        let left = Duration::from_millis(c.left);
        assert_eq!(urgency(c.rank, left, c.unread), c.urgency, "{}", c.name);
    }
}
