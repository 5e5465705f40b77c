//! The query of the operator's list of jobs.
use magpiegap_protocol::{JobFilter, JobId, JobPhase};
use rocket::{http::RawStr, Request};

/// Maximum number of jobs in a list where no other limit is requested.
const DEFAULT_LIST_LIMIT: u32 = 100;

/// Why a query of the list of jobs can't be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum JobFilterError {
    /// A field has a value that can't be used.
    #[error("{field}: must be {must}")]
    Field {
        /// The field.
        field: String,
        /// What it must be.
        must: &'static str,
    },
    /// There is no field of that name.
    #[error("{0}: there is no such field")]
    UnknownField(String),
}

/// Reads which jobs are to be listed: `queue`, `state`, `after` and `limit` in the query.
///
/// # Errors
/// When a field is unknown, or has a value that can't be used.
pub(super) fn job_filter(request: &Request<'_>) -> Result<JobFilter, JobFilterError> {
    let mut filter = JobFilter {
        limit: DEFAULT_LIST_LIMIT,
        ..JobFilter::default()
    };
    let fields = request.uri().query().map(|query| query.segments());
    for (name, value) in fields.into_iter().flatten() {
        let must_be = |must: &'static str| JobFilterError::Field {
            field: name.to_owned(),
            must,
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

/// A value of a query; one that is not properly encoded stays as it is.
fn percent_decoded(value: &str) -> String {
    RawStr::new(value)
        .url_decode()
        .map_or_else(|_| value.to_owned(), |decoded| decoded.into_owned())
}
