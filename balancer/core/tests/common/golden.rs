//! Bytes that were stored once, for the tests of every crate that pins some: a file has a line for each record, its
//! name and its bytes in hexadecimal. Nothing here writes such a file: bytes that are others now fail a test.

/// The records of a file, in its order.
pub(crate) fn stored(file: &str) -> Vec<(&str, Vec<u8>)> {
    let record = |line| {
        let (name, hex): (&str, &str) = str::split_once(line, ": ").expect("a name and bytes");
        let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
        (name, (0..hex.len()).step_by(2).map(byte).collect())
    };
    file.lines().map(record).collect()
}

/// Holds the bytes that the program makes against those of a file: the same records, names and order.
pub(crate) fn assert_stored(file: &str, made: &[(String, Vec<u8>)]) {
    let line = |(name, bytes): &(String, Vec<u8>)| {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name}: {hex}\n")
    };
    let made: String = made.iter().map(line).collect();
    assert!(made == file, "stored:\n{file}made:\n{made}");
}
