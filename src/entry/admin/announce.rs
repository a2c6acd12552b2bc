//! Receives announcements of newly published record versions.

use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;

use bytes::BytesMut;
use xitca_web::WebContext;
use xitca_web::body::{Body, RequestBody};
use xitca_web::http::{Method, StatusCode, WebResponse};

use crate::decide::catalog::Record;
use crate::entry::admin::{TEXT, respond};
use crate::node::Node;
use crate::store;

/// The path to which a new version is announced, by `POST` of the record as JSON.
pub(crate) const PATH: &str = "/records";
/// Maximum size of a record, which is also the limit of the key-value service.
const RECORD_MAX_BYTES: usize = 1 << 20;

/// Handles an announcement, and responds after the record was applied.
pub(super) async fn handle(mut cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    let node = cx.state().clone();
    let req = cx.take_request();
    if req.method() != Method::POST {
        let reason = "only POST is served here\n".to_owned();
        return Ok(respond(StatusCode::METHOD_NOT_ALLOWED, TEXT, reason));
    }
    let (_, ext) = req.into_parts();
    let (_, body) = ext.replace_body(());
    let record = read_body(body).await.and_then(|b| serde_json::from_slice::<Record>(&b).ok());
    let Some(record) = record else {
        let reason = "the body is no record that this release can read\n".to_owned();
        return Ok(respond(StatusCode::BAD_REQUEST, TEXT, reason));
    };
    if store::apply_announced(&node, &record).await {
        return Ok(respond(StatusCode::OK, TEXT, "taken in\n".to_owned()));
    }
    let reason = "the host knows no key-value service\n".to_owned();
    Ok(respond(StatusCode::CONFLICT, TEXT, reason))
}

/// Reads a request body. Returns `None` if it is truncated or too long.
async fn read_body(body: RequestBody) -> Option<BytesMut> {
    let mut body = std::pin::pin!(body);
    let mut out = BytesMut::new();
    while let Some(frame) = poll_fn(|cx| Body::poll_frame(body.as_mut(), cx)).await {
        let data = frame.ok()?.into_data().unwrap_or_default();
        out.extend_from_slice(&data);
        if out.len() > RECORD_MAX_BYTES {
            return None;
        }
    }
    Some(out)
}
