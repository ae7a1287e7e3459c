//! Whether a caller may send its request: its key, and its workspace's limit.

use std::sync::Arc;
use std::time::Duration;

use larkspring_core::fleet::routes::{Route, Routing};
use larkspring_core::limits::account::Verdict;
use larkspring_core::workspaces::{Credential, Workspace};

use super::answer::Reason;
use super::limits::Limits;
use super::Inner;
use crate::direct::edge::{CallerRequest, Kind};
use crate::direct::logs::{self, Line};

/// Units that a request took from its workspace's limit; given back when dropped, unless it
/// may have run.
pub(super) struct Charge {
    limits: Arc<Limits>,
    workspace: Arc<Workspace>,
    cost: f64,
    spent: bool,
}

/// Callers that are refused together are spread over this part of the time.
const SPREAD: f64 = 0.5;

impl Inner {
    /// Finds the workspace of a caller's key; `None` where no key is needed and none known.
    ///
    /// The view of the keys has to be newer than the time within which a key that is taken
    /// away is refused, whoever brought it. A request was sent before it is read here, so
    /// what was acknowledged that long before it was sent is in the view, however long this
    /// process stood still in between. A key that an old view does not know may be new.
    pub(super) fn authorize(
        &self,
        routing: &Routing,
        route: &Route,
        credential: Credential,
    ) -> Result<Option<Arc<Workspace>>, Reason> {
        let Some(workspaces) = &routing.workspaces else { return Ok(None) };
        let found = match credential {
            Credential::Key(key) => workspaces.find(&key).cloned(),
            Credential::Missing | Credential::Malformed => None,
        };
        if route.public {
            return Ok(found);
        }
        if !self.trusts_keys() {
            return Err(Reason::OldKeys);
        }
        match (found, credential) {
            (Some(workspace), _) => Ok(Some(workspace)),
            (None, Credential::Key(_)) if !self.trusts_absence() => Err(Reason::OldKeys),
            (None, Credential::Key(_)) => Err(Reason::UnknownKey),
            (None, _) => Err(Reason::NoKey),
        }
    }

    /// Whether the view of the keys is new enough to serve by.
    pub(super) fn trusts_keys(&self) -> bool {
        let Some(trusted) = self.cfg().process.trusted() else { return true };
        self.beliefs.proof_age(Kind::Routing).is_some_and(|age| age <= trusted)
    }

    /// Why a request is refused that no route takes: one that was declared since the routing
    /// was read is no reason to deny it.
    pub(super) fn no_route(&self) -> Reason {
        match self.trusts_absence() {
            true => Reason::NoRoute,
            false => Reason::OldRouting,
        }
    }

    /// Whether a key or route that the routing lacks is in none that may be in force.
    fn trusts_absence(&self) -> bool {
        let in_force = self.cfg().process.in_force;
        self.beliefs.proof_age(Kind::Routing).is_some_and(|age| age <= in_force)
    }

    /// Charges a request to its workspace's limit; an error tells when to come back.
    pub(super) async fn charge(
        &self,
        routing: &Routing,
        workspace: &Arc<Workspace>,
        caller: &CallerRequest,
    ) -> Result<Option<Charge>, Duration> {
        let Some(limit) = workspace.limit else { return Ok(None) };
        let cost = limit.cost(caller.tokens);
        match self.limits.admit(workspace, routing.version, cost).await {
            Verdict::Refused(after) => {
                self.stats.workspace(&workspace.name, "refused");
                let after = after.mul_f64(1.0 + SPREAD * fastrand::f64());
                if logs::allows(Line::Limit) {
                    tracing::info!(
                        event = "over limit",
                        request = caller.id,
                        workspace = %workspace.name,
                        cost,
                        limit_per_sec = limit.per_sec,
                        limit_burst = limit.burst,
                        routing = routing.version,
                        retry_after_ms = after.as_millis() as u64,
                    );
                }
                Err(after)
            }
            Verdict::Admitted => {
                self.stats.workspace(&workspace.name, "admitted");
                Ok(Some(Charge {
                    limits: self.limits.clone(),
                    workspace: workspace.clone(),
                    cost,
                    spent: false,
                }))
            }
        }
    }
}

impl Charge {
    /// Keeps what the request took, since it may have run.
    pub fn spend(&mut self) {
        self.spent = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            self.limits.give_back(&self.workspace, self.cost);
        }
    }
}
