//! Names that must be plain and distinct.

pub(super) type Wrong = (String, String);

pub(super) fn distinct<'a>(
    key: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), Wrong> {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        let plain = name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if name.is_empty() || !plain {
            return Err((
                format!("{key}[{i}]"),
                format!("{name:?} is no name of letters, digits, '-', '_' and '.'"),
            ));
        }
        if !seen.insert(name) {
            return Err((format!("{key}[{i}]"), format!("{name:?} is named twice")));
        }
    }
    Ok(())
}
