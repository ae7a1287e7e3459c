//! The command `quarantine`: requests that are refused since endpoints ended under them.

use std::time::Duration;

use larkspring::direct::edge::QuarantineStore;
use larkspring::exec;
use larkspring_core::ids::ContentHash;
use larkspring_platform::store::Store;

use crate::args::{QuarantineArgs, QuarantineStep};
use crate::AnyError;

/// Time for a call to the platform's store: an operator waits for it, a request does not.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Lists, lifts or forbids a content by its object in the platform's store.
pub fn run(args: &QuarantineArgs) -> Result<(), AnyError> {
    let store = Store::new(args.store, CALL_LIMIT);
    exec::run(1, async {
        match &args.step {
            QuarantineStep::List => {
                for content in store.list().await? {
                    println!("{content:016x}");
                }
            }
            QuarantineStep::Lift { content } => store.lift(*content).await?,
            QuarantineStep::Forbid { content } => {
                store.forget_lift(*content).await?;
                store.add(*content).await?;
            }
        }
        Ok(())
    })
}

/// Reads a content as log lines write it: 16 digits in hex.
pub fn read_content(text: &str) -> Result<ContentHash, String> {
    let content = ContentHash::from_str_radix(text, 16);
    let content = content.map_err(|_| format!("`{text}` is no content of a log line"))?;
    match text.len() == 16 {
        true => Ok(content),
        false => Err(format!("`{text}` has {} digits, not 16", text.len())),
    }
}
