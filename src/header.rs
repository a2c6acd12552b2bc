//! Header fields that cornelferry reads, writes or removes.

use http::header::{CONNECTION, EXPECT, HOST};
use http::{HeaderMap, HeaderName};

/// The request id, generated unless the caller sends one. On requests and responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Prefix of cornelferry's own fields, which are removed from callers' requests.
pub const RESERVED_PREFIX: &str = "x-cornelferry-";
/// Milliseconds until the deadline. On requests from callers and to upstreams.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-cornelferry-deadline-ms");
/// Number of the attempt, starting at 1. On requests to upstreams.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-cornelferry-attempt");
/// The outcome: whether the request was executed. On responses.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-cornelferry-outcome");
/// The numbered result code. On responses.
pub const CODE: HeaderName = HeaderName::from_static("x-cornelferry-code");
/// The upstream that responded. On responses.
pub const UPSTREAM: HeaderName = HeaderName::from_static("x-cornelferry-upstream");
/// The version of the routes of the host that passes a request on. On requests between hosts.
pub(crate) const ROUTES_VERSION: HeaderName =
    HeaderName::from_static("x-cornelferry-routes-version");
/// The name of the caller's team, as the host that passes a request on has found it. On requests
/// between hosts.
pub(crate) const RELAYED_TEAM: HeaderName = HeaderName::from_static("x-cornelferry-relayed-team");
/// The address of the caller, as the host that passes a request on has seen it. On requests between
/// hosts.
pub(crate) const RELAYED_CALLER: HeaderName =
    HeaderName::from_static("x-cornelferry-relayed-caller");
/// The key of the caller's team. On requests from callers.
pub const KEY: HeaderName = HeaderName::from_static("x-cornelferry-key");
/// The name of the caller's team. On requests to upstreams.
pub const TEAM: HeaderName = HeaderName::from_static("x-cornelferry-team");
/// The caller's key that identifies repetitions of a request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Names of the header fields in which a deployment's callers and upstreams pass the request id, the
/// deadline, the key and the name of the team, and the form of `Retry-After` that the callers accept.
#[derive(Clone, Debug)]
pub(crate) struct FieldNames {
    /// The request id, on requests and responses.
    pub(crate) request_id: HeaderName,
    /// Milliseconds until the deadline.
    pub(crate) deadline: HeaderName,
    /// The key of the caller's team, on requests from callers.
    pub(crate) key: HeaderName,
    /// The name of the caller's team, on requests to upstreams.
    pub(crate) team: HeaderName,
    /// Whether callers accept `Retry-After` with fractions of a second.
    pub(crate) fractional_retry_after: bool,
}

impl Default for FieldNames {
    fn default() -> FieldNames {
        FieldNames {
            request_id: REQUEST_ID,
            deadline: DEADLINE,
            key: KEY,
            team: TEAM,
            fractional_retry_after: false,
        }
    }
}

impl FieldNames {
    /// Creates names from lower-case strings, for callers that accept `Retry-After` with fractions
    /// of a second.
    ///
    /// # Panics
    ///
    /// Panics if a string is not a valid lower-case header field name.
    pub(crate) const fn new(
        request_id: &'static str,
        deadline: &'static str,
        key: &'static str,
        team: &'static str,
    ) -> FieldNames {
        FieldNames {
            request_id: HeaderName::from_static(request_id),
            deadline: HeaderName::from_static(deadline),
            key: HeaderName::from_static(key),
            team: HeaderName::from_static(team),
            fractional_retry_after: true,
        }
    }
}

/// Hop-by-hop fields (RFC 9110, section 7.6.1), which are never forwarded.
pub const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// The prefix of the names of fields on a message's content (RFC 9110, section 8).
const CONTENT_PREFIX: &str = "content-";

/// Removes hop-by-hop fields, the fields that `Connection` names, `Expect`, and cornelferry's own
/// fields. A field that says what a message is and belongs to stays, although `Connection` names
/// it: `Host`, those on the content, and `kept`.
pub(crate) fn strip(headers: &mut HeaderMap, kept: &[&str]) {
    let is_kept = |name: &HeaderName| {
        let name = name.as_str();
        name == HOST.as_str()
            || name.starts_with(CONTENT_PREFIX)
            || kept.iter().any(|k| k.eq_ignore_ascii_case(name))
    };
    let named = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    let named = named.flat_map(|v| v.split(',')).filter_map(|n| n.trim().parse().ok());
    let named = named.filter(|name| !is_kept(name));
    let own = headers.keys().filter(|n| n.as_str().starts_with(RESERVED_PREFIX)).cloned();
    let dropped: Vec<HeaderName> = named.chain(own).collect();
    for name in dropped {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
    headers.remove(EXPECT);
}

/// Removes the fields with a name, also where it is written with `_` for `-`: some upstreams read
/// both alike.
pub(crate) fn remove_alike(headers: &mut HeaderMap, name: &HeaderName) {
    let dashed = |b| if b == b'_' { b'-' } else { b };
    let alike = |other: &&HeaderName| other.as_str().bytes().map(dashed).eq(name.as_str().bytes());
    let dropped: Vec<HeaderName> = headers.keys().filter(alike).cloned().collect();
    for name in dropped {
        headers.remove(name);
    }
}
