//! What is served was made by an upstream for this request.
use crate::oracle::client_calls::ClientCall;
use crate::oracle::facts::Final;

pub(crate) fn case(name: &str, id: u64, t: &ClientCall, how: Final) -> Option<String> {
    let Final::Served(mark) = how else {
        return None;
    };
    let made = mark.is_some_and(|mark| t.served.contains(&mark));
    (!made).then(|| format!("{name} served {id:016x} with what no upstream made for it"))
}
