//! RPC service of the idempotency keys, for other entries.

use std::sync::Arc;

use larkspring_core::claims::{Ask, ClaimKey, Settled};
use larkspring_core::tenure::PARTITIONS;
use larkspring_proto::keys::keys_server::Keys as KeysRpc;
use larkspring_proto::keys::{
    ClaimReply, ClaimRequest, HandoverReply, HandoverRequest, HelloReply, HelloRequest,
    SettleReply, SettleRequest,
};
use tonic::{Request, Response, Status};

use super::{wall_clock, KeyClaim, Keys};

/// Serves an entry's keys to other entries.
pub struct Service {
    /// The keys of the entry.
    pub keys: Arc<Keys>,
}

#[tonic::async_trait]
impl KeysRpc for Service {
    async fn claim(
        &self,
        req: Request<ClaimRequest>,
    ) -> Result<Response<ClaimReply>, Status> {
        let req = req.into_inner();
        let key = KeyClaim {
            partition: partition(req.partition)?,
            created_ms: req.birth_ms,
            ask: Ask {
                key: key(&req.key)?,
                request: req.request,
                attempt: req.attempt,
                deadline: wall_clock() + req.deadline_ms,
            },
        };
        let answered = self.keys.decide(req.run, key);
        let retry_after = answered.retry_after.map_or(0, |d| d.as_millis() as u64);
        Ok(Response::new(ClaimReply {
            verdict: answered.verdict.code(),
            retry_after_ms: retry_after,
            answer: answered.answer,
        }))
    }

    async fn settle(
        &self,
        req: Request<SettleRequest>,
    ) -> Result<Response<SettleReply>, Status> {
        let req = req.into_inner();
        let ask =
            Ask { key: key(&req.key)?, request: 0, attempt: req.attempt, deadline: 0 };
        let key = KeyClaim { partition: partition(req.partition)?, created_ms: 0, ask };
        self.keys.settle_here(&key, Settled::from_code(req.settled), req.answer);
        Ok(Response::new(SettleReply {}))
    }

    async fn handover(
        &self,
        req: Request<HandoverRequest>,
    ) -> Result<Response<HandoverReply>, Status> {
        self.keys.import_claims(req.into_inner()).map(Response::new)
    }

    async fn hello(
        &self,
        req: Request<HelloRequest>,
    ) -> Result<Response<HelloReply>, Status> {
        let req = req.into_inner();
        if let Some(table) = req.table {
            self.keys.adopt(req.version, table);
        }
        Ok(Response::new(self.keys.hello()))
    }
}

fn partition(number: u32) -> Result<usize, Status> {
    let number = number as usize;
    match number < PARTITIONS {
        true => Ok(number),
        false => Err(Status::invalid_argument("no such partition")),
    }
}

fn key(bytes: &[u8]) -> Result<ClaimKey, Status> {
    let bytes = bytes.try_into();
    let bytes = bytes.map_err(|_| Status::invalid_argument("a key has 16 bytes"))?;
    Ok(ClaimKey::from_be_bytes(bytes))
}
