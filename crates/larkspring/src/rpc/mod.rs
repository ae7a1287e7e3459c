//! RPC between larkspring processes: tonic over hyper's HTTP/2 on smol.

pub mod channel;
pub mod credit;
pub mod serve;

use std::time::Duration;

/// HTTP/2 window of a stream, in bytes; memory is bounded by the units of [`credit`].
const STREAM_WINDOW: u32 = 1024 * 1024;
/// HTTP/2 window of a connection, in bytes.
///
/// h2 ends a connection whose unread small frames use up half of this window. The window
/// is sized for a thousand stalled streams, each with its whole credit unread.
const CONNECTION_WINDOW: u32 = 64 * 1024 * 1024;
/// Interval between keep-alive probes of a connection.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answer to a probe after which the connection counts as broken.
const PROBE_TIMEOUT: Duration = Duration::from_secs(4);
