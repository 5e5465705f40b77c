//! Upstreams that either answer immediately or hold every call open.
use super::discovery::upstream_at;
use super::http;
use crate::error::BindError;
use crate::net::Block;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// All upstreams of a trial.
#[derive(Default)]
pub(super) struct Upstreams {
    /// Whether calls are held open instead of answered.
    holds_calls: bool,
    /// Calls currently held open.
    pub calls_in_flight: AtomicUsize,
    /// Number of calls answered.
    pub answered: AtomicUsize,
}

impl Upstreams {
    /// Starts listeners for the first `count` upstreams of the list.
    pub(super) async fn start(
        block: &Block,
        count: usize,
        holds_calls: bool,
    ) -> Result<Arc<Upstreams>, BindError> {
        let upstreams = Arc::new(Upstreams {
            holds_calls,
            ..Upstreams::default()
        });
        for number in 0..count {
            let at = upstream_at(block, number);
            let listener = TcpListener::bind(at).await.map_err(BindError::at(at))?;
            tokio::spawn(upstreams.clone().accept(listener));
        }
        Ok(upstreams)
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while http::read(&mut stream).await.is_some() {
            if self.holds_calls {
                self.calls_in_flight.fetch_add(1, Ordering::SeqCst);
                // The balancer writes nothing while it waits, so any read result means that the call has ended.
                let _ = stream.read_u8().await;
                self.calls_in_flight.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            self.answered.fetch_add(1, Ordering::Relaxed);
            if stream
                .write_all(http::response("200 OK", "done\n").as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}
