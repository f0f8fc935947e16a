//! Tests of the relays on sockets: how cuts, resets, delay and limited bandwidth appear to both ends of a
//! link.
use std::time::Duration;
use testbed::clock::{Clock, MS};
use testbed::relay::shape::Shape;
use testbed::relay::{LinkCondition, TcpRelay, UdpRelay};
use testbed::seed::Seed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// Far longer than any expected event takes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which an unexpected event is watched for.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// A relayed link and the listener that is its target.
struct RelayedLink {
    target: TcpListener,
    relay: TcpRelay,
    condition: watch::Sender<LinkCondition>,
}

async fn start_link() -> RelayedLink {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let condition = watch::Sender::new(LinkCondition::default());
    let clock = Clock::new(Instant::now());
    let at = target.local_addr().unwrap();
    let relay = TcpRelay::start(at, condition.subscribe(), (Seed(1), 0), clock).unwrap();
    RelayedLink { target, relay, condition }
}

impl RelayedLink {
    /// Connects through the relay, and returns both ends of the connection.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.relay.address()).await.unwrap();
        let (far, _) = timeout(TIMEOUT, self.target.accept())
            .await
            .expect("the relay must connect to the target")
            .unwrap();
        (near, far)
    }

    fn change_condition(&self, change: impl FnOnce(&mut LinkCondition)) {
        self.condition.send_modify(change);
    }
}

/// Reads so many bytes.
async fn receive(stream: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let mut read = vec![0; bytes];
    timeout(TIMEOUT, stream.read_exact(&mut read)).await.expect("bytes must arrive").unwrap();
    read
}

/// Asserts that no byte arrives.
async fn assert_nothing_arrives(stream: &mut TcpStream) {
    let mut byte = [0];
    assert!(timeout(QUIET_TIME, stream.read(&mut byte)).await.is_err(), "unexpected byte: {byte:?}");
}

#[tokio::test]
async fn one_way_cut_holds_bytes_back_in_that_direction_only() {
    let link = start_link().await;
    let (mut near, mut far) = link.connect().await;
    link.change_condition(|c| c.reverse.cut = true);
    near.write_all(b"ask").await.unwrap();
    assert_eq!(receive(&mut far, 3).await, b"ask");
    far.write_all(b"answer").await.unwrap();
    assert_nothing_arrives(&mut near).await;
    link.change_condition(|c| c.reverse.cut = false);
    assert_eq!(receive(&mut near, 6).await, b"answer");
}

#[tokio::test]
async fn cut_within_a_request_resumes_without_loss() {
    let link = start_link().await;
    let (mut near, mut far) = link.connect().await;
    // Slow enough for the cut to fall within the request.
    link.change_condition(|c| c.forward.bandwidth = Some(100_000.0));
    let body: Vec<u8> = (0..60_000u32).map(|i| i as u8).collect();
    let (sent, body) = (body.clone(), body);
    let writing = tokio::spawn(async move {
        near.write_all(&sent).await.unwrap();
        near
    });
    let mut received = receive(&mut far, 3_000).await;
    link.change_condition(|c| c.forward.cut = true);
    // Bytes that were past the cut still arrive.
    let mut more = [0; 2_000];
    while let Ok(Ok(read)) = timeout(QUIET_TIME, far.read(&mut more)).await {
        received.extend_from_slice(&more[..read]);
    }
    assert!(received.len() < body.len(), "the cut must come before the end of the request");
    link.change_condition(|c| c.forward.cut = false);
    let rest = body.len() - received.len();
    received.extend(receive(&mut far, rest).await);
    assert!(received == body, "bytes are changed or missing");
    writing.await.unwrap();
}

#[tokio::test]
async fn cut_prevents_connections_until_it_ends() {
    let link = start_link().await;
    link.change_condition(|c| c.forward.cut = true);
    // The relay applies the new condition shortly after it is set.
    let deadline = Instant::now() + TIMEOUT;
    while timeout(QUIET_TIME, TcpStream::connect(link.relay.address())).await.is_ok() {
        assert!(Instant::now() < deadline, "connections are still established over a cut");
    }
    link.change_condition(|c| c.forward.cut = false);
    let mut near = timeout(TIMEOUT, TcpStream::connect(link.relay.address()))
        .await
        .expect("a connection must be established")
        .unwrap();
    near.write_all(b"x").await.unwrap();
    // Connections that were begun during the cut and abandoned may be relayed first.
    loop {
        let (mut far, _) = timeout(TIMEOUT, link.target.accept())
            .await
            .expect("the relay must connect to the target")
            .unwrap();
        let mut byte = [0];
        if timeout(TIMEOUT, far.read(&mut byte)).await.expect("a byte or the end must arrive").unwrap_or(0)
            == 1
        {
            break;
        }
    }
}

#[tokio::test]
async fn reset_closes_both_ends() {
    let link = start_link().await;
    let (mut near, mut far) = link.connect().await;
    link.change_condition(|c| c.resets += 1);
    for end in [&mut near, &mut far] {
        let read = timeout(TIMEOUT, end.read(&mut [0])).await.expect("the connection must end");
        assert_eq!(read.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    }
    let (mut near, mut far) = link.connect().await;
    near.write_all(b"x").await.unwrap();
    receive(&mut far, 1).await;
}

#[tokio::test]
async fn delay_and_bandwidth_slow_a_transfer() {
    let link = start_link().await;
    let (mut near, mut far) = link.connect().await;
    link.change_condition(|c| {
        c.forward = Shape { delay: 80 * MS, bandwidth: Some(50_000.0), ..Shape::default() }
    });
    let begun = Instant::now();
    near.write_all(&[7; 10_000]).await.unwrap();
    receive(&mut far, 10_000).await;
    assert!(
        begun.elapsed() >= Duration::from_millis(280),
        "{:?} for a delay of 80 ms and 10 kB at 50 kB/s",
        begun.elapsed()
    );
}

#[tokio::test]
async fn half_close_follows_the_bytes_sent_before_it() {
    let link = start_link().await;
    let (mut near, mut far) = link.connect().await;
    near.write_all(b"last").await.unwrap();
    near.shutdown().await.unwrap();
    let mut received = Vec::new();
    timeout(TIMEOUT, far.read_to_end(&mut received)).await.expect("the stream must end").unwrap();
    assert_eq!(received, b"last");
    far.write_all(b"still").await.unwrap();
    assert_eq!(receive(&mut near, 5).await, b"still", "the other direction must stay open");
}

#[tokio::test]
async fn datagrams_are_relayed_both_ways_and_lost_by_probability() {
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let condition = watch::Sender::new(LinkCondition::default());
    let clock = Clock::new(Instant::now());
    let at = target.local_addr().unwrap();
    let relay = UdpRelay::start(at, condition.subscribe(), (Seed(4), 0), clock).await.unwrap();
    let near = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    near.send_to(b"ping", relay.address()).await.unwrap();
    let mut buffer = [0; 16];
    let (read, from) =
        timeout(TIMEOUT, target.recv_from(&mut buffer)).await.expect("the datagram must arrive").unwrap();
    assert_eq!(&buffer[..read], b"ping");
    target.send_to(b"pong", from).await.unwrap();
    let (read, from) =
        timeout(TIMEOUT, near.recv_from(&mut buffer)).await.expect("the reply must arrive").unwrap();
    assert_eq!((&buffer[..read], from), (&b"pong"[..], relay.address()));
    condition.send_modify(|c| c.forward.loss = 0.5);
    for number in 0..100u8 {
        near.send_to(&[number], relay.address()).await.unwrap();
    }
    let mut count = 0;
    while let Ok(Ok((1, _))) = timeout(QUIET_TIME, target.recv_from(&mut buffer)).await {
        count += 1;
    }
    // The seed draws the same losses in each run.
    assert!((30..=70).contains(&count), "{count} of 100");
}
