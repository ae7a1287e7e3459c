//! The agents that keep the newest routing for entries that start.
//!
//! The store may hold an older routing than was in force: after a late write of the
//! operator, or after a restore from a backup. An entry that has just started asks the
//! agents before it takes a list of the store for proof that nothing newer exists.

use std::collections::HashMap;

use super::routes::RoutingVersion;
use crate::ids::Incarnation;

/// What the agents replied to an entry that has started.
#[derive(Debug, Default)]
pub struct KeeperReplies {
    replies: HashMap<Incarnation, Reply>,
}

/// What is known of one agent.
#[derive(Debug, Clone, Copy)]
enum Reply {
    /// It replied with the version that it keeps; 0 if none.
    Keeps(RoutingVersion),
    /// It gave no reply to this number of calls.
    Failed(u32),
}

/// Number of agents of an entry's own hall that keep the routing.
pub const OWN_HALL_KEEPERS: usize = 2;
/// Number of other halls of which one agent each keeps the routing.
pub const OTHER_HALL_KEEPERS: usize = 2;
/// Number of agents that keep a routing and have replied, after which no other reply is
/// waited for: entries tell every newer routing to all of them.
const ENOUGH_REPLIES: usize = 2;
/// Number of calls without a reply after which an agent counts as gone.
const MAX_CALLS: u32 = 3;

impl KeeperReplies {
    /// Records the version that an agent keeps, or `None` for a call without a reply.
    pub fn record(&mut self, agent: Incarnation, reply: Option<RoutingVersion>) {
        let before = self.replies.get(&agent).copied();
        let now = match (reply, before) {
            (Some(version), _) => Reply::Keeps(version),
            (None, Some(Reply::Failed(calls))) => Reply::Failed(calls + 1),
            (None, Some(Reply::Keeps(version))) => Reply::Keeps(version),
            (None, None) => Reply::Failed(1),
        };
        self.replies.insert(agent, now);
    }

    /// Returns whether an agent is still to be called.
    pub fn is_open(&self, agent: &Incarnation) -> bool {
        match self.replies.get(agent) {
            None => true,
            Some(Reply::Keeps(_)) => false,
            Some(Reply::Failed(calls)) => *calls < MAX_CALLS,
        }
    }

    /// Returns whether no other agent among `keepers` has to be waited for. An agent that
    /// keeps no routing has just started, so its reply shows nothing.
    pub fn is_settled<'a>(
        &self,
        mut keepers: impl Iterator<Item = &'a Incarnation>,
    ) -> bool {
        let keeps_one = |reply: &&Reply| matches!(reply, Reply::Keeps(1..));
        let enough = self.replies.values().filter(keeps_one).count() >= ENOUGH_REPLIES;
        enough || keepers.all(|agent| !self.is_open(agent))
    }
}
