//! Ports that accept connections, refuse them or let them hang, and connections that are cut or reset.
use balancer_lab::net::{connect, listener, Block, Direction, Link, Port, PortMode};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

const SOON: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn a_port_follows_its_mode_and_recovers() {
    let block = Block::claim().expect("a block");
    let at = block.upstream(1, 2);
    let (mode, watched) = watch::channel(PortMode::Open);
    let mut port = Port::bind(at, watched).expect("binds");
    let (tell, mut taken) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok(Some(stream)) = port.accept().await {
            if tell.send(stream).is_err() {
                break;
            }
        }
    });
    for round in 0..3 {
        let up = timeout(TIMEOUT, TcpStream::connect(at))
            .await
            .expect("in time")
            .expect("connects");
        taken.recv().await.expect("accepted");
        drop(up);
        mode.send_replace(PortMode::Unresponsive);
        // Wait until the port is unresponsive: connections then neither open nor fail.
        while timeout(SOON, TcpStream::connect(at)).await.is_ok() {}
        assert!(
            timeout(SOON, TcpStream::connect(at)).await.is_err(),
            "round {round}"
        );
        if round == 1 {
            mode.send_replace(PortMode::Refusing);
            loop {
                match timeout(SOON, TcpStream::connect(at)).await {
                    Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => break,
                    _ => tokio::task::yield_now().await,
                }
            }
        }
        mode.send_replace(PortMode::Open);
        // Connections that hung in the meantime may still be accepted; drain them before the next round.
        loop {
            match timeout(SOON, TcpStream::connect(at)).await {
                Ok(Ok(_)) => break,
                _ => tokio::task::yield_now().await,
            }
        }
        while timeout(SOON, taken.recv()).await.is_ok_and(|s| s.is_some()) {}
    }
}

#[tokio::test]
async fn cut_links_block_and_resets_close_connections() {
    let block = Block::claim().expect("a block");
    let at = block.balancer(1);
    let server = listener(at).expect("listens");
    let link = Link::open();
    let mut client = connect(at, &link).await.expect("connects");
    let (mut far, _) = server.accept().await.expect("accepts");
    let mut byte = [0];
    link.cut(Direction::Inward);
    client.write_all(b"x").await.expect("writes");
    far.read_exact(&mut byte)
        .await
        .expect("the outward direction is not cut");
    far.write_all(b"y").await.expect("writes");
    assert!(timeout(SOON, client.read_exact(&mut byte)).await.is_err());
    assert!(
        timeout(SOON, connect(at, &link)).await.is_err(),
        "no new connection opens"
    );
    link.cut(Direction::Inward);
    link.heal(Direction::Inward);
    assert!(
        timeout(SOON, client.read_exact(&mut byte)).await.is_err(),
        "one of two cuts remains"
    );
    link.heal(Direction::Inward);
    timeout(TIMEOUT, client.read_exact(&mut byte))
        .await
        .expect("in time")
        .expect("reads");
    assert_eq!(&byte, b"y");
    link.reset();
    drop(client);
    let end = far.read(&mut byte).await;
    assert_eq!(
        end.map_err(|e| e.kind()),
        Err(io::ErrorKind::ConnectionReset)
    );
}
