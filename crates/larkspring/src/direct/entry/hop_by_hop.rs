//! Headers that concern one connection only.

use http::header::{HeaderName, CONNECTION};
use http::HeaderMap;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Removes hop-by-hop headers.
pub(super) fn strip_hop_by_hop_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers
}
