//! Every successful response was produced by an upstream for this request.
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::Final;

pub(crate) fn check(name: &str, id: u64, call: &ClientCall, how: Final) -> Option<String> {
    let Final::Served(mark) = how else {
        return None;
    };
    let produced = mark.is_some_and(|mark| call.served.contains(&mark));
    (!produced).then(|| {
        format!(
            "{name} answered request {id:016x} with a response that no upstream produced for it"
        )
    })
}
