//! Handover of partitions and their claims to other entries at a graceful shutdown.

use std::sync::atomic::Ordering;

use larkspring_core::claims::{Claim, ClaimKey, Settled};
use larkspring_core::tenure::{handover, same_run};
use larkspring_proto::keys::{
    HandoverReply, HandoverRequest, KeptAnswer, KeptClaim, Tenure,
};
use tonic::Status;

use super::{with_call_timeout, Keys};

/// Attempts to write the table.
const WRITE_ATTEMPTS: u32 = 5;

impl Keys {
    /// Hands over all partitions, with their claims, to other holders.
    ///
    /// From the start of the handover this run grants no more keys. A partition that
    /// cannot be handed over is taken over in the same way as after a crash.
    pub async fn hand_over(&self) {
        self.closing.store(true, Ordering::Release);
        let mut successors = Vec::new();
        for partition in 0..self.claims.len() {
            let Some(tenure) = self.holder(partition) else { continue };
            if !same_run(&tenure, &self.own_tenure) {
                continue;
            }
            if let Some(successor) = self.send_claims(partition).await {
                successors.push((partition, successor));
            }
        }
        let given = successors.len();
        for _ in 0..WRITE_ATTEMPTS {
            if self.write_successors(&successors).await {
                tracing::info!(given, "key partitions handed over");
                return;
            }
        }
        tracing::warn!("key partitions not handed over: the table could not be written");
    }

    /// Imports the claims of a partition from its previous holder.
    pub(super) fn import_claims(
        &self,
        req: HandoverRequest,
    ) -> Result<HandoverReply, Status> {
        let partition = req.partition as usize;
        let claims_lock = self.claims.get(partition);
        let claims_lock =
            claims_lock.ok_or_else(|| Status::invalid_argument("no such partition"))?;
        let claims: Option<Vec<_>> = req.claims.into_iter().map(from_message).collect();
        let claims = claims.ok_or_else(|| Status::invalid_argument("a key is faulty"))?;
        claims_lock.lock().import(claims);
        Ok(HandoverReply { run: self.own_tenure.run, vm: self.own_tenure.vm.clone() })
    }

    /// Sends the claims of a partition to another entry; returns the new holder.
    async fn send_claims(&self, partition: usize) -> Option<Tenure> {
        let mut holders = self.hello().table?.partitions;
        holders.retain(|t| !t.holder.is_empty() && t.holder != self.own_tenure.holder);
        if holders.is_empty() {
            let peer =
                |addr: &String| Tenure { holder: addr.clone(), ..Tenure::default() };
            holders.extend(self.peers.iter().map(peer));
            holders.retain(|t| t.holder != self.own_tenure.holder);
        }
        let successor = fastrand::choice(holders)?;
        let claims = self.claims[partition].lock().export();
        let req = HandoverRequest {
            partition: partition as u32,
            claims: claims.into_iter().map(to_message).collect(),
        };
        let mut client = self.client(&successor).await.ok()?;
        let reply = with_call_timeout(client.handover(req)).await.ok()?;
        Some(Tenure { run: reply.run, vm: reply.vm, ..successor })
    }

    /// Writes the new holders into the table; false if the table was changed
    /// concurrently.
    async fn write_successors(&self, successors: &[(usize, Tenure)]) -> bool {
        let (version, mut table) = self.known_table();
        let mut left = false;
        for (partition, successor) in successors {
            let Some(t) = table.partitions.get_mut(*partition) else { continue };
            if same_run(t, &self.own_tenure) {
                *t = handover(t, successor);
                left = true;
            }
        }
        // After a write whose reply was lost, no partition is left to hand over.
        !left || (self.write(version, table).await.is_ok() && self.held() == 0)
    }
}

fn to_message((key, claim): (ClaimKey, Claim<KeptAnswer>)) -> KeptClaim {
    KeptClaim {
        key: key.to_be_bytes().to_vec().into(),
        claimed_ms: claim.claimed,
        request: claim.request,
        attempt: claim.attempt,
        deadline_ms: claim.deadline,
        settled: claim.settled.map_or(0, Settled::code),
        answer: claim.answer.map(|(answer, _)| answer),
    }
}

fn from_message(claim: KeptClaim) -> Option<(ClaimKey, Claim<KeptAnswer>)> {
    let key = ClaimKey::from_be_bytes((&claim.key[..]).try_into().ok()?);
    let settled = (claim.settled > 0).then(|| Settled::from_code(claim.settled));
    let answer = claim.answer.map(|answer| {
        let len = answer.body.len();
        (answer, len)
    });
    let claim = Claim {
        claimed: claim.claimed_ms,
        request: claim.request,
        attempt: claim.attempt,
        deadline: claim.deadline_ms,
        settled,
        answer,
    };
    Some((key, claim))
}
