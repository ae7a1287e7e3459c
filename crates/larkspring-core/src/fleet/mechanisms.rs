//! Mechanisms of the decisions that can be switched off, to measure what each is worth.

/// One mechanism of the decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// An adapter that nobody holds goes to the engine that all entries agree on.
    HomeRank,
    /// An engine that held an adapter lately is known to load it sooner.
    Copies,
    /// Adapters are loaded ahead of requests.
    CopyAhead,
    /// Agents tell entries how much of the prompts is still to be read.
    UnreadTold,
    /// Endpoints that failed of late get fewer requests.
    Quality,
    /// A request waits a while for an endpoint before it is refused.
    Patience,
    /// Adapters are loaded in the order of what the answers are worth.
    WorthOrder,
    /// An answer to a longer prompt is worth more.
    WorthBySize,
    /// Engines read prompts in the order of what each takes from the others.
    ReadingOrder,
    /// Fetches wait at the agents while the weight store is full.
    PacedFetches,
    /// An adapter in use is kept from new requests when others wait for its place.
    Retiring,
}

/// The mechanisms that are switched off; none by default.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Without(u16);

impl Without {
    /// Switches a mechanism off as well.
    pub fn and(self, mechanism: Mechanism) -> Self {
        Self(self.0 | bit(mechanism))
    }

    /// Whether a mechanism is on.
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
