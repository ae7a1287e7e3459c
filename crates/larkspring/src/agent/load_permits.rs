//! Requests for permits of the weight store's load budget.

use std::time::Duration;

use larkspring_core::budget::BudgetLimits;
use larkspring_proto::keys::KeyTable;
use larkspring_proto::loads::loads_client::LoadsClient;
use larkspring_proto::loads::{DoneRequest, PermitRequest};
use parking_lot::Mutex;
use smol::Timer;

use crate::entry::keys::{LEADING_PARTITION, TABLE_OBJECT};
use crate::exec::within;
use crate::platform::objects::{HttpObjects, ObjectApi};
use crate::rpc::channel::{Channel, Pool};
use crate::settings::PlatformCfg;

/// Client of the leading entry, which grants load permits.
pub struct LoadPermits {
    limits: Option<BudgetLimits>,
    api: HttpObjects,
    pool: Pool,
    /// Address of the leading entry, as last known.
    leader: Mutex<Option<String>>,
}

/// A permit for one load.
pub struct Permit {
    load: String,
    /// Address of the entry that granted the permit; `None` if no entry was involved.
    leader: Option<String>,
}

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Exceeds the 10 s that a call for a permit waits at the entry.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(12);
const PERMIT_ATTEMPTS: u32 = 3;

impl LoadPermits {
    /// Creates a client from the platform's settings.
    pub fn new(cfg: &PlatformCfg) -> Self {
        Self {
            limits: cfg.loads,
            api: HttpObjects::new(&cfg.objects, cfg.timeout),
            pool: Pool::new(1, CONNECT_TIMEOUT),
            leader: Mutex::default(),
        }
    }

    /// Waits until a load may begin. If no entry grants permits, the budget's rate is
    /// divided among `agents` agents.
    pub async fn acquire(
        &self,
        load: String,
        (priority, waiting): (u32, u32),
        agents: usize,
    ) -> Permit {
        let Some(limits) = self.limits else { return Permit { load, leader: None } };
        for _ in 0..PERMIT_ATTEMPTS {
            let Some(addr) = self.leader().await else { break };
            let req = PermitRequest { load: load.clone(), priority, waiting };
            match self.request(&addr, req).await {
                Some(true) => return Permit { load, leader: Some(addr) },
                Some(false) => {}
                None => *self.leader.lock() = None,
            }
        }
        // Without a leader each agent uses its share of the rate, with a random delay.
        let share = Duration::from_secs_f64(agents as f64 / limits.rate);
        Timer::after(share.mul_f64(fastrand::f64())).await;
        Permit { load, leader: None }
    }

    /// Returns a permit.
    pub async fn release(&self, permit: Permit) {
        let Some(addr) = permit.leader else { return };
        let Some(mut client) = self.client(&addr).await else { return };
        // A permit that is not returned expires.
        within(CONNECT_TIMEOUT, client.done(DoneRequest { load: permit.load })).await;
    }

    /// Requests a permit: `true` if granted, `false` if not yet, `None` if the call
    /// failed or the entry does not lead.
    async fn request(&self, addr: &str, req: PermitRequest) -> Option<bool> {
        let mut client = self.client(addr).await?;
        let reply = within(PERMIT_TIMEOUT, client.permit(req)).await?;
        let reply = reply.ok()?.into_inner();
        (!reply.elsewhere).then_some(reply.granted)
    }

    async fn client(&self, addr: &str) -> Option<LoadsClient<Channel>> {
        let channel = self.pool.get(addr).await.ok()?;
        let origin = channel.origin();
        Some(LoadsClient::with_origin(channel, origin))
    }

    /// Returns the address of the leading entry, as last known.
    async fn leader(&self) -> Option<String> {
        if let Some(addr) = self.leader.lock().clone() {
            return Some(addr);
        }
        let object = self.api.get(TABLE_OBJECT).await.ok()??;
        let table: KeyTable = serde_json::from_slice(&object.value).ok()?;
        let first = table.partitions.get(LEADING_PARTITION)?;
        *self.leader.lock() = Some(first.holder.clone());
        Some(first.holder.clone())
    }
}
