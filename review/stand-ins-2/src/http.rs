//! A small HTTP/1.1 server and client over std sockets.
use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Response {
        Response {
            status,
            body: body.into(),
        }
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Serves requests, with a thread for each connection. `None` closes the connection without a response.
pub fn serve(
    listener: TcpListener,
    handler: Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>,
) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(Request) -> Option<Response> + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let request = Request {
            method: words.next().unwrap_or("").to_owned(),
            target: words.next().unwrap_or("").to_owned(),
            headers,
            body,
        };
        let Some(response) = handler(request) else {
            return Ok(());
        };
        let head = format!(
            "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, Vec<u8>);

fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.parse::<usize>().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Why there is no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoResponse {
    /// The connection attempt failed.
    NotConnected,
    /// Nothing came within the timeout.
    TimedOut,
    /// The connection ended without a complete response.
    Cut,
}

/// Sends one request on a new connection.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Response, NoResponse> {
    let deadline = Instant::now() + timeout;
    let stream =
        TcpStream::connect_timeout(&to, timeout).map_err(|_| NoResponse::NotConnected)?;
    let _ = stream.set_nodelay(true);
    exchange(&stream, to, method, path, headers, body, deadline)
}

/// Sends one request on an open connection and reads the response.
pub fn exchange(
    mut stream: &TcpStream,
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    deadline: Instant,
) -> Result<Response, NoResponse> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| key.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (key, value) in headers {
        head.push_str(&format!("{key}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|_| NoResponse::Cut)?;
    let mut received: Vec<u8> = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        if let Some(response) = complete_response(&received) {
            return Ok(response);
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(NoResponse::TimedOut);
        }
        let _ = stream.set_read_timeout(Some(remaining));
        match stream.read(&mut chunk) {
            Ok(0) => return Err(NoResponse::Cut),
            Ok(length) => received.extend_from_slice(&chunk[..length]),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                return Err(NoResponse::TimedOut)
            }
            Err(_) => return Err(NoResponse::Cut),
        }
    }
}

fn complete_response(received: &[u8]) -> Option<Response> {
    let end = received.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let length = lines
        .filter_map(|line| line.split_once(':'))
        .find(|(key, _)| key.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| value.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let body = received.get(end + 4..end + 4 + length)?;
    Some(Response::new(status, body))
}
