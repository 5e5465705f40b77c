//! A request has at most one attempt in flight.
use super::SLACK;
use crate::experiment::Millis;
use crate::oracle::client_calls::ClientCall;

/// Returns by how much the attempt that ends now overlapped with the next one beyond the slack, and a description.
pub(crate) fn check(
    now: Millis,
    name: &str,
    id: u64,
    call: &ClientCall,
    number: usize,
) -> Option<(Millis, String)> {
    let overlap = now - call.attempts.get(number + 1)?.began;
    let case =
        || format!("{name}: two attempts of request {id:016x} were in flight for {overlap:.0} ms");
    (overlap > SLACK).then(|| (overlap - SLACK, case()))
}
