//! Workspaces: the customers that callers belong to, with their keys and rate limits.

use std::collections::{HashMap, HashSet};
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use quick_error::quick_error;
use sha2::{Digest, Sha256};

use crate::fleet::routes::AllowedRegions;
use crate::ids::WorkspaceId;

/// All workspaces of one version of the declared state, indexed by their keys.
#[derive(Clone, PartialEq, Default)]
pub struct Workspaces {
    by_key: HashMap<ApiKeyHash, Arc<Workspace>>,
    count: usize,
}

/// A customer whose callers share keys, a priority and a limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Priority of the workspace's requests, which overrides that of their route; 0 is
    /// the most urgent.
    pub priority: Option<u32>,
    /// Limit over all entries together; `None` for no limit.
    pub limit: Option<WorkspaceLimit>,
    /// Where the workspace's requests may be served.
    pub regions: AllowedRegions,
}

/// Rate limit of a workspace over all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceLimit {
    /// Rate, in units a second.
    pub units_per_sec: f64,
    /// Units that may be used at once on top of the rate, after an idle time.
    pub burst: f64,
    /// The unit of the figures.
    pub unit: LimitUnit,
}

/// Unit of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitUnit {
    /// Requests, each counted as one unit.
    Requests,
    /// Tokens of prompt and answer.
    Tokens {
        /// Tokens counted for a request that states no number of tokens.
        unsized_request: f64,
    },
}

impl WorkspaceLimit {
    /// Returns the units counted for a request with `tokens` in its prompt and answer.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            LimitUnit::Requests => 1.0,
            LimitUnit::Tokens { unsized_request } => {
                tokens.map_or(unsized_request, |n| n as f64)
            }
        }
    }
}

/// SHA-256 of a caller's key; the key itself is not stored.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyHash([u8; 32]);

impl ApiKeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Debug for ApiKeyHash {
    /// Keeps the hash, which identifies a key, out of logs and panic messages.
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// The credential that a request carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Credential {
    /// No key.
    Missing,
    /// More than one key, or a value that can't be a key.
    Malformed,
    /// A single key.
    Key(ApiKeyHash),
}

quick_error! {
    /// Error in declared workspaces. The texts never hold a key.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WorkspaceError {
        /// Two workspaces have the same name.
        DuplicateName(name: String) { display("workspaces: {name}: declared twice") }
        /// A workspace has an empty key.
        EmptyKey(name: String) { display("workspaces: {name}: keys: one is empty") }
        /// A key belongs to two workspaces.
        SharedKey(first: String, second: String) {
            display("workspaces: {second}: keys: one is also a key of {first}")
        }
        /// A figure of a limit is negative or not a number.
        InvalidFigure(name: String, field: &'static str, value: String) {
            display("workspaces: {name}: {field}: {value} is not a number from 0 on")
        }
        /// A limit has an unknown unit.
        UnknownUnit(name: String, value: String) {
            display("workspaces: {name}: unit: {value:?} is neither requests nor tokens")
        }
    }
}

impl Workspaces {
    /// Checks and indexes workspaces, each with the hashes of its keys.
    pub fn new(
        declared: impl IntoIterator<Item = (Workspace, Vec<ApiKeyHash>)>,
    ) -> Result<Self, WorkspaceError> {
        let empty = ApiKeyHash::of(b"");
        let mut names = HashSet::new();
        let mut by_key: HashMap<_, Arc<Workspace>> = HashMap::new();
        for (workspace, keys) in declared {
            let name = workspace.name.to_string();
            validate_limit(&workspace)?;
            if !names.insert(name.clone()) {
                return Err(WorkspaceError::DuplicateName(name));
            }
            let workspace = Arc::new(workspace);
            for key in keys {
                if key == empty {
                    return Err(WorkspaceError::EmptyKey(name));
                }
                let other = by_key.insert(key, workspace.clone());
                if let Some(other) = other.filter(|other| other.name != workspace.name) {
                    return Err(WorkspaceError::SharedKey(other.name.to_string(), name));
                }
            }
        }
        Ok(Self { by_key, count: names.len() })
    }

    /// Returns the workspace that a key belongs to.
    ///
    /// The lookup is by hash, so the time that it takes reveals nothing about the key.
    pub fn find(&self, key: &ApiKeyHash) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns the number of workspaces.
    pub fn count(&self) -> usize {
        self.count
    }
}

impl Debug for Workspaces {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspaces")
            .field("count", &self.count)
            .field("keys", &self.by_key.len())
            .finish()
    }
}

fn validate_limit(workspace: &Workspace) -> Result<(), WorkspaceError> {
    let Some(limit) = workspace.limit else { return Ok(()) };
    let unsized_request = match limit.unit {
        LimitUnit::Requests => 0.0,
        LimitUnit::Tokens { unsized_request } => unsized_request,
    };
    let figures = [
        ("rate", limit.units_per_sec),
        ("burst", limit.burst),
        ("tokens of a request without a count", unsized_request),
    ];
    for (field, value) in figures {
        if !value.is_finite() || value < 0.0 {
            let name = workspace.name.to_string();
            return Err(WorkspaceError::InvalidFigure(name, field, value.to_string()));
        }
    }
    Ok(())
}
