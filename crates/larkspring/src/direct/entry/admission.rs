//! Authentication of callers by API key, and the limits of their workspaces.

use std::sync::Arc;
use std::time::Duration;

use larkspring_core::admission::shares::{class_of, Class};
use larkspring_core::fleet::routes::{Route, Routing};
use larkspring_core::fleet::utility;
use larkspring_core::limits::reservations::LimitDecision;
use larkspring_core::workspaces::{Credential, LimitUnit, Workspace, WorkspaceLimit};

use super::answer::ErrorReason;
use super::workspace_limits::Limits;
use super::EntryState;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::CallerRequest;
use crate::direct::replicated_state::RoutingView;

/// Units that a request took from its workspace's limit. They are returned on drop,
/// unless the request may have run.
pub(super) struct Charge {
    limits: Arc<Limits>,
    workspace: Arc<Workspace>,
    cost: f64,
    spent: bool,
}

/// Fraction of the retry time over which the retries of refused callers are spread.
const RETRY_SPREAD: f64 = 0.5;

/// Why the routing does not admit a request.
enum Rejection {
    /// Holds for every routing that may be in force, or can't be resolved by a list.
    Final(ErrorReason),
    /// Something is missing from the routing, which a list may show to be outdated.
    Unconfirmed(ErrorReason),
}

impl EntryState {
    /// Finds the route of a request and the workspace of its caller's key; `None` if the
    /// route needs no key and the caller sent no known key. `view` is replaced if the
    /// routing has to be listed for that.
    pub(super) async fn admit(
        &self,
        view: &mut RoutingView,
        host: &str,
        path: &str,
        credential: Credential,
    ) -> Result<(Arc<Route>, Option<Arc<Workspace>>), ErrorReason> {
        match self.try_admit(view, host, path, credential) {
            Ok(admitted) => return Ok(admitted),
            Err(Rejection::Final(reason)) => return Err(reason),
            Err(Rejection::Unconfirmed(_)) => {}
        }
        self.absence.confirm(self.cfg().process.routing_bound).await;
        if let Some(listed) = self.replicated_state.routing_view() {
            *view = listed;
        }
        self.try_admit(view, host, path, credential).map_err(
            |rejection| match rejection {
                Rejection::Final(reason) | Rejection::Unconfirmed(reason) => reason,
            },
        )
    }

    fn try_admit(
        &self,
        view: &RoutingView,
        host: &str,
        path: &str,
        credential: Credential,
    ) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Rejection> {
        let Some(route) = view.routing.find(host, path) else {
            return Err(match self.is_absence_certain(view) {
                true => Rejection::Final(ErrorReason::NoRoute),
                false => Rejection::Unconfirmed(ErrorReason::StaleRouting),
            });
        };
        let workspace = self.authorize(view, route, credential)?;
        Ok((route.clone(), workspace))
    }

    /// Returns the workspace of a caller's key; `None` if the route needs no key and the
    /// caller sent no known key.
    ///
    /// The known keys must be fresher than the time within which a revoked key has to be
    /// refused, whatever their source. The age is checked after the request was received,
    /// so a revocation acknowledged that long before the request was sent is included,
    /// even if this process was suspended in between. A key missing from older data may
    /// be new.
    fn authorize(
        &self,
        view: &RoutingView,
        route: &Route,
        credential: Credential,
    ) -> Result<Option<Arc<Workspace>>, Rejection> {
        let Some(workspaces) = &view.routing.workspaces else { return Ok(None) };
        let found = match credential {
            Credential::Key(key) => workspaces.find(&key).cloned(),
            Credential::Missing | Credential::Malformed => None,
        };
        if route.public {
            return Ok(found);
        }
        if !self.has_fresh_keys(view) {
            return Err(Rejection::Final(ErrorReason::StaleKeys));
        }
        match (found, credential) {
            (Some(workspace), _) => Ok(Some(workspace)),
            (None, Credential::Key(_)) if !self.is_absence_certain(view) => {
                Err(Rejection::Unconfirmed(ErrorReason::StaleKeys))
            }
            (None, Credential::Key(_)) => Err(Rejection::Final(ErrorReason::UnknownKey)),
            (None, _) => Err(Rejection::Final(ErrorReason::NoKey)),
        }
    }

    /// Returns whether the known keys are fresh enough to authenticate with. Only a list
    /// of the store shows that no key was revoked: a watch may have missed the change.
    pub(super) fn has_fresh_keys(&self, view: &RoutingView) -> bool {
        let Some(trusted) = self.cfg().process.max_key_age() else { return true };
        view.list_age().is_some_and(|age| age <= trusted)
    }

    /// Returns whether a key or route missing from the routing is missing from every
    /// routing that may be in force. If not, the request may be retried.
    fn is_absence_certain(&self, view: &RoutingView) -> bool {
        view.is_absence_certain(self.cfg().process.routing_bound)
    }

    /// Charges a request to its workspace's limit; the error is the retry time.
    pub(super) async fn charge(
        &self,
        routing: &Routing,
        workspace: &Arc<Workspace>,
        caller: &CallerRequest,
    ) -> Result<Option<Charge>, Duration> {
        let Some(limit) = workspace.limit else { return Ok(None) };
        let cost = limit.cost(caller.tokens);
        let class = class_of_request(&limit, caller, cost);
        let count = |verdict| {
            if let Some(class) = class {
                self.stats.count_admission(&workspace.name, class, verdict);
            }
        };
        match self.limits.admit(workspace, routing.version, cost, class).await {
            LimitDecision::Refused { after, share } => {
                self.stats.count_workspace(&workspace.name, "refused");
                count(if share.is_some() { "over share" } else { "over limit" });
                let after = after.mul_f64(1.0 + RETRY_SPREAD * fastrand::f64());
                if logs::is_allowed(LineKind::Limit) {
                    tracing::info!(
                        event = "over limit",
                        request = caller.id,
                        workspace = %workspace.name,
                        cost,
                        class,
                        share,
                        limit_per_sec = limit.units_per_sec,
                        limit_burst = limit.burst,
                        routing = routing.version,
                        retry_after_ms = after.as_millis() as u64,
                    );
                }
                Err(after)
            }
            LimitDecision::Admitted => {
                self.stats.count_workspace(&workspace.name, "admitted");
                count("admitted");
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

/// Returns the class of a request with a cost in units; `None` where all requests cost
/// the same, so that no order applies. A request without a prompt counts its cost as one.
fn class_of_request(
    limit: &WorkspaceLimit,
    caller: &CallerRequest,
    cost: f64,
) -> Option<Class> {
    if limit.unit == LimitUnit::Requests {
        return None;
    }
    let prompt = caller.model.as_ref().map_or(cost as u32, |model| model.prompt_tokens);
    Some(class_of(utility::of_prompt(prompt), cost))
}

impl Charge {
    /// Keeps the units as spent, since the request may have run.
    pub fn mark_spent(&mut self) {
        self.spent = true;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.spent {
            self.limits.return_units(&self.workspace, self.cost);
        }
    }
}
