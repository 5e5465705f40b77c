//! HTTP messages as read from a socket, and requests as clients write them.
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or a response as read from a socket.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub(crate) fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .expect("a status line")
    }
}

/// Reads one message; `None` when the connection is closed before the message is complete.
pub(crate) fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start_line = String::new();
    if stream.read_line(&mut start_line).unwrap_or(0) == 0 {
        return None;
    }
    let mut message = Message {
        start_line: start_line.trim_end().into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => message.headers.push((name.into(), value.trim().into())),
            None => break,
        }
    }
    let length = message
        .header("content-length")
        .map_or(0, |l| l.parse().expect("valid content-length"));
    message.body.resize(length, 0);
    stream.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// A request that may be retried.
pub(crate) fn get(id: &str, deadline: &str) -> String {
    format!(
        "GET /api/x?y=1 HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: read\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\n\r\n"
    )
}

/// A request that must not be executed twice.
pub(crate) fn pay(id: &str, deadline: &str) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Kind: pay\r\n\
         Req-Owner: club\r\nReq-Deadline: {deadline}\r\nContent-Length: 4\r\n\r\nbody"
    )
}
