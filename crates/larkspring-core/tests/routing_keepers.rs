//! When an entry that has started no longer waits for agents that keep the routing.

use larkspring_core::fleet::routes::RoutingVersion;
use larkspring_core::fleet::routing_keepers::KeeperReplies;
use larkspring_core::ids::Incarnation;

struct Case {
    name: &'static str,
    keepers: &'static [&'static str],
    /// Replies in their order; `None` for a call without a reply.
    replies: &'static [(&'static str, Option<RoutingVersion>)],
    settled: bool,
}

const CASES: &[Case] = &[
    Case { name: "no agent", keepers: &[], replies: &[], settled: true },
    Case { name: "not asked", keepers: &["a"], replies: &[], settled: false },
    Case {
        name: "the only one replied",
        keepers: &["a"],
        replies: &[("a", Some(3))],
        settled: true,
    },
    Case {
        name: "one of three replied",
        keepers: &["a", "b", "c"],
        replies: &[("a", Some(3))],
        settled: false,
    },
    Case {
        name: "two of three keep a routing",
        keepers: &["a", "b", "c"],
        replies: &[("a", Some(3)), ("b", Some(2))],
        settled: true,
    },
    Case {
        name: "two of three have just started",
        keepers: &["a", "b", "c"],
        replies: &[("a", Some(0)), ("b", Some(0))],
        settled: false,
    },
    Case {
        name: "all have just started",
        keepers: &["a", "b"],
        replies: &[("a", Some(0)), ("b", Some(0))],
        settled: true,
    },
    Case {
        name: "one failed call",
        keepers: &["a"],
        replies: &[("a", None)],
        settled: false,
    },
    Case {
        name: "an agent that is gone",
        keepers: &["a"],
        replies: &[("a", None), ("a", None), ("a", None)],
        settled: true,
    },
    Case {
        name: "a reply after a failed call",
        keepers: &["a"],
        replies: &[("a", None), ("a", Some(2))],
        settled: true,
    },
];

/// Guards against an entry that trusts the store before agents could tell of a newer
/// routing, or that waits without end for agents that are gone.
#[test]
fn an_entry_waits_for_agents_that_may_keep_a_newer_routing() {
    for c in CASES {
        let mut replies = KeeperReplies::default();
        for (agent, reply) in c.replies {
            replies.record(Incarnation::from(*agent), *reply);
        }
        let keepers: Vec<_> = c.keepers.iter().map(|id| Incarnation::from(*id)).collect();
        assert_eq!(replies.is_settled(keepers.iter()), c.settled, "{}", c.name);
    }
}
