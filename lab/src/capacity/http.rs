//! Minimal HTTP/1.1 for the emulated components: complete messages with a `Content-Length`, counted in bytes.
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Maximum length of a message head, in bytes.
const MAX_HEAD_LEN: u64 = 16 << 10;

/// A received message.
pub(super) struct Message {
    /// The request or status line.
    pub start: String,
    /// Its length in bytes, including the body.
    pub bytes: usize,
}

impl Message {
    /// Returns the status code of a response.
    pub(super) fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// Returns a numeric parameter of a request's query.
    pub(super) fn query(&self, name: &str) -> Option<u64> {
        let query = self.start.split(' ').nth(1)?.split_once('?')?.1;
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair?.parse().ok()
    }
}

/// Reads the next message; none if the connection is closed or the message is malformed.
pub(super) async fn read(stream: &mut (impl AsyncBufRead + Unpin)) -> Option<Message> {
    let mut head = stream.take(MAX_HEAD_LEN);
    let mut start = String::new();
    let mut bytes = head.read_line(&mut start).await.ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        let read = head.read_line(&mut line).await.ok()?;
        if read == 0 {
            return None;
        }
        bytes += read;
        match line.trim_end().split_once(':') {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.trim().parse().ok()?;
            }
            Some(_) => {}
            None => break,
        }
    }
    let stream = head.into_inner();
    let mut body = stream.take(length);
    let read = tokio::io::copy(&mut body, &mut tokio::io::sink())
        .await
        .ok()?;
    (read == length).then(|| Message {
        start: start.trim_end().into(),
        bytes: bytes + read as usize,
    })
}

/// Formats a response with a body.
pub(super) fn response(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
