//! The list of VMs and whether they are leaving; the list may lag behind the actual
//! state.

use std::time::Duration;

use http_types::Method;
use serde::{Deserialize, Serialize};

use super::{Answer, PlatformError};
use crate::http::client::{fetch, request};

/// An item of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: String,
    /// Whether the VM is about to be removed.
    pub leaving: bool,
}

/// The operations of the VM list that larkspring uses.
pub trait VmList: Send + Sync {
    /// Reads the list.
    fn list(&self) -> Answer<'_, Vec<Vm>>;
}

/// HTTP client of the VM list.
#[derive(Debug, Clone)]
pub struct HttpVms {
    addr: String,
    timeout: Duration,
}

impl HttpVms {
    /// Creates a client of the list at `addr`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self { addr: addr.into(), timeout }
    }
}

impl VmList for HttpVms {
    fn list(&self) -> Answer<'_, Vec<Vm>> {
        Box::pin(async move {
            let step = "read the VM list";
            let fail = |e| PlatformError::from_http(step, e);
            let req = request(Method::Get, &self.addr, "/v1/vms").map_err(fail)?;
            let (_, body) = fetch(&self.addr, req, self.timeout).await.map_err(fail)?;
            let list = serde_json::from_slice(&body);
            list.map_err(|e| PlatformError::Answer(step, e.to_string()))
        })
    }
}
