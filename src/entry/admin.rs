//! The admin listener: health, readiness, status, metrics and events.

use std::convert::Infallible;
use std::sync::Arc;

use anyhow::{Context, Result};
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::service::fn_service;

use crate::node::{Node, Phase};

/// Serves operators on a bound listener until the process exits. Blocks its thread.
///
/// # Errors
///
/// If the listener can't be served.
pub(crate) fn run(node: Arc<Node>, listener: std::net::TcpListener) -> Result<()> {
    xitca_web::App::new()
        .with_state(node)
        .at("/healthz", fn_service(health))
        .at("/readyz", fn_service(ready))
        .at("/metrics", fn_service(metrics))
        .serve()
        .worker_threads(1)
        .disable_signal()
        .listen(listener)
        .context("admin listener")?
        .run()
        .wait()
        .context("admin listener")
}

async fn health(_: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    Ok(text(StatusCode::OK, "ok\n".to_owned()))
}

async fn ready(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    Ok(match cx.state().phase() {
        Phase::Ready => text(StatusCode::OK, "ready\n".to_owned()),
        phase => text(StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n")),
    })
}

async fn metrics(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    Ok(text(StatusCode::OK, cx.state().metrics.text()))
}

fn text(status: StatusCode, body: String) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::bytes(body));
    *res.status_mut() = status;
    res
}
