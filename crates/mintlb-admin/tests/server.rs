//! The admin server on loopback: what is sent, and the reply.

use mintlb_admin::command::{Command, Reply};
use mintlb_admin::server::{AdminServer, ServerLimits};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::{Instant, sleep, timeout};

/// Starts a server whose handler replies with the command; returns its address.
async fn start_server(max_connections: usize) -> std::net::SocketAddr {
    let (handler, mut commands) = unbounded_channel::<mintlb_admin::server::PendingCommand>();
    let limits = ServerLimits {
        max_connections,
        timeout: Duration::from_secs(2),
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(
        AdminServer::new(
            limits,
            handler,
            slog::Logger::root(slog::Discard, slog::o!()),
        )
        .listen(listener),
    );
    tokio::spawn(async move {
        while let Some((command, answer)) = commands.recv().await {
            let reply = match command {
                Command::Dump => Reply::Metrics("a=1\nb=2\n".to_string()),
                Command::Join => Reply::Failure("not now".to_string()),
                command => Reply::Success(format!("{command:?}")),
            };
            answer.send(reply).ok();
        }
    });
    address
}

/// Sends these bytes, then closes the write side if `close_write`; returns the reply and how long it took.
async fn exchange(
    address: std::net::SocketAddr,
    bytes: &[u8],
    close_write: bool,
) -> (String, Duration) {
    let began = Instant::now();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.ok();
    if close_write {
        stream.shutdown().await.ok();
    }
    let mut got = String::new();
    timeout(Duration::from_secs(5), stream.read_to_string(&mut got))
        .await
        .expect("neither a reply nor the end of the connection")
        .ok();
    (got, began.elapsed())
}

#[tokio::test]
async fn each_line_gets_a_reply() {
    let address = start_server(4).await;
    let long = format!("HEALTH{}\n", " ".repeat(300));
    let endless = "x".repeat(100_000);
    let cases: [(&str, &[u8], bool, &str); 15] = [
        ("a command", b"HEALTH\n", false, "SUCCESS Health\n"),
        (
            "with a carriage return",
            b"LEAVE\r\n",
            false,
            "SUCCESS Leave\n",
        ),
        (
            "ended by the end of the stream",
            b"LEAVE",
            true,
            "SUCCESS Leave\n",
        ),
        ("failure", b"JOIN\n", false, "FAILURE not now\n"),
        ("metrics", b"DUMP\n", false, "a=1\nb=2\nEOT\n"),
        (
            "several lines",
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
            "lower case",
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
            "invalid UTF-8",
            b"HE\xff\xfe\n",
            false,
            "FAILURE byte 2 is no text",
        ),
        (
            "carriage return within the line",
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
            "without line ending",
            endless.as_bytes(),
            false,
            "FAILURE a line of over 256 bytes\n",
        ),
        ("nothing", b"", true, ""),
    ];
    for (case, bytes, close_write, answer) in cases {
        let (got, took) = exchange(address, bytes, close_write).await;
        assert!(
            got.starts_with(answer) && (answer.is_empty() == got.is_empty()),
            "{case}: {got:?}"
        );
        assert!(got.is_empty() || got.ends_with('\n'), "{case}: {got:?}");
        assert!(took < Duration::from_secs(1), "{case}: {took:?}");
    }
}

/// Hundreds of connections that send nothing or part of a line don't keep an operator out, and are closed in the end.
#[tokio::test]
async fn idle_connections_do_not_keep_operators_out() {
    for partial_line in ["", "HEA"] {
        let address = start_server(4).await;
        let mut idle_connections = Vec::new();
        for _ in 0..300 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(partial_line.as_bytes()).await.ok();
            idle_connections.push(stream);
        }
        for n in 0..5 {
            let (got, took) = exchange(address, b"HEALTH\n", false).await;
            assert_eq!(
                got, "SUCCESS Health\n",
                "command {n} behind connections that send {partial_line:?}"
            );
            // The first waits until all connections before it were accepted.
            assert!(
                took < Duration::from_secs(if n == 0 { 3 } else { 1 }),
                "command {n}, {partial_line:?}: {took:?}"
            );
        }
        // All but the last four were evicted; those are closed at the time-out.
        sleep(Duration::from_millis(2200)).await;
        let mut open = 0;
        for mut stream in idle_connections {
            let mut got = Vec::new();
            open += u32::from(
                timeout(Duration::from_millis(50), stream.read_to_end(&mut got))
                    .await
                    .is_err(),
            );
        }
        assert_eq!(open, 0, "{partial_line:?}");
    }
}

/// A line may arrive in several segments.
#[tokio::test]
async fn line_in_segments_is_one_command() {
    let address = start_server(4).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    for piece in ["HE", "AL", "TH", "\n"] {
        stream.write_all(piece.as_bytes()).await.unwrap();
        sleep(Duration::from_millis(100)).await;
    }
    let mut got = String::new();
    stream.read_to_string(&mut got).await.unwrap();
    assert_eq!(got, "SUCCESS Health\n");
}
