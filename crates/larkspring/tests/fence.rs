//! The epoch of an endpoint, tested with a fake object API that injects faults.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use larkspring::agent::fence::Fence;
use larkspring::platform::objects::{Object, ObjectApi, ObjectVersion};
use larkspring::platform::{Answer, PlatformError};

/// An object API in memory, with outages and lost replies.
#[derive(Clone, Default)]
struct FaultyObjects(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    objects: HashMap<String, Object>,
    last: ObjectVersion,
    outage: bool,
    lose_replies: u32,
}

impl FaultyObjects {
    fn set(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.0.lock().unwrap());
    }
}

impl ObjectApi for FaultyObjects {
    fn get<'a>(&'a self, name: &'a str) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            let state = self.0.lock().unwrap();
            match state.outage {
                true => Err(PlatformError::NoEffect("read", "outage".into())),
                false => Ok(state.objects.get(name).cloned()),
            }
        })
    }

    fn put<'a>(
        &'a self,
        name: &'a str,
        expected: ObjectVersion,
        value: Vec<u8>,
    ) -> Answer<'a, ObjectVersion> {
        Box::pin(async move {
            let mut state = self.0.lock().unwrap();
            let present = state.objects.get(name).map_or(0, |o| o.version);
            if present != expected {
                return Err(PlatformError::Conflict("write"));
            }
            state.last += 1;
            let version = state.last;
            state.objects.insert(name.into(), Object { version, value });
            if state.lose_replies > 0 {
                state.lose_replies -= 1;
                return Err(PlatformError::Unclear("write", "no reply".into()));
            }
            Ok(version)
        })
    }

    fn delete<'a>(&'a self, _: &'a str, _: ObjectVersion) -> Answer<'a, ()> {
        unimplemented!("a fence removes nothing")
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: ObjectVersion,
        _: Duration,
    ) -> Answer<'a, Option<Object>> {
        unimplemented!("a fence watches nothing")
    }
}

fn fence(api: &FaultyObjects) -> Fence {
    Fence::new("engine-0", Box::new(api.clone()))
}

#[test]
fn later_agent_takes_a_higher_epoch_and_the_earlier_one_detects_it() {
    smol::block_on(async {
        let api = FaultyObjects::default();
        let (old, new) = (fence(&api), fence(&api));
        let first = old.take().await;
        assert!(old.is_held().await);
        let second = new.take().await;
        assert!(second > first);
        // As after a pause of the old agent: it still has its epoch, and checks it.
        assert_eq!(old.epoch(), first);
        assert!(!old.is_held().await);
        assert!(new.is_held().await);
    });
}

#[test]
fn lost_replies_and_outages_never_show_a_stale_epoch_as_held() {
    smol::block_on(async {
        let api = FaultyObjects::default();
        api.set(|state| state.lose_replies = 1);
        let agent = fence(&api);
        let epoch = agent.take().await;
        assert_eq!(epoch, 2);
        assert!(agent.is_held().await);
        api.set(|state| state.outage = true);
        assert!(!agent.is_held().await);
        api.set(|state| state.outage = false);
        assert!(agent.is_held().await);
    });
}
