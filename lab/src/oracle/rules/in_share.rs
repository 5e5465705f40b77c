//! A tenant within its share keeps its worth whatever another does.

pub(crate) fn case(tenant: &str, before: f64, during: f64, least: f64) -> Option<String> {
    let retained = during / before;
    // Worth of nothing before leaves nothing to keep.
    (retained < least).then(|| {
        format!("{tenant} has {during:.3} of its worth beside others and had {before:.3}: {retained:.3} of it, not {least}")
    })
}
