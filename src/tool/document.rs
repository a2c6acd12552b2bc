//! Profiles and services as operators write them in files.

use std::path::Path;
use std::sync::Arc;

use serde_json::Value;
use similar::TextDiff;

use crate::config::{Profile, Service};
use crate::decide::catalog::{Body, RecordKind};
use crate::error::{Code, Error};
use crate::settings::{self, Fault};

/// A checked profile or service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Document {
    /// Its name.
    pub(crate) name: Arc<str>,
    /// What it holds.
    pub(crate) body: Body,
}

/// Reads and checks a file.
///
/// # Errors
///
/// [`Code::Unreadable`] if the file can't be read, [`Code::Invalid`] with every fault in it.
pub(crate) fn load(kind: RecordKind, path: &Path) -> Result<Document, Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| Error::new(Code::Unreadable, format!("{}: {e}", path.display())))?;
    parse(kind, &text)
        .map_err(|faults| settings::invalid_document(&path.display().to_string(), &faults))
}

/// Parses and checks a document.
///
/// # Errors
///
/// Every fault in it.
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
            let reason = format!("a {kind} record is written by the platform alone");
            return Err(vec![Fault { pointer: "/".to_owned(), reason }]);
        }
    };
    faults.extend(name_fault(&name));
    if faults.is_empty() { Ok(Document { name, body }) } else { Err(faults) }
}

/// Returns a document as JSON with every field, as files may hold it.
pub(crate) fn text(body: &Body) -> String {
    let value = match body {
        Body::Profile(p) => serde_json::to_value(p),
        Body::Service(s) => serde_json::to_value(s),
        Body::Routing(r) => serde_json::to_value(r),
        Body::Host(h) => serde_json::to_value(h),
        Body::Deleted(_) => return String::new(),
    };
    let pretty = value.and_then(|v: Value| serde_json::to_string_pretty(&v));
    pretty.map(|p| p + "\n").unwrap_or_default()
}

/// Returns what differs between two documents as a unified diff; empty if nothing does.
pub(crate) fn diff(old: (&str, &str), new: (&str, &str)) -> String {
    let diff = TextDiff::from_lines(old.1, new.1);
    diff.unified_diff().header(old.0, new.0).to_string()
}

/// Names are parts of keys, so they keep to a few characters.
fn name_fault(name: &str) -> Option<Fault> {
    let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let reason = "must consist of letters, digits, '-', '_' and '.'".to_owned();
    (!name.chars().all(plain)).then(|| Fault { pointer: "/name".to_owned(), reason })
}
