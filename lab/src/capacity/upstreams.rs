//! Upstreams that answer at once, or hold every call until they are told.
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
    /// Whether calls are held.
    holds: bool,
    /// Calls held now.
    pub calls_in_flight: AtomicUsize,
    /// Calls answered.
    pub answered: AtomicUsize,
}

impl Upstreams {
    /// Listens at the first places of the list.
    pub(super) async fn start(
        block: &Block,
        count: usize,
        holds: bool,
    ) -> Result<Arc<Upstreams>, BindError> {
        let upstreams = Arc::new(Upstreams {
            holds,
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
            if self.holds {
                self.calls_in_flight.fetch_add(1, Ordering::SeqCst);
                // Whatever comes, it is the end: the balancer writes nothing while it waits.
                let _ = stream.read_u8().await;
                self.calls_in_flight.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            self.answered.fetch_add(1, Ordering::Relaxed);
            if stream
                .write_all(http::answer("200 OK", "done\n").as_bytes())
                .await
                .is_err()
            {
                return;
            }
        }
    }
}
