//! Stand-in for the platform's VM list, which shows changes with a delay.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::{Method, Request, Response};
use larkspring::platform::vms::Vm;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::web::{json_response, read_json, text_response, HttpStandin};

/// The VM list.
#[derive(Debug, Default)]
pub struct Vms {
    state: Mutex<State>,
}

/// New contents of the list and the delay until it shows them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Setting {
    /// The VMs.
    pub vms: Vec<Vm>,
    /// Delay until the list shows them, in milliseconds.
    pub lag_ms: u64,
}

#[derive(Debug, Default)]
struct State {
    shown: Vec<Vm>,
    pending: Option<(Instant, Vec<Vm>)>,
}

impl HttpStandin for Vms {
    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        match (req.method(), &*path) {
            (Method::Get, "/v1/vms") => json_response(&self.list()),
            (Method::Post, "/faults") => match read_json::<Setting>(&mut req).await {
                Ok(setting) => self.set(setting),
                Err(res) => res,
            },
            _ => text_response(404, "no such path"),
        }
    }
}

impl Vms {
    fn set(&self, setting: Setting) -> Response {
        let visible_at = Instant::now() + Duration::from_millis(setting.lag_ms);
        self.state.lock().pending = Some((visible_at, setting.vms));
        text_response(200, "")
    }

    fn list(&self) -> Vec<Vm> {
        let mut state = self.state.lock();
        if let Some((_, vms)) =
            state.pending.take_if(|(visible_at, _)| *visible_at <= Instant::now())
        {
            state.shown = vms;
        }
        state.shown.clone()
    }
}
