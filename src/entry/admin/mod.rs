//! The admin listener: health, readiness, status, metrics, events and traces.

pub(crate) mod announce;
mod status;
mod stream;
#[cfg(test)]
mod tests;

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;

use anyhow::{Context, Result};
use http::HeaderValue;
use http::header::CONTENT_TYPE;
use serde::Serialize;
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::http::{StatusCode, WebResponse};
use xitca_web::service::fn_service;

use crate::entry::admin::stream::TraceBody;
use crate::event::Filter;
use crate::node::Node;
use crate::status::Phase;

const TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const JSON_LINES: HeaderValue = HeaderValue::from_static("application/jsonl");
const METRICS: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");

/// Serves operators on a bound listener until the process exits. Blocks the calling thread.
///
/// # Errors
///
/// Returns an error if a listener can't be served.
pub(crate) fn run(
    node: Arc<Node>,
    listener: TcpListener,
    metrics_listener: Option<TcpListener>,
) -> Result<()> {
    let mut server = xitca_web::App::new()
        .with_state(node)
        .at("/healthz", fn_service(health))
        .at("/readyz", fn_service(ready))
        .at("/metrics", fn_service(metrics))
        .at("/status", fn_service(show_status))
        .at("/events", fn_service(events))
        .at("/trace", fn_service(trace))
        .at(announce::PATH, fn_service(announce::handle))
        .serve()
        .worker_threads(1)
        .disable_signal()
        .listen(listener)
        .context("can't set up the admin listener")?;
    if let Some(listener) = metrics_listener {
        server = server.listen(listener).context("can't set up the metrics listener")?;
    }
    server.run().wait().context("the admin listener failed")
}

async fn health(_: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    Ok(respond(StatusCode::OK, TEXT, "ok\n".to_owned()))
}

async fn ready(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    let phase = status::phase(cx.state());
    let status = match phase {
        Phase::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok(respond(status, TEXT, format!("{phase}\n")))
}

async fn metrics(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    let node = cx.state();
    status::update_gauges(node);
    Ok(respond(StatusCode::OK, METRICS, node.metrics.text()))
}

async fn show_status(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    Ok(json(&status::snapshot(cx.state())))
}

async fn events(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    let node = cx.state();
    let query = cx.req().uri().query().unwrap_or_default();
    Ok(match serde_urlencoded::from_str::<Filter>(query) {
        Ok(filter) => json(&node.events.page(node.settings.host.clone(), &filter)),
        Err(e) => respond(StatusCode::BAD_REQUEST, TEXT, format!("query {query:?}: {e}\n")),
    })
}

async fn trace(cx: WebContext<'_, Arc<Node>>) -> Result<WebResponse, Infallible> {
    let Some(rx) = cx.state().start_recording() else {
        let reason = "the host is being recorded already\n".to_owned();
        return Ok(respond(StatusCode::CONFLICT, TEXT, reason));
    };
    let mut res = WebResponse::new(ResponseBody::boxed(TraceBody::new(rx)));
    res.headers_mut().insert(CONTENT_TYPE, JSON_LINES);
    Ok(res)
}

fn json(value: &impl Serialize) -> WebResponse {
    match serde_json::to_string(value) {
        Ok(body) => respond(StatusCode::OK, JSON, body),
        Err(e) => respond(StatusCode::INTERNAL_SERVER_ERROR, TEXT, format!("{e}\n")),
    }
}

fn respond(status: StatusCode, content_type: HeaderValue, body: String) -> WebResponse {
    let mut res = WebResponse::new(ResponseBody::bytes(body));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}
