//! The door on loopback: what is sent, and what comes back.

use mintlb_admin::command::{Command, Reply};
use mintlb_admin::server::{AdminServer, ServerLimits};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep, timeout};

/// A door whose desk echoes what is called; its address.
async fn door(callers: usize) -> std::net::SocketAddr {
    let (desk, mut asked) = unbounded_channel::<mintlb_admin::server::PendingCommand>();
    let bounds = ServerLimits {
        max_connections: callers,
        timeout: Duration::from_secs(2),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(
        AdminServer::new(bounds, desk, slog::Logger::root(slog::Discard, slog::o!()))
            .listen(listener),
    );
    tokio::spawn(async move {
        while let Some((call, answer)) = asked.recv().await {
            let reply = match call {
                Command::Dump => Reply::Metrics("a=1\nb=2\n".to_string()),
                Command::Join => Reply::Failure("not now".to_string()),
                call => Reply::Success(format!("{call:?}")),
            };
            answer.send(reply).ok();
        }
    });
    at
}

/// What comes back of these bytes, with the end of what is sent told or not, and how long it took.
async fn ask(at: std::net::SocketAddr, bytes: &[u8], ends: bool) -> (String, Duration) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(at).await.unwrap();
    stream.write_all(bytes).await.ok();
    if ends {
        stream.shutdown().await.ok();
    }
    let mut got = String::new();
    timeout(Duration::from_secs(5), stream.read_to_string(&mut got))
        .await
        .expect("it is answered or closed")
        .ok();
    (got, began.elapsed())
}

#[tokio::test]
async fn each_line_is_answered() {
    let at = door(4).await;
    let long = format!("HEALTH{}\n", " ".repeat(300));
    let endless = "x".repeat(100_000);
    let cases: [(&str, &[u8], bool, &str); 15] = [
        ("a call", b"HEALTH\n", false, "SUCCESS Health\n"),
        (
            "with a carriage return",
            b"LEAVE\r\n",
            false,
            "SUCCESS Leave\n",
        ),
        ("ended by the end", b"LEAVE", true, "SUCCESS Leave\n"),
        ("said no", b"JOIN\n", false, "FAILURE not now\n"),
        ("figures", b"DUMP\n", false, "a=1\nb=2\nEOT\n"),
        (
            "more than a line",
            b"HEALTH\nDUMP\nJOIN\n",
            false,
            "SUCCESS Health\n",
        ),
        (
            "unknown",
            b"SHUTDOWN\n",
            false,
            "FAILURE there is no call \"SHUTDOWN\", only HEALTH, DUMP, LEAVE, JOIN\n",
        ),
        (
            "in other letters",
            b"health\n",
            false,
            "FAILURE there is no call \"health\"",
        ),
        (
            "two words",
            b"LEAVE NOW\n",
            false,
            "FAILURE there is no call \"LEAVE NOW\"",
        ),
        ("empty", b"\n", false, "FAILURE an empty line"),
        (
            "no text",
            b"HE\xff\xfe\n",
            false,
            "FAILURE byte 2 is no text",
        ),
        (
            "a line in the line",
            b"HE\rALTH\n",
            false,
            "FAILURE there is no call \"HE\\rALTH\"",
        ),
        (
            "overlong",
            long.as_bytes(),
            false,
            "FAILURE a line of over 256 bytes\n",
        ),
        (
            "without end",
            endless.as_bytes(),
            false,
            "FAILURE a line of over 256 bytes\n",
        ),
        ("nothing", b"", true, ""),
    ];
    for (shown, bytes, ends, answer) in cases {
        let (got, took) = ask(at, bytes, ends).await;
        assert!(
            got.starts_with(answer) && (answer.is_empty() == got.is_empty()),
            "{shown}: {got:?}"
        );
        assert!(got.is_empty() || got.ends_with('\n'), "{shown}: {got:?}");
        assert!(took < Duration::from_secs(1), "{shown}: {took:?}");
    }
}

/// Hundreds that send nothing or half a call and stay don't keep out one who calls, and go in the end by themselves.
#[tokio::test]
async fn a_crowd_that_says_nothing_keeps_nobody_out() {
    for half in ["", "HEA"] {
        let at = door(4).await;
        let mut crowd = Vec::new();
        for _ in 0..300 {
            let mut stream = TcpStream::connect(at).await.unwrap();
            stream.write_all(half.as_bytes()).await.ok();
            crowd.push(stream);
        }
        for n in 0..5 {
            let (got, took) = ask(at, b"HEALTH\n", false).await;
            assert_eq!(
                got, "SUCCESS Health\n",
                "call {n} behind a crowd of {half:?}"
            );
            // The first waits until all before it were looked at.
            assert!(
                took < Duration::from_secs(if n == 0 { 3 } else { 1 }),
                "call {n}, {half:?}: {took:?}"
            );
        }
        // All but the last four were sent away; those few go when their time is up.
        sleep(Duration::from_millis(2200)).await;
        let mut open = 0;
        for mut stream in crowd {
            let mut got = Vec::new();
            open += u32::from(
                timeout(Duration::from_millis(50), stream.read_to_end(&mut got))
                    .await
                    .is_err(),
            );
        }
        assert_eq!(open, 0, "{half:?}");
    }
}

/// A call that takes its time is not lost to others that come.
#[tokio::test]
async fn a_line_in_pieces_is_one_call() {
    let at = door(4).await;
    let mut stream = TcpStream::connect(at).await.unwrap();
    for piece in ["HE", "AL", "TH", "\n"] {
        stream.write_all(piece.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(100)).await;
    }
    let mut got = String::new();
    stream.read_to_string(&mut got).await.unwrap();
    assert_eq!(got, "SUCCESS Health\n");
}
