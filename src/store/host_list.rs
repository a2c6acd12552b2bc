//! Follows the platform's host list, JSON over HTTP.

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

/// The path of the list.
const PATH: &str = "/hosts";
/// The duty of reading the list often.
const DUTY: &str = "host-list";
/// Hosts of a data centre that read the list often.
const READERS: usize = 2;
/// Time between two reads on hosts that read often.
const POLL: Duration = Duration::from_secs(1);
/// Time between two reads on the others, which learn from them who is leaving.
const POLL_SELDOM: Duration = Duration::from_secs(5);

/// Makes a client of the host list.
pub(crate) fn connect(
    address: SocketAddr,
    calls_per_second: f64,
    count: CallCounter,
) -> HttpClient {
    HttpClient::new(vec![address], calls_per_second, count)
}

/// Reads the list.
///
/// # Errors
///
/// A [`CallError`] if there is no answer, or none that can be read.
pub(crate) async fn read(http: &HttpClient) -> Result<HostList, CallError> {
    http.read(CallKind::Hosts, PATH, None).await
}

/// Follows the list for the life of the process.
pub(crate) async fn follow(node: Arc<Node>, http: HttpClient) {
    let mut rng = SmallRng::from_os_rng();
    loop {
        match read(&http).await {
            Ok(list) => {
                node.apply_hosts(list);
            }
            Err(e) => log::debug!("host list: {e}"),
        }
        let often = node.members.lock().owns_in_data_centre(DUTY, READERS, node.clock.now());
        let pause = if often { POLL } else { POLL_SELDOM };
        tokio::time::sleep(pause.mul_f64(rng.random_range(0.75..=1.25))).await;
    }
}
