//! A tenant within its share retains its value while another tenant exceeds its share.

pub(crate) fn check(tenant: &str, before: f64, during: f64, least: f64) -> Option<String> {
    let retained = during / before;
    // With a zero value before, the ratio is NaN or infinite and no violation is reported.
    (retained < least).then(|| {
        format!(
            "{tenant} earned {during:.3} of its value while others exceeded their share and {before:.3} before: ratio \
             {retained:.3}, expected at least {least}"
        )
    })
}
