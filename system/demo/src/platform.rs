//! A stand-in for the platform: the list of workers.
use crate::{
    error::DemoError,
    http_server::{serve, Answer, Call},
};
use magpiegap_protocol::WorkerEntry;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};
use tokio::net::TcpListener;

/// The list, shared with the workers that stand in it.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    entries: Arc<Mutex<BTreeMap<String, WorkerEntry>>>,
}

impl Platform {
    /// Puts a worker on the list.
    pub(crate) fn add(&self, entry: WorkerEntry) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.insert(entry.incarnation.clone(), entry);
    }

    /// Takes a worker off the list.
    pub(crate) fn remove(&self, incarnation: &str) {
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(incarnation);
    }

    /// Serves the list. Returns where.
    ///
    /// # Errors
    /// When no port can be had.
    pub(crate) async fn start(&self) -> Result<SocketAddr, DemoError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(DemoError::system("the platform's port"))?;
        let address = listener
            .local_addr()
            .map_err(DemoError::system("the platform's port"))?;
        let platform = self.clone();
        serve(listener, move |call| {
            let answer = platform.answer(&call);
            async move { answer }
        });
        Ok(address)
    }

    fn answer(&self, call: &Call) -> Answer {
        if call.path != "/instances" {
            return Answer {
                status: 404,
                body: serde_json::Value::Null,
            };
        }
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let instances: Vec<serde_json::Value> = entries.values().map(row).collect();
        let body = serde_json::json!({ "instances": instances, "nextPageToken": null });
        Answer { status: 200, body }
    }
}

fn row(entry: &WorkerEntry) -> serde_json::Value {
    serde_json::json!({
        "id": entry.incarnation,
        "service": entry.service,
        "address": entry.address,
        "zone": entry.zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "capacity": {
            "cpu": entry.capacity.cpu,
            "memMb": entry.capacity.memory_mb,
            "gpu": entry.capacity.gpu,
        },
        "labels": entry.labels,
    })
}
