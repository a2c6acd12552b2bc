//! The keys under which the operator orders the evacuation of data centres.

/// Prefix of the keys; the data centre's name follows. The value means nothing: a key that exists
/// is an order.
pub(crate) const PREFIX: &str = "op/evacuate/";

/// Returns the data centre whose evacuation a key orders, if it is such a key.
pub(crate) fn data_centre(key: &str) -> Option<&str> {
    key.strip_prefix(PREFIX).filter(|name| !name.is_empty())
}
