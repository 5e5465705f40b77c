//! The number of attempts of a request stays within the configured maximum.

/// `number`: attempts of the request before this one.
pub(crate) fn check(route: &str, id: u64, number: usize, most: usize) -> Option<String> {
    (number >= most).then(|| {
        format!(
            "{route}: attempt {} of request {id:016x}; at most {most} are allowed",
            number + 1
        )
    })
}
