//! Each request taken gets exactly one final answer before its client gives up. Owns the count of new connections that
//! were closed on their first request, of which a few may be.
use super::SLACK;
use crate::experiment::Millis;
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::Final;

/// An answer may come this long after its time; it earns nothing then, and one that comes later is lost.
pub const ANSWER_GRACE: Millis = 500.0;
/// The part of requests whose new connection may be closed with no answer, where nothing was sent on for them.
const TURNED_MOST: f64 = 1.0 / 200.0;

/// New connections that were closed on their first request.
#[derive(Default)]
pub(crate) struct Turned(u64);

/// What is wrong with an end.
pub(crate) enum Case {
    /// No answer.
    None(String),
    /// One that came this much too late.
    Late(Millis, String),
}

impl Turned {
    /// Looks at an end that nothing excuses.
    pub(crate) fn case(
        &mut self,
        now: Millis,
        name: &str,
        id: u64,
        t: &ClientCall,
        how: Final,
    ) -> Option<Case> {
        match how {
            Final::Turned if t.attempts.is_empty() => {
                self.0 += 1;
                None
            }
            Final::Ended | Final::Turned | Final::TimedOut => {
                let what = if how == Final::TimedOut {
                    "said nothing in its time"
                } else {
                    "ended its connection"
                };
                Some(Case::None(format!("{name} took {id:016x} and {what}")))
            }
            Final::Served(_) | Final::Refused | Final::Failed => {
                let by = now - t.deadline - ANSWER_GRACE - SLACK;
                let case = || {
                    format!(
                        "{name} answered {id:016x} {:.0} ms after its time",
                        now - t.deadline
                    )
                };
                (by > 0.0).then(|| Case::Late(by, case()))
            }
            Final::Partial | Final::Left => None,
        }
    }

    /// Whether too many were closed, of so many requests that were checked.
    pub(crate) fn too_many(&self, checked: u64) -> Option<String> {
        let over = self.0 as f64 > checked as f64 * TURNED_MOST;
        over.then(|| {
            format!(
                "{} of {checked} requests: a new connection was closed with no answer",
                self.0
            )
        })
    }
}
