//! One attempt is out at a time.
use super::SLACK;
use crate::experiment::Millis;
use crate::oracle::client_calls::ClientCall;

/// By how much too long the attempt that ends now was out beside the next one, and the case.
pub(crate) fn case(
    now: Millis,
    name: &str,
    id: u64,
    t: &ClientCall,
    number: usize,
) -> Option<(Millis, String)> {
    let overlap = now - t.attempts.get(number + 1)?.began;
    let case = || format!("{name}: two attempts of {id:016x} were out for {overlap:.0} ms");
    (overlap > SLACK).then(|| (overlap - SLACK, case()))
}
