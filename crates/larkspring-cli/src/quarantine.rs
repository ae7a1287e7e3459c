//! The command `quarantine`, for requests that are refused because endpoints crashed
//! while they served them.

use std::time::Duration;

use larkspring::direct::platform_api::QuarantineStore;
use larkspring::exec;
use larkspring_platform::store::Store;

use crate::args::{QuarantineArgs, QuarantineStep};
use crate::AnyError;

/// Limits a call to the platform's store. Only an operator waits for it, no request.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Lists, lifts or adds quarantined requests by their objects in the platform's store.
pub fn run(args: &QuarantineArgs) -> Result<(), AnyError> {
    let store = Store::new(args.store, CALL_TIMEOUT);
    exec::run(1, async {
        match &args.step {
            QuarantineStep::List => {
                for feature in store.list().await? {
                    println!("{feature}");
                }
            }
            QuarantineStep::Lift { feature } => {
                store.remove_and_record_lift(*feature).await?
            }
            QuarantineStep::Forbid { feature } => {
                store.delete_lift(*feature).await?;
                store.add(*feature).await?;
            }
        }
        Ok(())
    })
}
