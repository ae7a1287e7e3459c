//! Calls between larkspring's processes: tonic over hyper's HTTP/2 on smol.

pub mod channel;
pub mod credit;
pub mod serve;

use std::time::Duration;

/// HTTP/2 window of a stream, in bytes; the credit of [`credit`] is what bounds memory.
const STREAM_WINDOW: u32 = 1024 * 1024;
/// HTTP/2 window of a connection, in bytes.
///
/// h2 ends a connection whose unread small frames use up half of this window, so it is
/// sized for a thousand stalled streams with their whole credit unread.
const CONNECTION_WINDOW: u32 = 64 * 1024 * 1024;
/// How often a connection is probed.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// How long a probe may go unanswered before the connection counts as broken.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);
