//! Clients' connections at each standing, on loopback and one thread: what is answered, and which go on.

mod machine;

use machine::{limits, quiet};
use mintlb::{Effect, ProjectType};
use mintlb_core::clock::Clock;
use mintlb_core::figures::Figures;
use mintlb_core::reducer::Event;
use mintlb_core::room::Room;
use mintlb_core::standing::{Notice, Standing, Word};
use mintlb_core::types::Named;
use mintlb_core::work::{Answer, Numbers};
use mintlb_http::front::Front;
use parking_lot::Mutex;
use std::io::Write;
use std::net::TcpStream as Raw;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::timeout;

struct Served {
    front: Arc<Front>,
    standing: Arc<Mutex<Standing>>,
    clock: Clock,
    at: std::net::SocketAddr,
}

/// A front of one project type, `w`, each work unit of which is completed at once.
async fn serve() -> Served {
    let (tell, mut events) = unbounded_channel();
    let clock = Clock::start();
    let standing = Arc::new(Mutex::new(Standing::new(Notice { leave: 0.0, stop: 0.0 })));
    standing.lock().hear(clock.now(), Word::Ready).unwrap();
    let shared = (Numbers::default(), Room::new(64, 1 << 20), clock, standing.clone());
    let front = Front::new(Vec::new(), limits(), shared, tell, quiet());
    let (credit, late_credit, promised_turnaround, stretch, hard_limit) = (1.0, 0.0, 1.0, 0.0, 3.0);
    let (effect, kind) = (Effect::Rerunnable, None);
    let project_type =
        ProjectType { credit, late_credit, promised_turnaround, stretch, hard_limit, effect, kind };
    front.take_types(&[Named { name: "w".into(), number: 0, project_type }], &Figures::default());
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(front.clone().listen(listener));
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Arrived(arrival) = event {
                arrival.answer.settle(Answer::Completed("yes".into()));
            }
        }
    });
    Served { front, standing, clock, at }
}

fn request(id: u32) -> String {
    format!("POST /w HTTP/1.1\r\nhost: x\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nhi")
}

/// All that comes until an answer is whole, or the connection ends.
async fn answer(stream: &mut TcpStream) -> String {
    let (mut got, mut piece) = (String::new(), [0; 1024]);
    while !got.ends_with("yes") {
        let read =
            timeout(Duration::from_secs(4), stream.read(&mut piece)).await.expect("an answer or an end");
        match read {
            Ok(0) | Err(_) => break,
            Ok(n) => got += &String::from_utf8_lossy(&piece[..n]),
        }
    }
    got
}

/// A request that was written before an idle connection was to close, but that nobody has told us of, is answered.
#[tokio::test]
async fn what_waits_unread_is_answered_before_the_connection_closes() {
    let served = serve().await;
    let raw = Raw::connect(served.at).unwrap();
    raw.set_nonblocking(true).unwrap();
    let mut behind = raw.try_clone().unwrap();
    let mut stream = TcpStream::from_std(raw).unwrap();
    stream.write_all(request(1).as_bytes()).await.unwrap();
    assert!(answer(&mut stream).await.ends_with("yes"));
    // In one step of this thread: nothing else can have looked at the sockets in between.
    behind.write_all(request(2).as_bytes()).unwrap();
    served.standing.lock().hear(served.clock.now(), Word::Leave).unwrap();
    served.front.close_idle();
    let got = answer(&mut stream).await;
    assert!(got.ends_with("yes") && got.contains("connection: close"), "{got:?}");
}

/// Whatever a client sends beyond one request at a time ends its connection with an error, at each standing alike.
#[tokio::test]
async fn pipelining_is_refused_at_each_standing() {
    for (shown, word) in [
        ("ready", None),
        ("leaving", Some(Word::Leave)),
        ("stopping", Some(Word::Stop { succeeded: false })),
        ("succeeded", Some(Word::Stop { succeeded: true })),
    ] {
        let served = serve().await;
        word.into_iter().for_each(|word| served.standing.lock().hear(served.clock.now(), word).unwrap());
        let mut stream = TcpStream::connect(served.at).await.unwrap();
        stream.write_all((request(1) + &request(2)).as_bytes()).await.unwrap();
        let got = answer(&mut stream).await;
        assert!(got.starts_with("HTTP/1.1 400") && !got.contains("yes"), "{shown}: {got:?}");
        let mut usual = TcpStream::connect(served.at).await.unwrap();
        usual.write_all(request(3).as_bytes()).await.unwrap();
        let got = answer(&mut usual).await;
        assert!(got.ends_with("yes"), "{shown}: {got:?}");
        assert_eq!(got.contains("connection: close"), word.is_some(), "{shown}: {got:?}");
    }
}
