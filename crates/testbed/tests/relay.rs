//! The relay on sockets: what a cut, a break, a delay and little bandwidth look like to those at its ends.
use std::time::Duration;
use testbed::clock::{Clock, MS};
use testbed::relay::shape::Shape;
use testbed::relay::{LinkCondition, TcpRelay, UdpRelay};
use testbed::seed::Seed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::{timeout, Instant};

/// Far longer than anything takes that is to happen, and a look long enough at what is not to.
const BOUND: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(300);

struct Stand {
    target: TcpListener,
    relay: TcpRelay,
    condition: watch::Sender<LinkCondition>,
}

async fn stand() -> Stand {
    let target = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let condition = watch::Sender::new(LinkCondition::default());
    let clock = Clock::new(Instant::now());
    let at = target.local_addr().unwrap();
    let relay = TcpRelay::start(at, condition.subscribe(), (Seed(1), 0), clock).unwrap();
    Stand { target, relay, condition }
}

impl Stand {
    async fn pair(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.relay.address()).await.unwrap();
        let (far, _) = timeout(BOUND, self.target.accept()).await.expect("it is passed on").unwrap();
        (near, far)
    }

    fn set(&self, change: impl FnOnce(&mut LinkCondition)) {
        self.condition.send_modify(change);
    }
}

async fn comes(stream: &mut TcpStream, bytes: usize) -> Vec<u8> {
    let mut read = vec![0; bytes];
    timeout(BOUND, stream.read_exact(&mut read)).await.expect("it comes").unwrap();
    read
}

async fn nothing_comes(stream: &mut TcpStream) {
    let mut byte = [0];
    assert!(timeout(LOOK, stream.read(&mut byte)).await.is_err(), "something came: {byte:?}");
}

#[tokio::test]
async fn a_way_that_is_cut_holds_what_is_sent_and_the_other_way_passes() {
    let stand = stand().await;
    let (mut near, mut far) = stand.pair().await;
    stand.set(|c| c.reverse.cut = true);
    near.write_all(b"ask").await.unwrap();
    assert_eq!(comes(&mut far, 3).await, b"ask");
    far.write_all(b"answer").await.unwrap();
    nothing_comes(&mut near).await;
    stand.set(|c| c.reverse.cut = false);
    assert_eq!(comes(&mut near, 6).await, b"answer");
}

#[tokio::test]
async fn a_request_is_cut_in_its_middle_and_goes_on_where_it_was() {
    let stand = stand().await;
    let (mut near, mut far) = stand.pair().await;
    // Slow enough for the cut to fall within it.
    stand.set(|c| c.forward.bandwidth = Some(100_000.0));
    let body: Vec<u8> = (0..60_000u32).map(|i| i as u8).collect();
    let (sent, body) = (body.clone(), body);
    let writing = tokio::spawn(async move {
        near.write_all(&sent).await.unwrap();
        near
    });
    let mut got = comes(&mut far, 3_000).await;
    stand.set(|c| c.forward.cut = true);
    // What has passed the cut by now still comes.
    let mut more = [0; 2_000];
    while let Ok(Ok(read)) = timeout(LOOK, far.read(&mut more)).await {
        got.extend_from_slice(&more[..read]);
    }
    assert!(got.len() < body.len(), "all of it has passed");
    stand.set(|c| c.forward.cut = false);
    let rest = body.len() - got.len();
    got.extend(comes(&mut far, rest).await);
    assert!(got == body, "bytes are changed or missing");
    writing.await.unwrap();
}

#[tokio::test]
async fn no_connection_comes_up_over_a_cut_and_the_next_one_does_once_it_is_over() {
    let stand = stand().await;
    stand.set(|c| c.forward.cut = true);
    // The relay takes the news up some time soon.
    let until = Instant::now() + BOUND;
    while timeout(LOOK, TcpStream::connect(stand.relay.address())).await.is_ok() {
        assert!(Instant::now() < until, "connections come up all the while");
    }
    stand.set(|c| c.forward.cut = false);
    let mut near =
        timeout(BOUND, TcpStream::connect(stand.relay.address())).await.expect("it comes up").unwrap();
    near.write_all(b"x").await.unwrap();
    // Those that were begun under the cut and given up may come before it.
    loop {
        let (mut far, _) = timeout(BOUND, stand.target.accept()).await.expect("it is passed on").unwrap();
        let mut byte = [0];
        if timeout(BOUND, far.read(&mut byte)).await.expect("it ends or brings a byte").unwrap_or(0) == 1 {
            break;
        }
    }
}

#[tokio::test]
async fn a_break_resets_both_ends() {
    let stand = stand().await;
    let (mut near, mut far) = stand.pair().await;
    stand.set(|c| c.resets += 1);
    for end in [&mut near, &mut far] {
        let read = timeout(BOUND, end.read(&mut [0])).await.expect("it ends");
        assert_eq!(read.unwrap_err().kind(), std::io::ErrorKind::ConnectionReset);
    }
    let (mut near, mut far) = stand.pair().await;
    near.write_all(b"x").await.unwrap();
    comes(&mut far, 1).await;
}

#[tokio::test]
async fn delay_and_bandwidth_take_their_time() {
    let stand = stand().await;
    let (mut near, mut far) = stand.pair().await;
    stand.set(|c| c.forward = Shape { delay: 80 * MS, bandwidth: Some(50_000.0), ..Shape::default() });
    let begun = Instant::now();
    near.write_all(&[7; 10_000]).await.unwrap();
    comes(&mut far, 10_000).await;
    assert!(
        begun.elapsed() >= Duration::from_millis(280),
        "{:?} for 80 ms and 10 kB at 50 kB/s",
        begun.elapsed()
    );
}

#[tokio::test]
async fn an_end_passes_and_what_was_sent_before_it() {
    let stand = stand().await;
    let (mut near, mut far) = stand.pair().await;
    near.write_all(b"last").await.unwrap();
    near.shutdown().await.unwrap();
    let mut all = Vec::new();
    timeout(BOUND, far.read_to_end(&mut all)).await.expect("it ends").unwrap();
    assert_eq!(all, b"last");
    far.write_all(b"still").await.unwrap();
    assert_eq!(comes(&mut near, 5).await, b"still", "half closed");
}

#[tokio::test]
async fn datagrams_pass_both_ways_and_are_lost_by_their_share() {
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let condition = watch::Sender::new(LinkCondition::default());
    let clock = Clock::new(Instant::now());
    let at = target.local_addr().unwrap();
    let relay = UdpRelay::start(at, condition.subscribe(), (Seed(4), 0), clock).await.unwrap();
    let near = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    near.send_to(b"ping", relay.address()).await.unwrap();
    let mut buffer = [0; 16];
    let (read, from) = timeout(BOUND, target.recv_from(&mut buffer)).await.expect("it comes").unwrap();
    assert_eq!(&buffer[..read], b"ping");
    target.send_to(b"pong", from).await.unwrap();
    let (read, from) = timeout(BOUND, near.recv_from(&mut buffer)).await.expect("it comes back").unwrap();
    assert_eq!((&buffer[..read], from), (&b"pong"[..], relay.address()));
    condition.send_modify(|c| c.forward.loss = 0.5);
    for number in 0..100u8 {
        near.send_to(&[number], relay.address()).await.unwrap();
    }
    let mut count = 0;
    while let Ok(Ok((1, _))) = timeout(LOOK, target.recv_from(&mut buffer)).await {
        count += 1;
    }
    // The same ones each time, as the seed draws them.
    assert!((30..=70).contains(&count), "{count} of 100");
}
