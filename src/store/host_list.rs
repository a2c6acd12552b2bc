//! Polls the platform's host list, a JSON document served over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::decide::hosts::HostList;
use crate::node::Node;
use crate::store::call::{CallError, CallKind};
use crate::store::http::{CallCounter, HttpClient};

/// Path of the list.
const PATH: &str = "/hosts";
/// Name of the duty of polling the list at the short interval, by which
/// `Members::owns_in_data_centre` selects hosts.
const DUTY: &str = "host-list";
/// Number of hosts per data centre that poll at the short interval.
const READERS: usize = 2;
/// Interval between reads on hosts with the duty.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads on the other hosts, which learn from their peers which hosts are leaving.
const SLOW_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Creates a client of the host list. No connection is opened until the first read.
pub(crate) fn connect(
    address: SocketAddr,
    calls_per_second: f64,
    counter: CallCounter,
) -> HttpClient {
    HttpClient::new(vec![address], calls_per_second, counter)
}

/// Reads the list.
///
/// # Errors
///
/// Returns a [`CallError`] if the call fails or the response is not a valid list.
pub(crate) async fn read(http: &HttpClient) -> Result<HostList, CallError> {
    http.read(CallKind::Hosts, PATH, None).await
}

/// Polls the list and applies newer versions for the life of the process.
pub(crate) async fn follow(node: Arc<Node>, http: HttpClient) {
    let mut rng = SmallRng::from_os_rng();
    loop {
        match read(&http).await {
            Ok(list) => {
                node.apply_hosts(list);
            }
            Err(e) => log::debug!("host list: {e}"),
        }
        let has_duty = node.members.lock().owns_in_data_centre(DUTY, READERS, node.clock.now());
        let interval = if has_duty { POLL_INTERVAL } else { SLOW_POLL_INTERVAL };
        tokio::time::sleep(interval.mul_f64(rng.random_range(0.75..=1.25))).await;
    }
}
