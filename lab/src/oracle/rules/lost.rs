//! Each accepted request gets exactly one final response before its client gives up. Owns the count of new connections
//! that were closed on their first request, a small fraction of which is allowed.
use super::SLACK;
use crate::experiment::Millis;
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::Final;

/// A response may arrive this long after its deadline without earning anything; a later one is a violation.
pub const ANSWER_GRACE: Millis = 500.0;
/// Maximum fraction of requests whose new connection is closed without a response before any attempt was sent.
const MAX_CLOSED_FRACTION: f64 = 1.0 / 200.0;

/// Number of new connections that were closed on their first request.
#[derive(Default)]
pub(crate) struct ClosedConnections(u64);

/// Why the end of a call is a violation.
pub(crate) enum Case {
    /// No response.
    None(String),
    /// A response that was too late by this time.
    Late(Millis, String),
}

impl ClosedConnections {
    /// Checks the end of a call to a balancer that was able to act.
    pub(crate) fn check(
        &mut self,
        now: Millis,
        name: &str,
        id: u64,
        call: &ClientCall,
        how: Final,
    ) -> Option<Case> {
        match how {
            Final::ClosedNew if call.attempts.is_empty() => {
                self.0 += 1;
                None
            }
            Final::Closed | Final::ClosedNew | Final::TimedOut => {
                let what = if how == Final::TimedOut {
                    "sent no response in time"
                } else {
                    "closed the connection without a response"
                };
                Some(Case::None(format!(
                    "{name} accepted request {id:016x} and {what}"
                )))
            }
            Final::Served(_) | Final::Refused | Final::Failed => {
                let by = now - call.deadline - ANSWER_GRACE - SLACK;
                let case = || {
                    format!(
                        "{name} answered request {id:016x} {:.0} ms after its deadline",
                        now - call.deadline
                    )
                };
                (by > 0.0).then(|| Case::Late(by, case()))
            }
            Final::Partial | Final::Abandoned => None,
        }
    }

    /// Returns a description if too many connections were closed, relative to the number of checked requests.
    pub(crate) fn too_many(&self, checked: u64) -> Option<String> {
        let over = self.0 as f64 > checked as f64 * MAX_CLOSED_FRACTION;
        over.then(|| {
            format!(
                "{} of {checked} requests: a new connection was closed without a response",
                self.0
            )
        })
    }
}
