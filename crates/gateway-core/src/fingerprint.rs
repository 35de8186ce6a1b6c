//! Fingerprints of requests, the same for every retry of a request, and of the parts of a prompt
//! that requests share.

use serde::{Deserialize, Serialize};
use stackpost_types::{Digest, TenantName};
use std::fmt;

/// Keeps the fingerprints of parts apart from those of requests.
const PART_DOMAIN: &[u8] = b"part";

/// Identifies what may crash engines: a request, or a part that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(Digest);

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

impl Fingerprint {
    /// The digest of a request's content and tenant. A caller's retry has a new id, may use another
    /// connection and another router, and may carry another deadline; none of these is part of it.
    pub fn of_request(content: &RequestContent<'_>) -> Self {
        let tenant = content.tenant.map_or("", TenantName::as_str);
        Self(Digest::of(&[
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            tenant.as_bytes(),
            content.body,
        ]))
    }

    /// The first 64 bits.
    pub fn to_u64(self) -> u64 {
        self.0.to_u64()
    }

    /// The digest of the id of a part, the same for all tenants and routes.
    pub fn of_part(id: &str) -> Self {
        Self(Digest::of(&[PART_DOMAIN, id.as_bytes()]))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
