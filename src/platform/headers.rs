//! Header fields that the platform's callers and upstreams use.

use crate::config::{DeclaredRefusal, LoadFormat, Service};
use crate::header::FieldNames;

/// The request id, which an upstream repeats in its response.
const REQUEST_ID: &str = "x-attempt-id";
/// Milliseconds until the deadline, on requests from callers and to upstreams.
const DEADLINE: &str = "x-deadline-ms";
/// The key of the caller's team.
const KEY: &str = "x-key";
/// The name of the caller's team, on requests to upstreams.
const TEAM: &str = "x-tenant-name";
/// Id of the upstream that a request is addressed to.
const EXPECTED_UPSTREAM: &str = "x-expect-instance";
/// Id of the upstream that sent a response.
const UPSTREAM: &str = "x-instance-id";
/// Set to 1 by an upstream that is leaving, on all of its responses.
const LEAVING: &str = "server-leaving";
/// The requests per second that the upstream takes from all hosts together, as a decimal number.
const LIMIT: &str = "server-limit";
/// The upstream's load: requests running, requests waiting, slots, and the current service time in
/// percent of the usual one.
const LOAD: &str = "x-instance-load";
/// Milliseconds for which the upstream stays cold, on its responses to probes.
const COLD: &str = "x-cold-remaining-ms";
/// Set by an upstream that did not run the request.
const NOT_RUN: &str = "x-not-executed";
/// The signature that proves that a response was made by an upstream.
const SIGNATURE: &str = "x-response-signature";
/// The statuses that may come with [`NOT_RUN`].
const NOT_RUN_STATUSES: [u16; 4] = [400, 421, 429, 503];
/// The status (Misdirected Request) with which an upstream refuses a request addressed to another
/// one. It comes without [`NOT_RUN`].
const MISDIRECTED_STATUS: u16 = 421;

/// Returns the names of the header fields on requests.
pub(crate) fn names() -> FieldNames {
    FieldNames::new(REQUEST_ID, DEADLINE, KEY, TEAM)
}

/// Sets a service's refusals, load format and header names to those of the platform's upstreams.
pub(crate) fn configure(service: &mut Service) {
    let not_run =
        |&status: &u16| DeclaredRefusal { status, header: NOT_RUN.to_owned(), value: None };
    service.refusals = NOT_RUN_STATUSES.iter().map(not_run).collect();
    let header = UPSTREAM.to_owned();
    service.refusals.push(DeclaredRefusal { status: MISDIRECTED_STATUS, header, value: None });
    service.load_header = LOAD.to_owned();
    service.load_format = LoadFormat::Occupancy;
    service.drain_header = LEAVING.to_owned();
    service.limit_header = LIMIT.to_owned();
    service.identity_header = UPSTREAM.to_owned();
    if service.warm_up_per_second > 0.0 {
        service.warm_up_header = COLD.to_owned();
    }
    service.signature_header = SIGNATURE.to_owned();
    service.echo_header = REQUEST_ID.to_owned();
    service.instance_header = EXPECTED_UPSTREAM.to_owned();
}
