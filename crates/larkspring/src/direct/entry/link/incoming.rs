//! Messages of an agent, and what fails without them.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use larkspring_core::quarantine::CrashReport;
use larkspring_proto::residency as wire;
use larkspring_proto::residency::from_agent::Kind as FromAgentKind;
use larkspring_proto::residency::from_entry::Kind;

use super::hold::HoldEnd;
use super::Link;
use crate::direct::limits::decode_grant;
use crate::direct::logs;
use crate::direct::quarantine::{decode_reports, encode_reports};

impl Link {
    /// Applies a message of the agent.
    pub(super) fn receive(&self, message: wire::FromAgent) {
        let mut engine_state = self.engine_state.lock();
        let now = Instant::now();
        engine_state.last_message = Some(now);
        let regained = !std::mem::replace(&mut engine_state.live, true);
        let had_failed = regained && self.usage.lock().record_answer();
        match message.kind {
            Some(FromAgentKind::State(state)) => {
                let own_holds = self.granted_holds.load(Ordering::Relaxed);
                let changed = engine_state.apply(now, state, own_holds);
                if regained || changed.engagement {
                    self.context.availability_changed.notify(usize::MAX);
                }
                if changed.run || changed.rate {
                    self.context.run_changed.notify(usize::MAX);
                }
            }
            Some(FromAgentKind::Granted(granted)) => {
                drop(engine_state);
                let copy_pays = granted.copy_pays;
                self.end_wait(granted.id, HoldEnd::Granted { copy_pays });
            }
            Some(FromAgentKind::Reserved(reserved)) => {
                drop(engine_state);
                let grants = reserved.grants.iter().map(decode_grant).collect();
                // The receiver lives as long as the entry.
                let _ = self.context.sinks.grants.try_send(grants);
            }
            Some(FromAgentKind::Permitted(reply)) => {
                drop(engine_state);
                self.receive_permit(&reply);
            }
            Some(FromAgentKind::StreamReply(reply)) => {
                drop(engine_state);
                self.receive_stream_reply(&reply);
            }
            Some(FromAgentKind::Findings(findings)) => {
                drop(engine_state);
                self.receive_crash_reports(&decode_reports(&findings));
            }
            Some(FromAgentKind::Refused(refused)) => {
                drop(engine_state);
                let retry_after = Duration::from_millis(refused.retry_after_ms);
                let end = match refused.full {
                    true => HoldEnd::Full,
                    false => HoldEnd::Refused { reason: refused.reason, retry_after },
                };
                self.end_wait(refused.id, end);
            }
            None => {}
        }
        if had_failed {
            logs::log_dependency(&format!("agent {}", self.addr), true, "");
        }
    }

    /// Marks the agent as unresponsive and fails the holds and permits that await a
    /// reply; returns whether the agent was live before.
    pub(super) fn mark_unresponsive(&self) -> bool {
        let was_live = std::mem::replace(&mut self.engine_state.lock().live, false);
        self.usage.lock().failed_at = Some(Instant::now());
        self.fail_waiting();
        was_live
    }

    /// Fails the holds, permits and queries that await a reply.
    pub(super) fn fail_waiting(&self) {
        // Dropping the senders ends the waits for permits and replies.
        self.pending_permits.lock().clear();
        self.pending_queries.lock().clear();
        let mut holds = self.holds.lock();
        holds.retain(|_, held| match held.waiter.take() {
            Some(waiter) => {
                let _ = waiter.try_send(HoldEnd::Lost);
                false
            }
            None => true,
        });
    }

    /// Applies crash reports of the agent, and replies with the remembered answers that
    /// speak against them.
    fn receive_crash_reports(&self, reports: &[CrashReport]) {
        let known = &self.context.sinks.crash_reports;
        known.apply(reports);
        let contradicting = known.contradict(reports);
        if !contradicting.is_empty() {
            // An agent whose connection has ended gets them with the next one.
            self.send_message(Kind::Findings(encode_reports(&contradicting)));
        }
    }
}
