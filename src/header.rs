//! The header fields that cornelferry reads and writes, and those that it drops.

use http::header::{CONNECTION, EXPECT};
use http::{HeaderMap, HeaderName};

/// The request id: taken from the caller if given, else made. On requests and answers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The prefix of cornelferry's own fields; a caller's copies are dropped.
pub const RESERVED_PREFIX: &str = "x-cornelferry-";
/// Milliseconds left until the deadline. From callers, and on requests to upstreams.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-cornelferry-deadline-ms");
/// The number of the attempt, from 1. On requests to upstreams.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-cornelferry-attempt");
/// What is known of the execution. On answers.
pub const OUTCOME: HeaderName = HeaderName::from_static("x-cornelferry-outcome");
/// The numbered result code. On answers.
pub const CODE: HeaderName = HeaderName::from_static("x-cornelferry-code");
/// The upstream that answered. On answers.
pub const UPSTREAM: HeaderName = HeaderName::from_static("x-cornelferry-upstream");
/// The caller's key by which copies of a request are known.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The names of the fields in which a deployment's callers and upstreams carry what cornelferry
/// needs to know of a request.
#[derive(Clone, Debug)]
pub(crate) struct FieldNames {
    /// The request id, on requests and answers.
    pub(crate) request_id: HeaderName,
    /// Milliseconds left until the deadline.
    pub(crate) deadline: HeaderName,
    /// Whether callers take `Retry-After` with fractions of a second.
    pub(crate) fractional_retry_after: bool,
}

impl Default for FieldNames {
    fn default() -> FieldNames {
        FieldNames { request_id: REQUEST_ID, deadline: DEADLINE, fractional_retry_after: false }
    }
}

impl FieldNames {
    /// Makes names from texts in lower case, for callers that take `Retry-After` with fractions.
    ///
    /// # Panics
    ///
    /// If a text is no name of a header field in lower case.
    pub(crate) const fn new(request_id: &'static str, deadline: &'static str) -> FieldNames {
        FieldNames {
            request_id: HeaderName::from_static(request_id),
            deadline: HeaderName::from_static(deadline),
            fractional_retry_after: true,
        }
    }
}

/// Hop-by-hop fields (RFC 9110, section 7.6.1), which are never passed on.
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

/// Removes what is meant for the next hop alone, what `Connection` names, and cornelferry's own
/// fields.
pub(crate) fn strip(headers: &mut HeaderMap) {
    let named = headers.get_all(CONNECTION).into_iter().filter_map(|v| v.to_str().ok());
    let named = named.flat_map(|v| v.split(',')).filter_map(|n| n.trim().parse().ok());
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
