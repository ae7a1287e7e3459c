//! Log lines for answered and refused requests, with the inputs of the decisions.

use std::time::Instant;

use larkspring_core::ids::{ContentHash, Incarnation};

use super::answer::ErrorReason;
use super::request_handler::RequestHandler;
use super::selection_inputs::SelectionInputs;
use super::EntryState;
use crate::clock::BootInstant;
use crate::direct::logs::{self, LineKind};
use crate::direct::platform_api::CallerRequest;
use crate::direct::replicated_state::RoutingView;

/// A request that larkspring answers itself, and the inputs of that decision.
pub(super) struct Refusal<'a> {
    pub reason: ErrorReason,
    /// When the request was received.
    pub received: Instant,
    /// The routing by which the request is refused, if known.
    pub view: Option<&'a RoutingView>,
    pub workspace: Option<&'a str>,
    /// The inputs of the last endpoint selection.
    pub inputs: Option<&'a SelectionInputs>,
    pub fingerprint: Option<ContentHash>,
}

/// Logs a request that larkspring answered itself.
pub(super) fn log_refused(
    entry: &EntryState,
    caller: &CallerRequest,
    refusal: &Refusal<'_>,
) {
    let Refusal { reason, received, view, workspace, inputs, fingerprint } = *refusal;
    if logs::is_allowed(LineKind::Failed) {
        let basis = view.and_then(|view| view.basis);
        let age_ms =
            |at: Option<BootInstant>| at.map(|at| at.elapsed().as_millis() as u64);
        tracing::warn!(
            event = "unserved",
            request = caller.id,
            content = fingerprint.map(logs::format_hash),
            workspace,
            reason = reason.name(),
            status = reason.status().as_u16(),
            took_ms = received.elapsed().as_millis() as u64,
            routing = view.map(|view| view.routing.version),
            routing_proof_age_ms = view.and_then(|view| age_ms(view.proved_at)),
            routing_list_age_ms = view.and_then(|view| age_ms(view.listed_at)),
            proof_source = basis.map(|b| b.source.name()),
            proof_content = basis.map(|b| b.content.name()),
            proof_revision = basis.map(|b| b.point.revision()),
            proof_routing = basis.and_then(|b| b.routing),
            store_age_ms =
                entry.replicated_state.store_age().map(|age| age.as_millis() as u64),
            endpoint = inputs.map(|i| &*i.endpoint),
            holding = inputs.map(|i| i.holding),
            running = inputs.map(|i| i.running),
            loads_ahead = inputs.map(|i| i.loads_ahead),
            chosen_of = inputs.map(|i| i.candidates),
            avoided = inputs.map(|i| i.avoided),
            quality_ms = inputs.map(|i| i.failure_cost.as_millis() as u64),
        );
    }
}

/// Logs a request whose answer from an endpoint is delivered.
pub(super) fn log_answered(
    handler: &RequestHandler,
    endpoint: &Incarnation,
    status: u16,
) {
    if logs::is_allowed(LineKind::Served) {
        let inputs = handler.inputs.as_ref();
        let model = handler.caller.model.as_ref();
        let age = handler.entry.replicated_state.store_age();
        tracing::info!(
            event = "answered",
            request = handler.caller.id,
            workspace = handler.workspace_name(),
            route = %handler.route.name,
            endpoint = %endpoint,
            status,
            first_byte_ms = handler.received.elapsed().as_millis() as u64,
            objective_ms = handler.route.first_byte_objective.as_millis() as u64,
            waited_ms = handler.waited.as_millis() as u64,
            attempts = handler.history.attempts + 1,
            resumes = handler.caller.resumed_attempt,
            resumes_after = handler.caller.resume_after,
            routing = handler.view.routing.version,
            store_age_ms = age.map(|age| age.as_millis() as u64),
            same_hall = inputs.map(|i| i.same_hall),
            adapter = model.and_then(|m| m.adapter.as_deref()),
            holding = inputs.map(|i| i.holding),
            running = inputs.map(|i| i.running),
            loads_ahead = inputs.map(|i| i.loads_ahead),
            prompt_tokens = model.map(|m| m.prompt_tokens),
            unread_tokens = inputs.map(|i| i.uncached_tokens),
            reading_tokens = inputs.map(|i| i.backlog_tokens),
            free_places = inputs.map(|i| i.free_adapter_slots),
            holders = inputs.map(|i| i.holders),
            expected_ms =
                inputs.and_then(|i| i.expected).map(|time| time.as_millis() as u64),
            chosen_of = inputs.map(|i| i.candidates),
        );
    }
}
