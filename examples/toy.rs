//! A list service and two workers in one small program, to try mintlb with: see examples/README.md.

use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::response::Response;
use http_body_util::channel::{Channel, Sender};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

const LIST: &str = "127.0.0.1:8500";
const WORKERS: [&str; 2] = ["127.0.0.1:7071", "127.0.0.1:7072"];

async fn say(out: &mut Sender<Bytes>, line: String) -> bool {
    out.send_data((line + "\n").into()).await.is_ok()
}

/// The whole list once, then an empty line every 2 s, as nothing changes here.
async fn watch() -> Response {
    let (mut out, body) = Channel::new(1);
    let servers = WORKERS.iter().enumerate().map(|(i, addr)| {
        format!(
            r#"{{"id":"s-{i}","addr":"{addr}","zone":"north","kind":"small","cell":0,"state":"SERVING","weight":1.0,"started_ms":0}}"#
        )
    });
    let servers: Vec<String> = servers.collect();
    let mut line = format!(
        r#"{{"version":1,"full":true,"servers":[{}]}}"#,
        servers.join(",")
    );
    tokio::spawn(async move {
        while say(&mut out, std::mem::take(&mut line)).await {
            sleep(Duration::from_secs(2)).await;
        }
    });
    Response::new(Body::new(body))
}

/// Tells of the start, works for 300 ms, and is done. It has more room than any real worker.
async fn work(State(name): State<&'static str>, request: Request) -> Response {
    let (mut out, body) = Channel::new(1);
    let id = request
        .headers()
        .get("request-id")
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_string();
    let path = request.uri().path().to_string();
    tokio::spawn(async move {
        say(
            &mut out,
            format!(r#"{{"id":"{id}","from":"{name}","state":"started"}}"#),
        )
        .await;
        sleep(Duration::from_millis(300)).await;
        let result = format!("{path} done by {name}\\n");
        say(
            &mut out,
            format!(r#"{{"id":"{id}","from":"{name}","state":"done","result":"{result}"}}"#),
        )
        .await;
    });
    Response::new(Body::new(body))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    for at in WORKERS {
        let listener = TcpListener::bind(at).await?;
        let router = Router::new().fallback(work).with_state(at);
        tokio::spawn(async move { axum::serve(listener, router).await });
    }
    println!("two workers and their list at {LIST}");
    axum::serve(
        TcpListener::bind(LIST).await?,
        Router::new().fallback(watch),
    )
    .await
}
