//! Documents: profiles and services as operators write them in files.

use std::path::Path;
use std::sync::Arc;

use serde_json::Value;
use similar::TextDiff;

use crate::config::{Profile, Service};
use crate::decide::catalog::{Body, RecordKind};
use crate::error::{Code, Error};
use crate::settings::{self, Fault};

/// A valid profile or service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Document {
    pub(crate) name: Arc<str>,
    /// The profile or service itself.
    pub(crate) body: Body,
}

/// Reads and validates a file.
///
/// # Errors
///
/// Returns [`Code::Unreadable`] if the file can't be read; [`Code::Invalid`], with all faults, if
/// it is not a valid document.
pub(crate) fn load(kind: RecordKind, path: &Path) -> Result<Document, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(Code::Unreadable, format!("{}: {e}", path.display())))?;
    parse(kind, &text)
        .map_err(|faults| settings::invalid_document(&path.display().to_string(), &faults))
}

/// Parses and validates a document.
///
/// # Errors
///
/// Returns every fault of the document.
pub(crate) fn parse(kind: RecordKind, text: &str) -> Result<Document, Vec<Fault>> {
    let (name, body, mut faults) = match kind {
        RecordKind::Profile => {
            let profile: Profile = settings::parse_document(text)?;
            let faults = settings::profile_faults(&profile, "");
            (profile.name.clone(), Body::Profile(Arc::new(profile)), faults)
        }
        RecordKind::Service => {
            let service: Service = settings::parse_document(text)?;
            let faults = settings::service_faults(&service, "");
            (service.name.clone(), Body::Service(Arc::new(service)), faults)
        }
        RecordKind::Routing | RecordKind::Host => {
            let reason = format!("a {kind} record can be written only by the platform");
            return Err(vec![Fault { pointer: "/".to_owned(), reason }]);
        }
    };
    faults.extend(name_fault(&name));
    if faults.is_empty() { Ok(Document { name, body }) } else { Err(faults) }
}

/// Formats a document as JSON with every field, in the form that [`parse`] accepts. The text of a
/// deleted record is empty.
pub(crate) fn text(body: &Body) -> String {
    let value = match body {
        Body::Profile(p) => serde_json::to_value(p),
        Body::Service(s) => serde_json::to_value(s),
        Body::Routing(r) => serde_json::to_value(r.without_keys()),
        Body::Host(h) => serde_json::to_value(h),
        Body::Deleted(_) => return String::new(),
    };
    let pretty = value.and_then(|v: Value| serde_json::to_string_pretty(&v));
    pretty.map(|p| p + "\n").unwrap_or_default()
}

/// Returns the unified diff of two pairs of a label and a text; empty if the texts are equal.
pub(crate) fn diff(old: (&str, &str), new: (&str, &str)) -> String {
    let diff = TextDiff::from_lines(old.1, new.1);
    diff.unified_diff().header(old.0, new.0).to_string()
}

/// Returns a fault if a name contains characters that keys of the key-value service may not have.
fn name_fault(name: &str) -> Option<Fault> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let reason = "must consist of letters, digits, '-', '_' and '.'".to_owned();
    (!name.chars().all(allowed)).then(|| Fault { pointer: "/name".to_owned(), reason })
}
