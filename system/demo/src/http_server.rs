//! A small HTTP/1.1 server for the stand-ins.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, service::service_fn, Request, Response};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, future::Future, sync::Arc};
use tokio::{net::TcpListener, task::JoinHandle};

/// A request as the stand-ins see it.
pub(crate) struct Call {
    /// The path, without the query.
    pub path: String,
    /// The life that is meant, where the caller names one.
    pub expected_instance: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// An answer: status and JSON body.
pub(crate) struct Answer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: serde_json::Value,
}

/// Serves until the task is aborted; connections end with it.
pub(crate) fn serve<H, F>(listener: TcpListener, handler: H) -> JoinHandle<()>
where
    H: Fn(Call) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        let mut connections = tokio::task::JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| respond(handler.clone(), request));
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            connections.spawn(async move {
                // A caller that goes away ends its connection; nobody else is touched.
                let _ = connection.await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

async fn respond<H, F>(
    handler: Arc<H>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Call) -> F,
    F: Future<Output = Answer>,
{
    let path = request.uri().path().to_owned();
    let header = request.headers().get("Expected-Instance");
    let expected_instance = header
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    let answer = handler(Call {
        path,
        expected_instance,
        body,
    })
    .await;
    let mut response = Response::new(Full::new(Bytes::from(answer.body.to_string())));
    let status = hyper::StatusCode::from_u16(answer.status);
    *response.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    let json = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, json);
    Ok(response)
}
