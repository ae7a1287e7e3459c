//! HTTP/1.1 with callers, endpoints and the platform, by async-h1.

pub mod bounded_socket;
pub mod client;
pub mod head;
pub mod server;

/// Scheme of an `Authorization` header with a key, compared without regard to case.
const BEARER: &[u8] = b"bearer";

/// Returns the key in an `Authorization` header; `None` if there is no key.
pub fn bearer_key(value: &[u8]) -> Option<&[u8]> {
    let (scheme, key) = value.trim_ascii().split_at_checked(BEARER.len())?;
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER) && key.starts_with(b" ");
    Some(key.trim_ascii()).filter(|key| is_bearer && !key.is_empty())
}
