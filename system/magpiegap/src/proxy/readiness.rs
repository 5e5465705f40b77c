//! The readiness check: whether the proxy takes clients.
use super::cluster_watch::ClusterWatch;
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};
use std::sync::Arc;

/// The path of the check.
const READINESS_PATH: &str = "/-/ready";

/// Responds to the platform's readiness checks.
#[derive(Clone)]
pub(super) struct ReadinessHandler {
    cluster: Arc<ClusterWatch>,
}

impl ReadinessHandler {
    /// A handler for a proxy that knows this of the cluster.
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
