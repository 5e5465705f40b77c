//! A fake discovery service that handles each call as the test's script says, on any number of connections at once.
#![allow(dead_code)]
use super::{read, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How one call is handled.
pub(crate) enum Behavior {
    /// Never responds and keeps the connection open.
    Unresponsive,
    /// Closes the connection without a response.
    Closes,
    /// Writes the first half of a response with this list, then nothing.
    PartialResponse(String),
    /// Writes a response with this list in this number of pieces, with a pause before each.
    RespondsInPieces(String, usize, Duration),
    /// Writes a response head, then one byte at a time without end.
    Trickles,
    /// Responds with this list after a pause.
    RespondsAfter(Duration, String),
    /// Responds with this list.
    Responds(String),
}

/// `calls` receives the time and the path of each call.
pub(crate) struct ScriptedDiscovery {
    pub addr: SocketAddr,
    pub calls: Receiver<(Instant, String)>,
}

impl ScriptedDiscovery {
    /// `behavior` is given the number of the call, from 0, and its path.
    pub(crate) fn start(
        behavior: impl Fn(usize, &str) -> Behavior + Send + Sync + 'static,
    ) -> ScriptedDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let addr = listener.local_addr().expect("socket address");
        let (calls_tx, calls) = channel();
        let (behavior, number) = (Arc::new(behavior), Arc::new(AtomicUsize::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (behavior, number, calls_tx) =
                    (behavior.clone(), number.clone(), calls_tx.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(call) = read(&mut stream) {
                        let path = call
                            .start_line
                            .split(' ')
                            .nth(1)
                            .expect("a path")
                            .to_string();
                        let action = behavior(number.fetch_add(1, Ordering::SeqCst), &path);
                        let _ = calls_tx.send((Instant::now(), path));
                        if handle(stream.get_mut(), action).is_none() {
                            return;
                        }
                    }
                });
            }
        });
        ScriptedDiscovery { addr, calls }
    }

    /// Waits for the next call and returns its path.
    pub(crate) fn next_call_path(&self) -> String {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("a call to discovery")
            .1
    }

    /// Waits for a call whose path contains `part`.
    pub(crate) fn wait_for_call_containing(&self, part: &str) {
        while !self.next_call_path().contains(part) {}
    }
}

fn response(list: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    )
}

/// Returns `None` when the connection is to be closed.
fn handle(stream: &mut TcpStream, behavior: Behavior) -> Option<()> {
    match behavior {
        Behavior::Unresponsive => {}
        Behavior::Closes => return None,
        Behavior::PartialResponse(list) => {
            let complete = response(&list);
            stream
                .write_all(&complete.as_bytes()[..complete.len() / 2])
                .ok()?;
        }
        Behavior::RespondsInPieces(list, pieces, pause) => {
            let complete = response(&list);
            for piece in complete.as_bytes().chunks(complete.len().div_ceil(pieces)) {
                thread::sleep(pause);
                stream.write_all(piece).ok()?;
            }
        }
        Behavior::Trickles => {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
                .ok()?;
            loop {
                stream.write_all(b" ").ok()?;
                thread::sleep(Duration::from_millis(200));
            }
        }
        Behavior::RespondsAfter(pause, list) => {
            thread::sleep(pause);
            stream.write_all(response(&list).as_bytes()).ok()?;
        }
        Behavior::Responds(list) => stream.write_all(response(&list).as_bytes()).ok()?,
    }
    Some(())
}
