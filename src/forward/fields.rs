//! The header fields of a response that say how to read it and whose it is. Those on its framing
//! are made from what was read, since the form in which an upstream writes them may be one that no
//! caller has to accept.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, HeaderName, HeaderValue, Method};

use crate::config::Service;
use crate::header;

/// Removes the fields of an upstream's response that concern its own connection. Those by which the
/// response was accepted stay, once each, whatever its `Connection` field names.
pub(crate) fn strip(service: &Service, headers: &mut HeaderMap) {
    let kept = [&*service.signature_header, &*service.echo_header];
    header::strip(headers, &kept);
    for name in kept.iter().filter_map(|name| HeaderName::try_from(*name).ok()) {
        if let Some(value) = headers.get(&name).cloned() {
            headers.insert(name, value);
        }
    }
}

/// Returns the value of a field that has only one, as often as it is written. `None` if values
/// differ.
pub(crate) fn only_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).into_iter();
    let first = values.next()?;
    values.all(|other| other == first).then_some(first)
}

/// Removes the length that an upstream states: the body is framed anew from its own length. A
/// response to a HEAD request, which has no body, keeps it in its plain form.
pub(crate) fn reframe(method: &Method, headers: &mut HeaderMap) {
    let length = content_length(headers).filter(|_| method == Method::HEAD);
    headers.remove(CONTENT_LENGTH);
    if let Some(length) = length {
        headers.insert(CONTENT_LENGTH, length.into());
    }
}

/// Returns whether the body of a response is framed in a way that is read as its upstream means it:
/// by its length or its end, or in chunks. The HTTP layer doesn't undo other transfer codings, and
/// takes a body in an unknown one to end with its connection.
pub(crate) fn is_framing_known(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).into_iter();
    let is_chunked = |v: &HeaderValue| v.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
    codings.next().is_none_or(is_chunked) && codings.next().is_none()
}

/// Returns the length that fields state, also if they state it several times. `None` if they state
/// none, or none that can be read.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    let values = headers.get_all(CONTENT_LENGTH).into_iter();
    let mut lengths = values.flat_map(|v| v.to_str().unwrap_or_default().split(',')).map(length);
    let first = lengths.next()??;
    lengths.all(|other| other == Some(first)).then_some(first)
}

fn length(text: &str) -> Option<u64> {
    let digits = text.trim();
    digits.bytes().all(|b| b.is_ascii_digit()).then(|| digits.parse().ok()).flatten()
}

#[cfg(test)]
mod tests;
