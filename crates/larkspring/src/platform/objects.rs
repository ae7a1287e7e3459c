//! The object API: named, versioned objects with conditional updates and watches.

use std::time::Duration;

use http_types::{Method, Request};

use super::{Answer, PlatformError};
use crate::http::client::{fetch, request};

/// Version of an object, assigned by the platform; 0 means that the object does not
/// exist.
pub type ObjectVersion = u64;

/// An object and its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The object's version.
    pub version: ObjectVersion,
    /// The object's value, at most a megabyte.
    pub value: Vec<u8>,
}

/// The operations of the object API that larkspring uses.
pub trait ObjectApi: Send + Sync {
    /// Reads an object.
    fn get<'a>(&'a self, name: &'a str) -> Answer<'a, Option<Object>>;

    /// Writes an object if it still has version `expected`; returns the new version.
    fn put<'a>(
        &'a self,
        name: &'a str,
        expected: ObjectVersion,
        value: Vec<u8>,
    ) -> Answer<'a, ObjectVersion>;

    /// Removes an object if it still has version `expected`.
    fn delete<'a>(&'a self, name: &'a str, expected: ObjectVersion) -> Answer<'a, ()>;

    /// Waits until an object's version exceeds `seen`; `None` if that takes over `limit`.
    fn watch<'a>(
        &'a self,
        name: &'a str,
        seen: ObjectVersion,
        limit: Duration,
    ) -> Answer<'a, Option<Object>>;
}

/// HTTP client of the object API.
#[derive(Debug, Clone)]
pub struct HttpObjects {
    addr: String,
    timeout: Duration,
}

const VERSION_HEADER: &str = "etag";

impl HttpObjects {
    /// Creates a client of the API at `addr`.
    pub fn new(addr: &str, timeout: Duration) -> Self {
        Self { addr: addr.into(), timeout }
    }

    async fn call(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        expected: Option<ObjectVersion>,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<(u16, Object), PlatformError> {
        let fail = |e| PlatformError::from_http(step, e);
        let mut req: Request = request(method, &self.addr, path).map_err(fail)?;
        if let Some(version) = expected {
            req.insert_header("if-match", version.to_string());
        }
        req.set_body(body);
        let (res, value) = fetch(&self.addr, req, limit).await.map_err(fail)?;
        let version = res.header(VERSION_HEADER).map(|v| v.as_str());
        let version = version.and_then(|v| v.parse().ok()).unwrap_or_default();
        Ok((res.status() as u16, Object { version, value }))
    }
}

impl ObjectApi for HttpObjects {
    fn get<'a>(&'a self, name: &'a str) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            let path = format!("/v1/objects/{name}");
            let step = "read an object";
            let got = self.call(step, Method::Get, &path, None, vec![], self.timeout);
            match got.await? {
                (200, object) => Ok(Some(object)),
                (404, _) => Ok(None),
                (status, _) => Err(refused(step, status)),
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
            let path = format!("/v1/objects/{name}");
            let step = "write an object";
            let limit = self.timeout;
            let put = self.call(step, Method::Put, &path, Some(expected), value, limit);
            match put.await? {
                (200, object) => Ok(object.version),
                (412, _) => Err(PlatformError::Conflict(step)),
                (status, _) => Err(refused(step, status)),
            }
        })
    }

    fn delete<'a>(&'a self, name: &'a str, expected: ObjectVersion) -> Answer<'a, ()> {
        Box::pin(async move {
            let path = format!("/v1/objects/{name}");
            let step = "remove an object";
            let limit = self.timeout;
            let del =
                self.call(step, Method::Delete, &path, Some(expected), vec![], limit);
            match del.await? {
                (200 | 404, _) => Ok(()),
                (412, _) => Err(PlatformError::Conflict(step)),
                (status, _) => Err(refused(step, status)),
            }
        })
    }

    fn watch<'a>(
        &'a self,
        name: &'a str,
        seen: ObjectVersion,
        limit: Duration,
    ) -> Answer<'a, Option<Object>> {
        Box::pin(async move {
            let wait = limit.as_millis();
            let path = format!("/v1/watch/{name}?after={seen}&wait_ms={wait}");
            let step = "watch an object";
            let limit = limit + self.timeout;
            let got = self.call(step, Method::Get, &path, None, vec![], limit);
            match got.await? {
                (200, object) => Ok(Some(object)),
                (204, _) => Ok(None),
                (status, _) => Err(refused(step, status)),
            }
        })
    }
}

/// Builds the error for a call that the API refused, which had no effect.
fn refused(step: &'static str, status: u16) -> PlatformError {
    PlatformError::NoEffect(step, format!("answered {status}"))
}
