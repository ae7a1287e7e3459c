//! Mechanisms of the decisions that can be disabled, to measure the effect of each.

/// A mechanism of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// An adapter that is not resident anywhere is sent to the engine that all entries
    /// agree on.
    HomeRank,
    /// An engine that held an adapter recently is expected to load the adapter faster.
    HostCopies,
    /// Adapters are loaded ahead of requests.
    LoadAhead,
    /// Agents report their engine's prefill backlog to entries.
    BacklogReports,
    /// Endpoints with recent failures get fewer requests.
    Quality,
    /// A request waits for an endpoint for some time before it is refused.
    EndpointWait,
    /// Adapters are loaded in the order of the utility of the answers.
    UtilityOrder,
    /// An answer to a longer prompt has a higher utility.
    UtilityBySize,
    /// Engines prefill prompts in an order that limits the delay to other prompts.
    PrefillOrder,
    /// Fetches wait at the agents while the weight store is overloaded.
    PacedFetches,
    /// An adapter in use gets no new requests while others wait for its slot.
    Retiring,
}

/// The mechanisms that are disabled; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DisabledMechanisms(u16);

impl DisabledMechanisms {
    /// Disables another mechanism.
    pub fn and(self, mechanism: Mechanism) -> Self {
        Self(self.0 | bit(mechanism))
    }

    /// Whether a mechanism is enabled.
    pub fn is_enabled(self, mechanism: Mechanism) -> bool {
        self.0 & bit(mechanism) == 0
    }
}

impl FromIterator<Mechanism> for DisabledMechanisms {
    fn from_iter<T: IntoIterator<Item = Mechanism>>(mechanisms: T) -> Self {
        mechanisms.into_iter().fold(Self::default(), Self::and)
    }
}

fn bit(mechanism: Mechanism) -> u16 {
    1 << mechanism as u16
}
