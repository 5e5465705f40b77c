//! Nothing is sent for a request after its end.
use super::SLACK;
use crate::experiment::Millis;
use crate::oracle::client_calls::ClientCall;

/// By how much too late an attempt comes now, and the case.
pub(crate) fn case(now: Millis, route: &str, id: u64, t: &ClientCall) -> Option<(Millis, String)> {
    let by = t.over.map(|at| now - at - SLACK).filter(|&by| by > 0.0)?;
    Some((by, format!("{route}: {id:016x} was sent after its end")))
}
