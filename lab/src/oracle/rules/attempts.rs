//! No more attempts for a request than the settings allow.

/// `number`: attempts that the request had before this one.
pub(crate) fn case(route: &str, id: u64, number: usize, most: usize) -> Option<String> {
    (number >= most).then(|| format!("{route}: {id:016x} is sent for the {} time", number + 1))
}
