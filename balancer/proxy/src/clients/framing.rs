//! Finds the end of a request in a client's byte stream without parsing it. This only limits how much hyper reads at
//! once; hyper interprets the bytes. Owns the current position in the request.
use hyper::body::Body;
use hyper::Request;

/// Scans for the empty line that ends a request head.
#[derive(Default)]
pub(super) struct HeadScan {
    /// No byte of the current line has been seen.
    at_line_start: bool,
}

impl HeadScan {
    /// Returns how many of these bytes hyper may read: up to the end of an empty line, or all.
    pub(super) fn take(&mut self, bytes: &[u8]) -> usize {
        for (position, &byte) in bytes.iter().enumerate() {
            match byte {
                b'\n' if self.at_line_start => return position + 1,
                b'\n' => self.at_line_start = true,
                b'\r' => {}
                _ => self.at_line_start = false,
            }
        }
        bytes.len()
    }
}

/// How the end of a body is found.
pub(super) enum Framing {
    /// By length: this many bytes are left.
    Length(u64),
    /// Chunked: the body ends with an empty line; `last_empty` tells whether the last line read was empty.
    Lines { last_empty: bool },
}

impl Framing {
    /// Returns the framing of the body of `request`.
    pub(super) fn of<B: Body>(request: &Request<B>) -> Framing {
        request
            .body()
            .size_hint()
            .exact()
            .map_or(Framing::Lines { last_empty: false }, Framing::Length)
    }

    /// Returns how many of these bytes hyper may read, and counts them as read.
    pub(super) fn take(&mut self, bytes: &[u8]) -> usize {
        match self {
            Framing::Length(left) => {
                let taken = bytes
                    .len()
                    .min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= taken as u64;
                taken
            }
            Framing::Lines { last_empty } => {
                let taken = bytes
                    .iter()
                    .position(|&byte| byte == b'\n')
                    .map_or(bytes.len(), |end| end + 1);
                *last_empty = matches!(&bytes[..taken], b"\r\n" | b"\n");
                taken
            }
        }
    }

    /// Whether bytes beyond the body may have been read, given that the body is complete.
    pub(super) fn may_have_read_beyond(&self) -> bool {
        matches!(self, Framing::Lines { last_empty: false })
    }

    /// Whether the body is known to be complete.
    pub(super) fn is_complete(&self) -> bool {
        matches!(self, Framing::Length(0))
    }
}
