//! Fingerprints of requests: the same for every retry of a request.

use serde::{Deserialize, Serialize};
use stackpost_types::{Digest, TenantName};
use std::fmt;

/// Digest of a request's content and tenant. A caller's retry has a new id, may use another
/// connection and another router, and may carry another deadline; none of these is part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(Digest);

/// The content that a fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that the caller addressed.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The caller's tenant, if known.
    pub tenant: Option<&'a TenantName>,
    /// The body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn of(content: &RequestContent<'_>) -> Self {
        let tenant = content.tenant.map_or("", TenantName::as_str);
        Self(Digest::of(&[
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            tenant.as_bytes(),
            content.body,
        ]))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
