//! A stub platform that serves its list of workers over HTTP.
use crate::{
    error::DemoError,
    http_server::{serve, Request, Response},
};
use magpiegap_protocol::WorkerEntry;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::net::TcpListener;

/// The list of workers, by incarnation; clones share the list.
#[derive(Clone, Default)]
pub(crate) struct Platform {
    entries: Arc<Mutex<BTreeMap<String, WorkerEntry>>>,
}

impl Platform {
    /// Adds a worker to the list.
    pub(crate) fn add(&self, entry: WorkerEntry) {
        self.entries().insert(entry.incarnation.clone(), entry);
    }

    /// Removes a worker from the list.
    pub(crate) fn remove(&self, incarnation: &str) {
        self.entries().remove(incarnation);
    }

    /// Starts serving the list, and returns the address.
    ///
    /// # Errors
    /// If no port is available.
    pub(crate) async fn start(&self) -> Result<SocketAddr, DemoError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(DemoError::system("listening on the platform's port"))?;
        let address = listener
            .local_addr()
            .map_err(DemoError::system("listening on the platform's port"))?;
        let platform = self.clone();
        serve(listener, move |request| {
            let response = platform.handle_request(&request);
            async move { response }
        });
        Ok(address)
    }

    fn entries(&self) -> MutexGuard<'_, BTreeMap<String, WorkerEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle_request(&self, request: &Request) -> Response {
        if request.path != "/instances" {
            return Response {
                status: 404,
                body: serde_json::Value::Null,
            };
        }
        let instances: Vec<serde_json::Value> =
            self.entries().values().map(instance_body).collect();
        Response {
            status: 200,
            body: serde_json::json!({ "instances": instances, "nextPageToken": null }),
        }
    }
}

fn instance_body(entry: &WorkerEntry) -> serde_json::Value {
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
