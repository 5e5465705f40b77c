//! Where a request ends among a client's bytes, as far as that can be told without parsing it. It only divides what
//! hyper reads into pieces; what the pieces mean is hyper's. Owns the place that was reached.
use hyper::body::Body;
use hyper::Request;

/// Looks for the empty line that ends a head.
#[derive(Default)]
pub(super) struct HeadScan {
    /// Nothing has come since the last line's end.
    at_line_start: bool,
}

impl HeadScan {
    /// How many of these bytes may be taken: all up to the end of an empty line, or all.
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

/// How a body comes.
pub(super) enum Framing {
    /// So many bytes are to come.
    Length(u64),
    /// In chunks: it ends with some empty line, and `last_empty` says whether the last one taken was empty.
    Lines { last_empty: bool },
}

impl Framing {
    /// That of this request's body.
    pub(super) fn of<B: Body>(request: &Request<B>) -> Framing {
        request
            .body()
            .size_hint()
            .exact()
            .map_or(Framing::Lines { last_empty: false }, Framing::Length)
    }

    /// How many of these bytes may be taken, and counts them.
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

    /// Whether something was taken that is not this body's, once that is complete.
    pub(super) fn may_have_taken_beyond(&self) -> bool {
        matches!(self, Framing::Lines { last_empty: false })
    }

    /// Nothing is to come any more.
    pub(super) fn is_complete(&self) -> bool {
        matches!(self, Framing::Length(0))
    }
}
