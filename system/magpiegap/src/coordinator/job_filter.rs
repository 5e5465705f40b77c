//! Query parameters of the job list.
use magpiegap_protocol::{JobFilter, JobId, JobPhase};
use rocket::{http::RawStr, Request};

/// Maximum number of listed jobs when the query sets no limit.
const DEFAULT_LIST_LIMIT: u32 = 100;

/// Why a query is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum JobFilterError {
    /// A parameter has an invalid value.
    #[error("{field}: must be {expected}")]
    Field {
        /// The name of the parameter.
        field: String,
        /// The requirement that the value violates.
        expected: &'static str,
    },
    /// A parameter is unknown.
    #[error("{0}: there is no such field")]
    UnknownField(String),
}

/// Parses the query parameters `queue`, `state`, `after` and `limit`.
///
/// # Errors
/// When a parameter is unknown or has an invalid value.
pub(super) fn job_filter(request: &Request<'_>) -> Result<JobFilter, JobFilterError> {
    let mut filter = JobFilter {
        limit: DEFAULT_LIST_LIMIT,
        ..JobFilter::default()
    };
    let fields = request.uri().query().map(|query| query.segments());
    for (name, value) in fields.into_iter().flatten() {
        let must_be = |expected: &'static str| JobFilterError::Field {
            field: name.to_owned(),
            expected,
        };
        match name {
            "queue" => filter.queue = Some(percent_decoded(value)),
            "state" => {
                let phases = "pending, running, succeeded, failed or cancelled";
                let phase = JobPhase::parse(value).ok_or_else(|| must_be(phases))?;
                filter.phase = Some(phase);
            }
            "after" => {
                let job = JobId::parse(value).ok_or_else(|| must_be("16 hexadecimal digits"))?;
                filter.after = Some(job);
            }
            "limit" => filter.limit = value.parse().map_err(|_| must_be("a whole number"))?,
            _ => return Err(JobFilterError::UnknownField(name.to_owned())),
        }
    }
    Ok(filter)
}

/// Decodes a query value; a value with invalid encoding is returned unchanged.
fn percent_decoded(value: &str) -> String {
    RawStr::new(value)
        .url_decode()
        .map_or_else(|_| value.to_owned(), |decoded| decoded.into_owned())
}
