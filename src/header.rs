//! The header fields that cornelferry reads and writes, and those that it drops.

use http::HeaderName;

/// The request id: taken from the caller if given, else made. On requests and answers.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// The prefix of cornelferry's own fields; a caller's copies are dropped.
pub const OWN_PREFIX: &str = "x-cornelferry-";
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
