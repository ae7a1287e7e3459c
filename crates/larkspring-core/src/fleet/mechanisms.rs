//! Mechanisms of the decisions that can be disabled, to measure the effect of each.

/// A mechanism of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// An adapter that is not resident anywhere is sent to the engine that all entries
    /// agree on.
    HomeRank,
    /// An engine that held an adapter recently is expected to load the adapter faster.
    Copies,
    /// Adapters are loaded ahead of requests.
    CopyAhead,
    /// Agents report their engine's prefill backlog to entries.
    UnreadTold,
    /// Endpoints with recent failures get fewer requests.
    Quality,
    /// A request waits for an endpoint for some time before it is refused.
    Patience,
    /// Adapters are loaded in the order of the utility of the answers.
    WorthOrder,
    /// An answer to a longer prompt has a higher utility.
    WorthBySize,
    /// Engines prefill prompts in an order that limits the delay to other prompts.
    ReadingOrder,
    /// Fetches wait at the agents while the weight store is overloaded.
    PacedFetches,
    /// An adapter in use gets no new requests while others wait for its slot.
    Retiring,
}

/// The mechanisms that are disabled; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Without(u16);

impl Without {
    /// Disables another mechanism.
    pub fn and(self, mechanism: Mechanism) -> Self {
        Self(self.0 | bit(mechanism))
    }

    /// Whether a mechanism is enabled.
    pub fn uses(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) == 0
    }
}

impl FromIterator<Mechanism> for Without {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        mechanisms.into_iter().fold(Self::default(), Self::and)
    }
}

fn bit(mechanism: Mechanism) -> u16 {
    1 << mechanism as u16
}
