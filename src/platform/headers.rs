//! The header fields by which callers and upstreams of the platform speak to cornelferry.

use crate::config::{LoadFormat, Refusal, Service};
use crate::header::FieldNames;

/// Identifies a request; an upstream repeats it on its answer.
const REQUEST_ID: &str = "x-attempt-id";
/// Milliseconds left, from callers and to upstreams.
const DEADLINE: &str = "x-deadline-ms";
/// The upstream that a request is meant for.
const EXPECTED_UPSTREAM: &str = "x-expect-instance";
/// The upstream that sent an answer.
const UPSTREAM: &str = "x-instance-id";
/// The upstream's load: running, waiting, slots, and the present work time in percent.
const LOAD: &str = "x-instance-load";
/// Says that the upstream did not run the request.
const NOT_RUN: &str = "x-not-executed";
/// Proves that an upstream made the answer.
const SIGNATURE: &str = "x-response-signature";
/// The statuses that may come with [`NOT_RUN`].
const NOT_RUN_STATUSES: [u16; 4] = [400, 421, 429, 503];
/// The status of an upstream that is not the expected one. It comes without [`NOT_RUN`].
const OTHER_UPSTREAM_STATUS: u16 = 421;

/// Returns the fields that requests of callers carry.
pub(crate) fn names() -> FieldNames {
    FieldNames::new(REQUEST_ID, DEADLINE)
}

/// Fills in how a service's upstreams speak.
pub(crate) fn set(service: &mut Service) {
    let not_run = |&status: &u16| Refusal { status, header: NOT_RUN.to_owned(), value: None };
    service.refusals = NOT_RUN_STATUSES.iter().map(not_run).collect();
    let header = UPSTREAM.to_owned();
    service.refusals.push(Refusal { status: OTHER_UPSTREAM_STATUS, header, value: None });
    service.load_header = LOAD.to_owned();
    service.load_format = LoadFormat::Occupancy;
    service.drain_header = String::new();
    service.signature_header = SIGNATURE.to_owned();
    service.echo_header = REQUEST_ID.to_owned();
    service.instance_header = EXPECTED_UPSTREAM.to_owned();
}
