//! Parsing and validation of JSON documents: all faults are reported at once, each with its
//! location.

use std::borrow::Cow;
use std::net::SocketAddr;

use derive_more::Display;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use serde_path_to_error::Segment;

use crate::error::{Code, Error};

/// Maximum length of a fault's reason, in characters. Longer ones, which echo a long value, are
/// truncated.
const REASON_MAX_CHARS: usize = 200;
/// Maximum number of faults reported per document.
const FAULTS_MAX: usize = 100;
/// Name of the string format of a socket address in schemas.
const ADDRESS_FORMAT: &str = "socket-address";

/// A fault in a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{pointer}: {reason}")]
pub struct Fault {
    /// JSON pointer to the faulty value; `/` for the document itself.
    pub pointer: String,
    /// Description of the fault.
    pub reason: String,
}

impl Fault {
    /// Creates a fault, and truncates its reason if necessary.
    pub fn new(pointer: &str, reason: &str) -> Fault {
        let pointer = if pointer.is_empty() { "/" } else { pointer };
        let mut excess = reason.char_indices().skip(REASON_MAX_CHARS);
        let reason = match excess.next() {
            Some((at, _)) => format!("{}...", &reason[..at]),
            None => reason.to_owned(),
        };
        Fault { pointer: pointer.to_owned(), reason }
    }
}

/// Deserializes a field that is there. A null is a value like others, and not the lack of one.
///
/// # Errors
///
/// Returns an error if the value is malformed.
pub(crate) fn present<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}

/// The schema of a `SocketAddr`: a string with an IP address and port.
#[derive(Debug)]
pub(crate) struct SocketAddrSchema;

impl JsonSchema for SocketAddrSchema {
    fn schema_name() -> Cow<'static, str> {
        "Address".into()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        json_schema!({"type": "string", "format": ADDRESS_FORMAT})
    }
}

/// Parses a JSON document.
///
/// # Errors
///
/// Returns a single fault if the text is not JSON, or else the mismatches with the schema of `T`,
/// at most 100. If there are none, returns the fault with which deserialization failed.
pub fn parse_document<T: DeserializeOwned + JsonSchema>(text: &str) -> Result<T, Vec<Fault>> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| vec![Fault::new("/", &e.to_string())])?;
    let first = match serde_path_to_error::deserialize(&value) {
        Ok(document) => return Ok(document),
        Err(e) => {
            let pointer: String = e.path().iter().map(json_pointer).collect();
            Fault::new(&pointer, &e.inner().to_string())
        }
    };
    let faults = schema_faults::<T>(&value);
    Err(if faults.is_empty() { vec![first] } else { faults })
}

/// Returns the mismatches of a document with the schema of `T`, up to [`FAULTS_MAX`]. Called only
/// for a document that can't be deserialized, as the validator takes tens of megabytes of memory.
fn schema_faults<T: JsonSchema>(value: &Value) -> Vec<Fault> {
    let schema = schemars::schema_for!(T).to_value();
    let validator = jsonschema::options()
        .with_format(ADDRESS_FORMAT, |s: &str| s.parse::<SocketAddr>().is_ok())
        .should_validate_formats(true)
        .build(&schema);
    match validator {
        Err(e) => vec![Fault::new("/", &format!("schema: {e}"))],
        Ok(validator) => {
            let errors = validator.iter_errors(value);
            errors.flat_map(|e| describe(&e, &schema)).take(FAULTS_MAX).collect()
        }
    }
}

/// Combines a document's faults into one error, which lists each on a line of its own.
pub fn invalid_document(document: &str, faults: &[Fault]) -> Error {
    let lines: Vec<String> = faults.iter().map(|f| format!("\n  {f}")).collect();
    Error::new(Code::Invalid, format!("{document}{}", lines.concat()))
}

/// Converts a validation error to faults in terms of the document rather than of its schema.
fn describe(error: &ValidationError<'_>, schema: &Value) -> Vec<Fault> {
    let pointer = error.instance_path.to_string();
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let unknown = |name: &String| Fault::new(&format!("{pointer}/{name}"), "unknown field");
            unexpected.iter().map(unknown).collect()
        }
        ValidationErrorKind::Required { property } => {
            vec![Fault::new(&pointer, &format!("field {property} is missing"))]
        }
        ValidationErrorKind::Format { .. } => {
            let reason = format!("{} is not an IP address with port", error.instance);
            vec![Fault::new(&pointer, &reason)]
        }
        ValidationErrorKind::OneOfNotValid { .. } => {
            let choices = choices(schema, &error.schema_path.to_string());
            vec![Fault::new(&pointer, &format!("{} is not one of {choices}", error.instance))]
        }
        _ => vec![Fault::new(&pointer, &error.to_string())],
    }
}

/// Returns the values that a `oneOf` in a schema allows, separated by commas.
fn choices(schema: &Value, pointer: &str) -> String {
    let options = resolve(schema, pointer).and_then(Value::as_array);
    let constants = options.into_iter().flatten().flat_map(|o| {
        let listed = o["enum"].as_array().cloned().unwrap_or_default();
        o.get("const").cloned().into_iter().chain(listed)
    });
    let names: Vec<String> = constants.map(|c| c.to_string()).collect();
    names.join(", ")
}

/// Looks up a JSON pointer in a schema, following references.
fn resolve<'a>(schema: &'a Value, pointer: &str) -> Option<&'a Value> {
    pointer.split('/').filter(|s| !s.is_empty()).try_fold(schema, |at, segment| match segment {
        "$ref" => schema.pointer(at["$ref"].as_str()?.trim_start_matches('#')),
        _ => at.get(segment).or_else(|| at.get(segment.parse::<usize>().ok()?)),
    })
}

/// Converts a segment of a path to the corresponding part of a JSON pointer.
fn json_pointer(segment: &Segment) -> String {
    match segment {
        Segment::Seq { index } => format!("/{index}"),
        Segment::Map { key } => format!("/{key}"),
        Segment::Enum { variant } => format!("/{variant}"),
        Segment::Unknown => String::new(),
    }
}
