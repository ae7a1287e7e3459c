//! Stand-in for the weight store, with a limited rate of loads and a limited number of
//! concurrent loads at full speed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::{Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::web::{json_response, read_json, text_response, HttpStandin};

/// The weight store.
#[derive(Debug, Default)]
pub struct Weights {
    state: Mutex<State>,
}

/// Behaviour and faults of the store.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Maximum rate in loads per second; above it the store answers 429.
    pub rate: f64,
    /// Number of concurrent loads at full speed; more loads share the bandwidth.
    pub concurrency: u32,
    /// Duration of a load at full speed, in milliseconds.
    pub load_ms: u64,
    /// Number of next loads that fail.
    pub fail: u64,
    /// Every n-th load fails, with this n; 0 for none.
    pub fail_one_in: u64,
}

/// Number of loads by result.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Number of successful loads.
    pub served: u64,
    /// Number of loads refused because of the rate.
    pub refused: u64,
    /// Number of loads that failed because of a fault.
    pub failed: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    stats: Stats,
    active: u32,
    tokens: f64,
    refilled: Option<Instant>,
}

impl Default for Faults {
    fn default() -> Self {
        Self { rate: 9.0, concurrency: 4, load_ms: 300, fail: 0, fail_one_in: 0 }
    }
}

/// Number of steps of a load, so that its speed follows the number of active loads.
const LOAD_STEPS: u32 = 10;

impl HttpStandin for Weights {
    async fn answer(self: Arc<Self>, mut req: Request) -> Response {
        let path = req.url().path().to_owned();
        if path == "/faults" {
            return match read_json(&mut req).await {
                Ok(faults) => {
                    self.state.lock().faults = faults;
                    text_response(200, "")
                }
                Err(res) => res,
            };
        }
        if path == "/stats" {
            return json_response(&self.state.lock().stats);
        }
        self.load().await
    }
}

impl Weights {
    /// Creates a store with this behaviour.
    pub fn new(faults: Faults) -> Self {
        Self { state: Mutex::new(State { faults, ..State::default() }) }
    }

    async fn load(&self) -> Response {
        if !self.admit() {
            return text_response(429, "over the rate");
        }
        let active = ActiveLoad::new(self);
        for _ in 0..LOAD_STEPS {
            let wait = self.step_duration();
            Timer::after(wait).await;
        }
        drop(active);
        let mut state = self.state.lock();
        let done = state.stats.served + state.stats.failed + 1;
        let is_nth =
            state.faults.fail_one_in > 0 && done.is_multiple_of(state.faults.fail_one_in);
        if is_nth || state.faults.fail > 0 {
            state.faults.fail = state.faults.fail.saturating_sub(1);
            state.stats.failed += 1;
            return text_response(500, "the load failed");
        }
        state.stats.served += 1;
        text_response(200, "weights")
    }

    /// Takes a token for a load from a bucket that holds the rate of one second.
    /// Returns whether there was one.
    fn admit(&self) -> bool {
        let mut state = self.state.lock();
        let now = Instant::now();
        let rate = state.faults.rate;
        let refilled = state.refilled.replace(now);
        let gained = refilled.map_or(rate, |at| (now - at).as_secs_f64() * rate);
        state.tokens = (state.tokens + gained).min(rate.max(1.0));
        if state.tokens < 1.0 {
            state.stats.refused += 1;
            return false;
        }
        state.tokens -= 1.0;
        true
    }

    fn step_duration(&self) -> Duration {
        let state = self.state.lock();
        let share = state.active as f64 / state.faults.concurrency.max(1) as f64;
        let full = Duration::from_millis(state.faults.load_ms) / LOAD_STEPS;
        full.mul_f64(share.max(1.0))
    }
}

/// A guard that counts a load as active until it is dropped.
struct ActiveLoad<'a>(&'a Weights);

impl<'a> ActiveLoad<'a> {
    fn new(weights: &'a Weights) -> Self {
        weights.state.lock().active += 1;
        Self(weights)
    }
}

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.0.state.lock().active -= 1;
    }
}
