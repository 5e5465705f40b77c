//! Whether the proxy takes clients.
use super::feed::Knowledge;
use rocket::{
    data::Data,
    http::Status,
    route::{Handler, Outcome},
    Request,
};
use std::sync::Arc;

/// Answers the platform's question.
#[derive(Clone)]
pub(super) struct ReadinessHandler {
    knowledge: Arc<Knowledge>,
}

impl ReadinessHandler {
    /// A handler that tells by what is known.
    pub(super) fn new(knowledge: Arc<Knowledge>) -> ReadinessHandler {
        ReadinessHandler { knowledge }
    }
}

#[rocket::async_trait]
impl Handler for ReadinessHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        let known = request.uri().path().as_str() == "/-/ready";
        let status = match (known, self.knowledge.is_ready()) {
            (false, _) => Status::NotFound,
            (true, true) => Status::Ok,
            (true, false) => Status::ServiceUnavailable,
        };
        Outcome::from(request, (status, ""))
    }
}
