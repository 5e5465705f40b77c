//! The little of HTTP/1.1 that the stand-ins need: whole messages with a stated length, counted in bytes.
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Longest head of a message that is read.
const HEAD_MOST: u64 = 16 << 10;

/// A message as it came.
pub(super) struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Its bytes, the body included.
    pub bytes: usize,
}

impl Message {
    /// The status of an answer.
    pub(super) fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// A metric of a request's query.
    pub(super) fn query(&self, name: &str) -> Option<u64> {
        let query = self.start.split(' ').nth(1)?.split_once('?')?.1;
        let pair = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        pair?.parse().ok()
    }
}

/// Reads the next message; none when the connection ends or what comes is no message.
pub(super) async fn read(stream: &mut (impl AsyncBufRead + Unpin)) -> Option<Message> {
    let mut head = stream.take(HEAD_MOST);
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

/// An answer with a body.
pub(super) fn answer(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
