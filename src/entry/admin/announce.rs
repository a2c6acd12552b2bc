//! Takes in word of a version that was just published.

use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;

use bytes::BytesMut;
use xitca_web::WebContext;
use xitca_web::body::{Body, RequestBody};
use xitca_web::http::{Method, StatusCode, WebResponse};

use crate::decide::catalog::Record;
use crate::entry::admin::{TEXT, answer};
use crate::node::Node;
use crate::store;

/// Where versions are apply_announced, by POST of the record in JSON.
pub(crate) const PATH: &str = "/records";
/// Bytes that a record may have, as the key-value service bounds them.
const RECORD_MAX_BYTES: usize = 1 << 20;

/// Answers an announcement, after the record was taken in.
pub(super) async fn take(mut cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    let node = cx.state().clone();
    let req = cx.take_request();
    if req.method() != Method::POST {
        let reason = "only POST is served here\n".to_owned();
        return Ok(answer(StatusCode::METHOD_NOT_ALLOWED, TEXT, reason));
    }
    let (_, ext) = req.into_parts();
    let (_, body) = ext.replace_body(());
    let record = whole(body).await.and_then(|b| serde_json::from_slice::<Record>(&b).ok());
    let Some(record) = record else {
        let reason = "the body is no record that this release can read\n".to_owned();
        return Ok(answer(StatusCode::BAD_REQUEST, TEXT, reason));
    };
    if store::apply_announced(&node, &record).await {
        return Ok(answer(StatusCode::OK, TEXT, "taken in\n".to_owned()));
    }
    let reason = "the host knows no key-value service\n".to_owned();
    Ok(answer(StatusCode::CONFLICT, TEXT, reason))
}

/// Returns the body, or nothing if it is cut or too long.
async fn whole(body: RequestBody) -> Option<BytesMut> {
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
