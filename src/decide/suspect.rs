//! Requests under which upstreams have ended.

use std::hash::Hasher;
use std::net::IpAddr;

use derive_more::Display;
use twox_hash::XxHash64;

/// A hash by which copies of a request are recognised: over its caller, method, host, path with
/// query, and body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request. The port of the caller is left out, since each
    /// connection has its own.
    pub fn new(caller: IpAddr, method: &str, host: &str, path: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = XxHash64::default();
        match caller {
            IpAddr::V4(ip) => hasher.write(&ip.octets()),
            IpAddr::V6(ip) => hasher.write(&ip.octets()),
        }
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), body] {
            hasher.write(&part.len().to_le_bytes());
            hasher.write(part);
        }
        Fingerprint(hasher.finish())
    }
}
