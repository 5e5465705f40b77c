//! A fake discovery service, and the endpoint lists that it returns.
use super::{read, Message, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;

/// Responds to each call with the next prepared response, and waits while there is none.
pub(crate) struct Discovery {
    pub addr: SocketAddr,
    pub calls: Receiver<Message>,
    responses: Sender<String>,
}

impl Discovery {
    pub(crate) fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("socket address");
        let (responses, prepared_responses) = channel::<String>();
        let (calls_tx, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut stream = BufReader::new(stream);
                while let Some(call) = read(&mut stream) {
                    let _ = calls_tx.send(call);
                    let Ok(response) = prepared_responses.recv() else {
                        return;
                    };
                    let _ = stream.get_mut().write_all(response.as_bytes());
                    if response.contains("Connection: close") {
                        break;
                    }
                }
            }
        });
        Discovery {
            addr,
            calls,
            responses,
        }
    }

    pub(crate) fn respond(&self, body: &str) {
        self.respond_with_headers("", body);
    }

    /// As [`Discovery::respond`], with further headers, each with its line end.
    pub(crate) fn respond_with_headers(&self, headers: &str, body: &str) {
        let text = format!(
            "HTTP/1.1 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        self.responses.send(text).expect("discovery is running");
    }

    pub(crate) fn respond_unavailable(&self) {
        let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
        self.responses
            .send(text.into())
            .expect("discovery is running");
    }

    /// Waits for the next call and returns its path.
    pub(crate) fn next_call_path(&self) -> String {
        let call = self
            .calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a call to discovery");
        call.start_line.split(' ').nth(1).expect("a path").into()
    }
}

/// An endpoint list in discovery's JSON format: upstream `n` has id `s-n`.
pub(crate) fn listing(version: u64, full: bool, servers: &[(usize, SocketAddr, &str)]) -> String {
    let entry = |&(n, addr, state): &(usize, SocketAddr, &str)| {
        format!(
            r#"{{"id":"s-{n}","addr":"{addr}","zone":"a","kind":"m","cell":1,"state":"{state}","weight":1.0,
                "started_ms":0}}"#
        )
    };
    let servers: Vec<String> = servers.iter().map(entry).collect();
    format!(
        r#"{{"version":{version},"full":{full},"servers":[{}]}}"#,
        servers.join(",")
    )
}
