//! Golden files of encoded records, shared by the tests of several crates. Each line holds the name of a record and its
//! bytes in hexadecimal. Nothing here writes such a file, so that a changed encoding fails a test.

/// The records of a golden file, in order.
pub(crate) fn stored(file: &str) -> Vec<(&str, Vec<u8>)> {
    let record = |line| {
        let (name, hex): (&str, &str) = str::split_once(line, ": ").expect("a name and bytes");
        let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    file.lines().map(record).collect()
}

/// Asserts that the encoded records equal those of a golden file, including names and order.
pub(crate) fn assert_stored(file: &str, made: &[(String, Vec<u8>)]) {
    let line = |(name, bytes): &(String, Vec<u8>)| {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name}: {hex}\n")
    };
    let made: String = made.iter().map(line).collect();
    assert!(made == file, "stored:\n{file}made:\n{made}");
}
