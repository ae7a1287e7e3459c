//! The command `quarantine`, for requests that are refused because endpoints crashed
//! while they served them.

use std::time::Duration;

use larkspring::direct::platform_api::QuarantineStore;
use larkspring::exec;
use larkspring_core::ids::ContentHash;
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
                for content in store.list().await? {
                    println!("{content:016x}");
                }
            }
            QuarantineStep::Lift { content } => {
                store.remove_and_record_lift(*content).await?
            }
            QuarantineStep::Forbid { content } => {
                store.delete_lift(*content).await?;
                store.add(*content).await?;
            }
        }
        Ok(())
    })
}

/// Parses a request fingerprint as in log lines: 16 hexadecimal digits.
pub fn parse_fingerprint(text: &str) -> Result<ContentHash, String> {
    let content = ContentHash::from_str_radix(text, 16);
    let content = content.map_err(|_| format!("`{text}` is no request fingerprint"))?;
    match text.len() == 16 {
        true => Ok(content),
        false => Err(format!("`{text}` has {} digits, not 16", text.len())),
    }
}
