//! JSON documents that are checked whole: every fault is reported at once, with its place.

use std::borrow::Cow;
use std::net::SocketAddr;

use derive_more::Display;
use jsonschema::ValidationError;
use jsonschema::error::ValidationErrorKind;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use crate::error::{Code, Error};

/// The longest reason, in characters; the rest of an echoed value is cut.
const REASON_MAX_CHARS: usize = 200;
/// The most faults that are reported of one document.
const FAULTS_MAX: usize = 100;
/// The name of an address's format in schemas.
const ADDRESS_FORMAT: &str = "socket-address";

/// A fault in a document: its place as a JSON pointer, and what is wrong.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{pointer}: {reason}")]
pub struct Fault {
    /// The JSON pointer, `/` for the document itself.
    pub pointer: String,
    /// What is wrong there.
    pub reason: String,
}

impl Fault {
    /// Makes a fault.
    pub fn new(pointer: &str, reason: &str) -> Fault {
        let pointer = if pointer.is_empty() { "/" } else { pointer };
        let mut cut = reason.char_indices().skip(REASON_MAX_CHARS);
        let reason = match cut.next() {
            Some((at, _)) => format!("{}...", &reason[..at]),
            None => reason.to_owned(),
        };
        Fault { pointer: pointer.to_owned(), reason }
    }
}

/// Describes an IP address and port in a schema.
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

/// Parses a JSON document, reporting every mismatch of shape at once.
///
/// # Errors
///
/// Every fault, each with its place.
pub fn parse_document<T: DeserializeOwned + JsonSchema>(text: &str) -> Result<T, Vec<Fault>> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| vec![Fault::new("/", &e.to_string())])?;
    let first = match serde_path_to_error::deserialize(&value) {
        Ok(document) => return Ok(document),
        Err(e) => {
            let place: String = e.path().iter().map(pointer).collect();
            Fault::new(&place, &e.inner().to_string())
        }
    };
    let faults = shape_faults::<T>(&value);
    Err(if faults.is_empty() { vec![first] } else { faults })
}

/// Finds every mismatch of a document with its schema. Only done for a document that doesn't parse:
/// the validator holds tens of megabytes.
fn shape_faults<T: JsonSchema>(value: &Value) -> Vec<Fault> {
    let schema = schemars::schema_for!(T).to_value();
    let validator = jsonschema::options()
        .with_format(ADDRESS_FORMAT, |s: &str| s.parse::<SocketAddr>().is_ok())
        .should_validate_formats(true)
        .build(&schema);
    match validator {
        Err(e) => vec![Fault::new("/", &format!("schema: {e}"))],
        Ok(validator) => {
            let errors = validator.iter_errors(value);
            errors.flat_map(|e| explain(&e, &schema)).take(FAULTS_MAX).collect()
        }
    }
}

/// Makes one error of a document's faults.
pub fn invalid_document(document: &str, faults: &[Fault]) -> Error {
    let lines: Vec<String> = faults.iter().map(|f| format!("\n  {f}")).collect();
    Error::new(Code::Invalid, format!("{document}{}", lines.concat()))
}

/// Says what is wrong in words of the document rather than of its schema.
fn explain(error: &ValidationError<'_>, schema: &Value) -> Vec<Fault> {
    let place = error.instance_path.to_string();
    match &error.kind {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let unknown = |name: &String| Fault::new(&format!("{place}/{name}"), "unknown field");
            unexpected.iter().map(unknown).collect()
        }
        ValidationErrorKind::Required { property } => {
            vec![Fault::new(&place, &format!("field {property} is missing"))]
        }
        ValidationErrorKind::Format { .. } => {
            let reason = format!("{} is no IP address with port", error.instance);
            vec![Fault::new(&place, &reason)]
        }
        ValidationErrorKind::OneOfNotValid { .. } => {
            let choices = choices(schema, &error.schema_path.to_string());
            vec![Fault::new(&place, &format!("{} is none of {choices}", error.instance))]
        }
        _ => vec![Fault::new(&place, &error.to_string())],
    }
}

/// Returns the values that a choice in a schema allows.
fn choices(schema: &Value, place: &str) -> String {
    let options = resolve(schema, place).and_then(Value::as_array);
    let constants = options.into_iter().flatten().flat_map(|o| {
        let listed = o["enum"].as_array().cloned().unwrap_or_default();
        o.get("const").cloned().into_iter().chain(listed)
    });
    let names: Vec<String> = constants.map(|c| c.to_string()).collect();
    names.join(", ")
}

/// Finds a place in a schema, following its references.
fn resolve<'a>(schema: &'a Value, place: &str) -> Option<&'a Value> {
    place.split('/').filter(|s| !s.is_empty()).try_fold(schema, |at, segment| match segment {
        "$ref" => schema.pointer(at["$ref"].as_str()?.trim_start_matches('#')),
        _ => at.get(segment).or_else(|| at.get(segment.parse::<usize>().ok()?)),
    })
}

fn pointer(segment: &Segment) -> String {
    match segment {
        Segment::Seq { index } => format!("/{index}"),
        Segment::Map { key } => format!("/{key}"),
        Segment::Enum { variant } => format!("/{variant}"),
        Segment::Unknown => String::new(),
    }
}
