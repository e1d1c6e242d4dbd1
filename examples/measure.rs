//! What a work unit costs the scheduler, by protocol, on this machine: `cargo run --release --example measure`.
//!
//! Starts the program itself, with stand-ins for clients and workers that do their work in no time, and reads the
//! program's own CPU time and memory from the system. Nothing here is a promise for another machine.

use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

type Fault = Box<dyn std::error::Error + Send + Sync>;

const CONFIG: &str = include_str!("config.json");
const HTTP: &str = "127.0.0.1:17070";
const JOBS: &str = "127.0.0.1:17071";
const SECONDS: Duration = Duration::from_secs(8);

struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        self.0.kill().ok();
        self.0.wait().ok();
    }
}

impl Program {
    async fn start(
        workers: &[SocketAddr],
        connections: usize,
        runs: &str,
    ) -> Result<Program, Fault> {
        let listed = workers.iter().enumerate().map(|(i, at)| {
            format!(
                r#"{{"id":"s-{i}","addr":"{at}","zone":"north","kind":"small","state":"SERVING"}}"#
            )
        });
        let listed: Vec<String> = listed.collect();
        let known = format!(
            r#""known":{{"version":1,"full":true,"servers":[{}]}},"limits""#,
            listed.join(",")
        );
        let config = CONFIG
            .replace("\"limits\"", &known)
            .replace("127.0.0.1:7070", HTTP);
        let config = config.replace(
            "\"memory_mb\": 192, \"sockets\": 1024",
            "\"memory_mb\": 4096, \"sockets\": 65536",
        );
        let folder = std::env::temp_dir().join(format!("mintlb-measure-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        std::fs::write(folder.join("config.json"), config)?;
        let table = format!(
            "[beanstalkd]\nlisten = \"{JOBS}\"\nconnections = {connections}\ncold = false\n\
             [[beanstalkd.tubes]]\ntube = \"lookup\"\nproject_type = \"lookup\"\nworkers = \"{runs}\"\n"
        );
        std::fs::write(folder.join("operator.toml"), table)?;
        let mut program = std::env::current_exe()?;
        program.pop();
        program.pop();
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!(
                "ulimit -n $(ulimit -Hn); exec {} serve --config {} --operator {}",
                program.join("mintlb").display(),
                folder.join("config.json").display(),
                folder.join("operator.toml").display()
            ))
            .stderr(Stdio::null())
            .spawn()?;
        let program = Program(child);
        for _ in 0..200 {
            sleep(Duration::from_millis(20)).await;
            if TcpStream::connect(HTTP).await.is_ok() {
                return Ok(program);
            }
        }
        Err("the program does not listen: build it with cargo build --release".into())
    }

    /// Seconds of user and system time so far.
    fn cpu(&self) -> Result<f64, Fault> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id()))?;
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        // The system counts in hundredths of a second.
        Ok((fields[11].parse::<f64>()? + fields[12].parse::<f64>()?) / 100.0)
    }

    fn kilobytes(&self) -> Result<f64, Fault> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()))?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .unwrap_or("0");
        Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
    }

    /// CPU microseconds a unit and units a second over a while, of what this counts.
    async fn cost(&self, done: &AtomicU64) -> Result<(f64, f64), Fault> {
        sleep(Duration::from_secs(1)).await;
        let (cpu, units, began) = (self.cpu()?, done.load(Relaxed), Instant::now());
        sleep(SECONDS).await;
        let units = (done.load(Relaxed) - units) as f64;
        Ok((
            (self.cpu()? - cpu) * 1e6 / units,
            units / began.elapsed().as_secs_f64(),
        ))
    }
}

async fn call(machine: u8) -> Result<BufReader<TcpStream>, Fault> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((Ipv4Addr::new(127, 0, 0, machine), 0).into())?;
    let stream = socket.connect(JOBS.parse()?).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

async fn ask(
    peer: &mut BufReader<TcpStream>,
    command: &[u8],
    line: &mut String,
) -> Result<(), Fault> {
    peer.write_all(command).await?;
    line.clear();
    peer.read_line(line).await?;
    Ok(())
}

/// Puts so many jobs at a time, each time once the last are known to be taken.
async fn producer(depth: usize) -> Result<(), Fault> {
    let (mut peer, mut line) = (call(1).await?, String::new());
    ask(&mut peer, b"use lookup\r\n", &mut line).await?;
    let puts = b"put 0 0 9 8\r\nlabel-42\r\n".repeat(depth);
    loop {
        peer.write_all(&puts).await?;
        let mut refused = false;
        for _ in 0..depth {
            line.clear();
            peer.read_line(&mut line).await?;
            refused |= !line.starts_with("INSERTED");
        }
        if refused {
            sleep(Duration::from_millis(1)).await;
        }
    }
}

/// Reserves and deletes, one job after another; at once with the next reserve, if told so.
async fn worker(machine: u8, at_once: bool, done: Arc<AtomicU64>) -> Result<(), Fault> {
    let (mut peer, mut line, mut body) = (call(machine).await?, String::new(), String::new());
    ask(&mut peer, b"watch lookup\r\n", &mut line).await?;
    peer.write_all(b"reserve\r\n").await?;
    loop {
        line.clear();
        body.clear();
        peer.read_line(&mut line).await?;
        peer.read_line(&mut body).await?;
        let id = line.split(' ').nth(1).unwrap_or("0");
        let both = format!("delete {id}\r\nreserve\r\n");
        let (first, then) = if at_once {
            (&*both, "")
        } else {
            both.split_at(both.len() - 9)
        };
        let first = first.to_string();
        ask(&mut peer, first.as_bytes(), &mut line).await?;
        done.fetch_add(u64::from(line.starts_with("DELETED")), Relaxed);
        peer.write_all(then.as_bytes()).await?;
    }
}

/// Answers HTTP work units at once.
async fn http_worker(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let (mut got, mut piece) = (Vec::new(), [0; 2048]);
            while let Ok(n) = stream.read(&mut piece).await {
                got.extend_from_slice(&piece[..n]);
                if n == 0 {
                    return;
                }
                if !got.ends_with(b"\r\n\r\nlabel-42") {
                    continue;
                }
                let text = String::from_utf8_lossy(&got).to_lowercase();
                let id = text
                    .split("request-id: ")
                    .nth(1)
                    .and_then(|t| t.lines().next())
                    .unwrap_or("");
                let line = |state| {
                    format!("{{\"id\":\"{id}\",\"state\":\"{state}\",\"result\":\"ok\"}}\n")
                };
                let lines = line("started") + &line("done");
                let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
                let answer = format!("{head}{:x}\r\n{lines}\r\n0\r\n\r\n", lines.len());
                stream.write_all(answer.as_bytes()).await.ok();
                got.clear();
            }
        });
    }
}

async fn http_client(n: usize, done: Arc<AtomicU64>) -> Result<(), Fault> {
    let stream = TcpStream::connect(HTTP).await?;
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    for id in 0_u64.. {
        let head = format!(
            "POST /lookup HTTP/1.1\r\nhost: x\r\nrequest-id: {n}-{id}\r\ncontent-length: 8\r\n\r\n"
        );
        stream.write_all((head + "label-42").as_bytes()).await?;
        let (mut line, mut status, mut length) = (String::new(), String::new(), 0);
        while line != "\r\n" {
            line.clear();
            if stream.read_line(&mut line).await? == 0 {
                return Err("closed".into());
            }
            if status.is_empty() {
                status = line.clone();
            }
            let lower = line.to_lowercase();
            length = lower
                .strip_prefix("content-length: ")
                .map_or(Ok(length), |l| l.trim().parse())?;
        }
        stream.read_exact(&mut vec![0; length]).await?;
        done.fetch_add(u64::from(status.contains("200")), Relaxed);
    }
    Ok(())
}

async fn median_cost(kind: &str, clients: usize, workers: usize) -> Result<(), Fault> {
    let (mut costs, mut rates) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let mut listed = Vec::new();
        let mut tasks = Vec::new();
        for _ in 0..workers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            listed.push(listener.local_addr()?);
            tasks.push(tokio::spawn(http_worker(listener)));
        }
        let program = Program::start(
            &listed,
            4000,
            if kind == "http" { kind } else { "beanstalkd" },
        )
        .await?;
        let done = Arc::new(AtomicU64::new(0));
        let depth = if kind == "pipelined" { 16 } else { 1 };
        for n in 0..clients {
            let done = done.clone();
            tasks.push(match kind {
                "http" => tokio::spawn(async move { drop(http_client(n, done).await) }),
                _ => tokio::spawn(async move { drop(producer(depth).await) }),
            });
        }
        for n in 0..if kind == "http" { 0 } else { workers } {
            let done = done.clone();
            tasks.push(tokio::spawn(async move {
                drop(worker(2 + (n % 8) as u8, depth > 1, done).await)
            }));
        }
        let (cost, rate) = program.cost(&done).await?;
        costs.push(cost);
        rates.push(rate);
        tasks.iter().for_each(|task| task.abort());
        sleep(Duration::from_millis(300)).await;
    }
    costs.sort_unstable_by(f64::total_cmp);
    rates.sort_unstable_by(f64::total_cmp);
    println!(
        "{kind:<11} {clients:>7} {workers:>7} {:>12.1} {:>12.0}",
        costs[1], rates[1]
    );
    Ok(())
}

/// Memory of connections whose reserve waits, and that the last of them still gets work.
async fn idle(connections: usize) -> Result<(), Fault> {
    let program = Program::start(&[], connections + 10, "beanstalkd").await?;
    let before = program.kilobytes()?;
    let mut peers = Vec::new();
    for n in 0..connections {
        let (mut peer, mut line) = (call(2 + (n % 8) as u8).await?, String::new());
        ask(&mut peer, b"watch lookup\r\n", &mut line).await?;
        peer.write_all(b"reserve\r\n").await?;
        peers.push(peer);
    }
    sleep(Duration::from_millis(500)).await;
    let kept = program.kilobytes()?;
    let (cpu, began) = (program.cpu()?, Instant::now());
    sleep(Duration::from_secs(3)).await;
    let idle = (program.cpu()? - cpu) / began.elapsed().as_secs_f64();
    let (mut producer, mut line) = (call(1).await?, String::new());
    ask(&mut producer, b"use lookup\r\n", &mut line).await?;
    let began = Instant::now();
    for _ in 0..connections {
        ask(&mut producer, b"put 0 0 9 8\r\nlabel-42\r\n", &mut line).await?;
        if !line.starts_with("INSERTED") {
            return Err(format!("a put was answered {line}").into());
        }
    }
    let mut given = 0;
    for peer in &mut peers {
        line.clear();
        given += usize::from(peer.read_line(&mut line).await? > 0 && line.starts_with("RESERVED"));
    }
    println!(
        "{connections} waiting connections: {:.2} KB each, {:.1} % of a core while idle; {given} of as many jobs given within {:.2} s",
        (kept - before) / connections as f64,
        idle * 100.0,
        began.elapsed().as_secs_f64()
    );
    Ok(())
}

#[tokio::main]
async fn main() -> Result<(), Fault> {
    // One kind alone, and one number of clients, to profile it.
    let only = std::env::args().nth(1);
    if TcpStream::connect(HTTP).await.is_ok() {
        return Err(format!("something listens at {HTTP} already").into());
    }
    println!(
        "CPU of the scheduler, whole process; medians of 3 runs of {} s",
        SECONDS.as_secs()
    );
    println!(
        "{:<11} {:>7} {:>7} {:>12} {:>12}",
        "protocol", "clients", "workers", "us a unit", "units a s"
    );
    let clients_only: Option<usize> = std::env::args().nth(2).and_then(|n| n.parse().ok());
    let sizes = [(4, 8), (16, 32), (64, 128)];
    for (clients, workers) in sizes
        .into_iter()
        .filter(|(n, _)| clients_only.is_none_or(|only| only == *n))
    {
        for kind in ["http", "beanstalkd", "pipelined"] {
            if only.as_deref().is_none_or(|only| only == kind) {
                median_cost(kind, clients, workers).await?;
            }
        }
    }
    if only.as_deref().is_none_or(|only| only == "idle") {
        idle(10_000).await?;
    }
    Ok(())
}
