//! The VM list: which VMs live and which are leaving; it lags.

use std::time::Duration;

use http_types::Method;
use serde::{Deserialize, Serialize};

use super::{Answer, PlatformError};
use crate::http::client::{fetch, request};

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: String,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// What larkspring needs of the VM list.
pub trait VmList: Send + Sync {
    /// Reads the list.
    fn list(&self) -> Answer<'_, Vec<Vm>>;
}

/// The VM list over HTTP.
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
