//! A minimal HTTP/1.1 server for the stub platform and the emulated workers. It buffers complete requests and returns
//! JSON responses, without TLS or limits.
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    header::{HeaderValue, CONTENT_TYPE},
    server::conn::http1,
    service::service_fn,
    StatusCode,
};
use hyper_util::rt::TokioIo;
use std::{convert::Infallible, future::Future, sync::Arc};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

/// A buffered request.
pub(crate) struct Request {
    /// The path, without the query.
    pub path: String,
    /// The `Expected-Instance` header: the worker incarnation that the caller addresses.
    pub expected_incarnation: Option<String>,
    /// The body; empty if it could not be read.
    pub body: Bytes,
}

/// A response with a JSON body.
pub(crate) struct Response {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: serde_json::Value,
}

/// Serves requests until the returned task is aborted, which also closes all connections.
pub(crate) fn serve<H, F>(listener: TcpListener, handler: H) -> JoinHandle<()>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| respond(handler.clone(), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            connections.spawn(async move {
                // An error affects only this connection.
                let _ = connection.await;
            });
            while connections.try_join_next().is_some() {}
        }
    })
}

async fn respond<H, F>(
    handler: Arc<H>,
    request: hyper::Request<Incoming>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Response>,
{
    let response = handler(read_request(request).await).await;
    let mut encoded = hyper::Response::new(Full::new(Bytes::from(response.body.to_string())));
    *encoded.status_mut() =
        StatusCode::from_u16(response.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    encoded
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(encoded)
}

async fn read_request(request: hyper::Request<Incoming>) -> Request {
    let path = request.uri().path().to_owned();
    let expected_incarnation = request
        .headers()
        .get("Expected-Instance")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let body = match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    };
    Request {
        path,
        expected_incarnation,
        body,
    }
}
