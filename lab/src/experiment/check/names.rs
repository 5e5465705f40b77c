//! Validation of names: allowed characters and uniqueness.

/// The invalid key and a message.
pub(super) type Invalid = (String, String);

pub(super) fn distinct<'a>(
    key: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<(), Invalid> {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        let allowed = name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if name.is_empty() || !allowed {
            return Err((
                format!("{key}[{i}]"),
                format!("invalid name {name:?}: allowed are letters, digits, '-', '_' and '.'"),
            ));
        }
        if !seen.insert(name) {
            return Err((format!("{key}[{i}]"), format!("duplicate name {name:?}")));
        }
    }
    Ok(())
}
