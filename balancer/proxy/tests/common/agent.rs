//! Discovery that treats each call as a test says, with many connections at once.
#![allow(dead_code)]
use super::{read, TEST_TIMEOUT};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What it does with one call.
pub(crate) enum Manner {
    /// Says nothing; the connection stays up.
    Unresponsive,
    /// Ends the connection without an answer.
    Ends,
    /// Writes the first half of this list and then nothing.
    Half(String),
    /// Writes this list in so many pieces, with a pause before each.
    Pieces(String, usize, Duration),
    /// Writes the head of an answer, then a byte at a time for ever.
    Trickles,
    /// Writes this list after a pause.
    Late(Duration, String),
    /// Writes this list.
    Answers(String),
}

/// The running fake; each call is told with its number's moment and its path.
pub(crate) struct Agent {
    pub addr: SocketAddr,
    pub calls: Receiver<(Instant, String)>,
}

impl Agent {
    /// `manner` gets the number of the call, from 0, and its path.
    pub(crate) fn start(manner: impl Fn(usize, &str) -> Manner + Send + Sync + 'static) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let addr = listener.local_addr().expect("an address");
        let (tell, calls) = channel();
        let (manner, number) = (Arc::new(manner), Arc::new(AtomicUsize::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (manner, number, tell) = (manner.clone(), number.clone(), tell.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(call) = read(&mut stream) {
                        let path = call.start.split(' ').nth(1).expect("a path").to_string();
                        let what = manner(number.fetch_add(1, Ordering::SeqCst), &path);
                        let _ = tell.send((Instant::now(), path));
                        if treat(stream.get_mut(), what).is_none() {
                            return;
                        }
                    }
                });
            }
        });
        Agent { addr, calls }
    }

    /// The next call's path.
    pub(crate) fn called(&self) -> String {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call").1
    }

    /// Waits for a call with this in its path.
    pub(crate) fn called_with(&self, part: &str) {
        while !self.called().contains(part) {}
    }
}

fn answer(list: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
        list.len()
    )
}

/// `None`: the connection is over.
fn treat(stream: &mut TcpStream, what: Manner) -> Option<()> {
    match what {
        Manner::Unresponsive => {}
        Manner::Ends => return None,
        Manner::Half(list) => {
            let complete = answer(&list);
            stream
                .write_all(&complete.as_bytes()[..complete.len() / 2])
                .ok()?;
        }
        Manner::Pieces(list, pieces, pause) => {
            let complete = answer(&list);
            for piece in complete.as_bytes().chunks(complete.len().div_ceil(pieces)) {
                thread::sleep(pause);
                stream.write_all(piece).ok()?;
            }
        }
        Manner::Trickles => {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n")
                .ok()?;
            loop {
                stream.write_all(b" ").ok()?;
                thread::sleep(Duration::from_millis(200));
            }
        }
        Manner::Late(pause, list) => {
            thread::sleep(pause);
            stream.write_all(answer(&list).as_bytes()).ok()?;
        }
        Manner::Answers(list) => stream.write_all(answer(&list).as_bytes()).ok()?,
    }
    Some(())
}
