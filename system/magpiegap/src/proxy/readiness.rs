//! The readiness check, which tells the platform whether the proxy accepts clients.
use super::cluster_watch::ClusterWatch;
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};
use std::sync::Arc;

/// URL path of the readiness check.
const READINESS_PATH: &str = "/-/ready";

/// Handles readiness checks of the platform.
#[derive(Clone)]
pub(super) struct ReadinessHandler {
    cluster: Arc<ClusterWatch>,
}

impl ReadinessHandler {
    /// Creates a handler that reports the readiness of `cluster`.
    pub(super) fn new(cluster: Arc<ClusterWatch>) -> ReadinessHandler {
        ReadinessHandler { cluster }
    }
}

#[rocket::async_trait]
impl Handler for ReadinessHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let status = if request.uri().path().as_str() != READINESS_PATH {
            Status::NotFound
        } else if self.cluster.is_ready() {
            Status::Ok
        } else {
            Status::ServiceUnavailable
        };
        Outcome::from(request, (status, ""))
    }
}
