//! Starts a stand-in: its configuration, its tasks and its port.
use super::config::{load, Loaded};
use super::error::StandInError;
use super::metrics::write_metrics;
use super::misbehavior::{Misbehavior, Policy};
use super::peers::Advertiser;
use super::proxy::Proxy;
use super::upstreams::Upstreams;
use crate::error::BindError;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// Runs a stand-in until it is killed.
///
/// # Errors
/// Fails if the configuration can't be read or the listen address can't be bound.
pub async fn run(policy: Policy, misbehavior: Option<Misbehavior>) -> Result<(), StandInError> {
    let Loaded { config, seed } = load()?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(BindError::at(config.listen))?;
    eprintln!("stand-in serving on {}", config.listen);
    let upstreams = Arc::new(Upstreams::new(policy, misbehavior, seed, &config.known));
    let proxy = Arc::new(Proxy::new(
        misbehavior,
        upstreams.clone(),
        config.listen,
        config.peers_all,
    ));
    if let Some(
        misbehavior @ (Misbehavior::OverstateMetrics
        | Misbehavior::RepeatIncarnation
        | Misbehavior::StaleSums),
    ) = misbehavior
    {
        let proxy = proxy.clone();
        tokio::spawn(write_metrics(misbehavior, move || proxy.requests()));
    }
    if let Some(advertiser) = misbehavior.and_then(Advertiser::of) {
        let (index, address) = (config.settings.index, config.listen.ip());
        tokio::spawn(advertiser.run(index, address, config.peers_all));
    }
    tokio::spawn(async move {
        upstreams
            .follow(config.discovery, config.known.version)
            .await;
    });
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        tokio::spawn(serve(proxy.clone(), stream));
    }
}

async fn serve(proxy: Arc<Proxy>, stream: TcpStream) {
    // If the client has disconnected, reading its request fails.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| {
        let proxy = proxy.clone();
        async move { proxy.handle_request(request).await }
    });
    // Connection errors are reported by the client.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
