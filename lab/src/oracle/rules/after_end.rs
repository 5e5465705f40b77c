//! No attempt is sent for a request after its end.
use super::SLACK;
use crate::experiment::Millis;
use crate::oracle::client_calls::ClientCall;

/// Returns by how much an attempt that arrives now is too late, and a description.
pub(crate) fn check(
    now: Millis,
    route: &str,
    id: u64,
    call: &ClientCall,
) -> Option<(Millis, String)> {
    let by = call
        .ended_at
        .map(|at| now - at - SLACK)
        .filter(|&by| by > 0.0)?;
    Some((
        by,
        format!("{route}: an attempt of request {id:016x} was sent after its end"),
    ))
}
