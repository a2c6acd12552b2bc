//! HTTP requests to entry hosts and to the platform's host list.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{anyhow, bail};
use bytes::Bytes;
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use crate::error::{Code, Error};

/// The time limit of a request.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The largest response body that is accepted, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 << 20;

/// Gets a JSON document.
///
/// # Errors
///
/// Returns [`Code::Unreachable`] if there is no complete response within [`TIMEOUT`], its status
/// isn't 200, or its body isn't a document of type `T`.
pub(crate) async fn json<T: DeserializeOwned>(
    address: SocketAddr,
    path_and_query: &str,
) -> Result<T, Error> {
    let url = format!("http://{address}{path_and_query}");
    let failed = |reason: String| Error::new(Code::Unreachable, format!("{url}: {reason}"));
    let req = Request::get(&url).body(Full::default()).map_err(|e| failed(e.to_string()))?;
    let body = tokio::time::timeout(TIMEOUT, send(req))
        .await
        .map_err(|_| failed(format!("no response within {} s", TIMEOUT.as_secs())))?
        .map_err(|e| failed(format!("{e:#}")))?;
    serde_json::from_slice(&body).map_err(|e| failed(e.to_string()))
}

/// Gets a document and passes it to `on_data` in chunks as they arrive, without a time limit.
///
/// # Errors
///
/// Returns [`Code::Unreachable`] if there is no response with status 200 or its body ends early,
/// and the errors of `on_data`.
pub(crate) async fn stream(
    address: SocketAddr,
    path: &str,
    mut on_data: impl FnMut(&[u8]) -> anyhow::Result<()>,
) -> anyhow::Result<()> {
    let url = format!("http://{address}{path}");
    let failed = |reason: String| Error::new(Code::Unreachable, format!("{url}: {reason}"));
    let uri: Uri = url.parse().map_err(|e| failed(format!("{e}")))?;
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let res = client.get(uri).await.map_err(|e| failed(format!("{:#}", anyhow!(e))))?;
    if res.status() != StatusCode::OK {
        return Err(failed(res.status().to_string()).into());
    }
    let mut body = res.into_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| failed(e.to_string()))?;
        frame.data_ref().map_or(Ok(()), |data| on_data(data))?;
    }
    Ok(())
}

/// Posts a JSON document.
///
/// # Errors
///
/// Returns [`Code::Unreachable`] if there is no response with status 200 within [`TIMEOUT`].
pub(crate) async fn post(address: SocketAddr, path: &str, body: String) -> Result<(), Error> {
    let url = format!("http://{address}{path}");
    let failed = |reason: String| Error::new(Code::Unreachable, format!("{url}: {reason}"));
    let req = Request::post(&url).body(Full::from(body)).map_err(|e| failed(e.to_string()))?;
    let response = tokio::time::timeout(TIMEOUT, send(req)).await;
    let response =
        response.map_err(|_| failed(format!("no response within {} s", TIMEOUT.as_secs())))?;
    response.map(|_| ()).map_err(|e| failed(format!("{e:#}")))
}

/// Sends a request and returns the complete body of the response, which must have status 200.
async fn send(req: Request<Full<Bytes>>) -> anyhow::Result<Bytes> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let res = client.request(req).await?;
    let status = res.status();
    let body = Limited::new(res.into_body(), RESPONSE_MAX_BYTES).collect().await;
    let body = body.map_err(|e| anyhow!(e))?.to_bytes();
    if status != StatusCode::OK {
        bail!("{status}: {}", String::from_utf8_lossy(&body).trim());
    }
    Ok(body)
}
