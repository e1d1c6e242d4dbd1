//! Starts the real program and provides simulated clients, workers and list services for it.
#![allow(dead_code, reason = "each of the tests that share it uses a part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const BASE_CONFIG: &str = include_str!("../../../../examples/config.json");
/// The unit of the tests' waits.
pub const TICK: Duration = Duration::from_millis(100);

/// Listens on a free port and serves each connection on a thread. Returns the address, and a receiver of what `serve`
/// returned for each connection.
pub fn spawn_server(
    serve: impl Fn(&mut TcpStream) -> String + Clone + Send + 'static,
) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, (sender, receiver)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, sender, serve) = (stream.unwrap(), sender.clone(), serve.clone());
            std::thread::spawn(move || sender.send(serve(&mut stream)).ok());
        }
    });
    (address, receiver)
}

/// A worker that completes each work unit with the result `yes`: at once, after four ticks if the request contains
/// `slow`, or never if it contains `hold`.
pub fn worker(stream: &mut TcpStream) -> String {
    worker_returning("yes", stream)
}

pub fn worker_returning(result: &str, stream: &mut TcpStream) -> String {
    worker_replying(stream, |request, _| {
        if request.contains("slow") {
            std::thread::sleep(4 * TICK);
        }
        (!request.contains("hold")).then(|| ("done", result.to_string()))
    })
}

/// A worker that answers each request with the state and result that `reply` returns for its text and id, or not at
/// all.
pub fn worker_replying(
    stream: &mut TcpStream,
    reply: impl Fn(&str, &str) -> Option<(&'static str, String)>,
) -> String {
    let (mut request, mut buffer) = (String::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut buffer).unwrap_or(0);
        if n == 0 {
            return "closed".into();
        }
        request += &String::from_utf8_lossy(&buffer[..n]).to_lowercase();
        // All requests of these tests end like this. The last byte may arrive later.
        if !request.ends_with("\r\n\r\nhi") {
            continue;
        }
        let id = request
            .split("request-id: ")
            .nth(1)
            .and_then(|r| r.lines().next())
            .unwrap_or_default();
        if let Some((state, result)) = reply(&request, id) {
            stream
                .write_all(
                    (STREAM_HEAD.to_string()
                        + &chunk(&format!(
                            r#"{{"id":"{id}","state":"{state}","result":"{result}"}}"#
                        ))
                        + "0\r\n\r\n")
                        .as_bytes(),
                )
                .ok();
        }
        request.clear();
    }
}

pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A line as one HTTP chunk.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A full list message with these workers, each with its id, address and state.
pub fn listing(version: u64, workers: &[(&str, SocketAddr, &str)]) -> String {
    let worker = |(id, at, state): &(&str, SocketAddr, &str)| {
        format!(r#"{{"id":"{id}","addr":"{at}","zone":"north","kind":"small","state":"{state}"}}"#)
    };
    let workers: Vec<String> = workers.iter().map(worker).collect();
    format!(
        r#"{{"version":{version},"full":true,"servers":[{}]}}"#,
        workers.join(",")
    )
}

/// A list service that serves the message in `slot`: as a full list to a plain request; to a watch as it is, and again
/// whenever it changes. While the slot is empty, watches are closed.
pub fn list_service(slot: Arc<Mutex<String>>) -> String {
    let serve = move |stream: &mut TcpStream| {
        let (mut request, mut buffer) = (String::new(), [0; 4096]);
        while !request.contains("\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 => request += &String::from_utf8_lossy(&buffer[..n]),
                _ => return "broken".into(),
            }
        }
        if !request.contains("watch=1") {
            let full = slot
                .lock()
                .unwrap()
                .replace("\"full\":false", "\"full\":true");
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                full.len()
            );
            stream.write_all((head + &full).as_bytes()).ok();
            return "answered".into();
        }
        let (mut last, mut written) = (String::new(), stream.write_all(STREAM_HEAD.as_bytes()));
        while written.is_ok() {
            let text = slot.lock().unwrap().clone();
            if text.is_empty() {
                break;
            }
            if text != last {
                // A message that is not a full list is sent without workers: nothing has changed for the watcher.
                let servers = text
                    .find("\"servers\"")
                    .filter(|_| text.contains("\"full\":false"));
                let message =
                    servers.map_or(text.clone(), |i| format!("{}\"servers\":[]}}", &text[..i]));
                written = stream.write_all(chunk(&message).as_bytes());
                last = text;
            }
            std::thread::sleep(TICK / 20);
        }
        "ended".into()
    };
    spawn_server(serve).0.to_string()
}

/// A list service that always serves this message.
pub fn static_list_service(message: String) -> String {
    list_service(Arc::new(Mutex::new(message)))
}

/// A change of the configuration: the list service is called within a twentieth of a second.
pub const FREQUENT_LIST_CALLS: (&str, &str) = ("10000.0, \"cold_from\"", "400.0, \"cold_from\"");

/// Runs the program with arguments or environment variables that must make it fail, and returns its standard error.
pub fn stderr_of_failure(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mintlb"));
    let output = command
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert!(
        !output.status.success() && !stderr.contains("panic"),
        "{arguments:?}, {variables:?}: {stderr}"
    );
    stderr
}

/// A running program. It is killed on drop.
pub struct Program {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub address: SocketAddr,
    pub beanstalkd_address: Option<SocketAddr>,
    pub admin_address: Option<SocketAddr>,
    /// Receives a text for each connection to the worker that has ended.
    pub worker_connections: Receiver<String>,
    pub config_path: std::path::PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Writes the example configuration, with changes (old text, new text), to a new file.
pub fn write_config(changes: &[(&str, &str)]) -> std::path::PathBuf {
    static FILES: AtomicU32 = AtomicU32::new(0);
    let text = changes
        .iter()
        .fold(BASE_CONFIG.to_string(), |text, (old, new)| {
            assert!(text.contains(old), "text to change not found: {old}");
            text.replace(old, new)
        });
    let number = FILES.fetch_add(1, Relaxed);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts the program with one worker and these configuration changes, from a shell that first runs `shell_prefix`.
pub fn start(shell_prefix: &str, changes: &[(&str, &str)]) -> Program {
    start_with_operator(shell_prefix, changes, None)
}

/// Like [`start`], with the text of the operator's file.
pub fn start_with_operator(
    shell_prefix: &str,
    changes: &[(&str, &str)],
    operator: Option<&str>,
) -> Program {
    let (worker, worker_connections) = spawn_server(worker);
    let mut program = start_with_worker(worker, shell_prefix, changes, operator);
    program.worker_connections = worker_connections;
    program
}

/// Like [`start_with_operator`], with a worker that runs already.
pub fn start_with_worker(
    worker: SocketAddr,
    shell_prefix: &str,
    changes: &[(&str, &str)],
    operator: Option<&str>,
) -> Program {
    let known = listing(1, &[("s-1", worker, "SERVING")]);
    let known = format!("\"known\":{known},\"limits\"");
    let mut all = vec![("127.0.0.1:7070", "127.0.0.1:0"), ("\"limits\"", &known)];
    all.extend(changes);
    let config_path = write_config(&all);
    let operator = operator.map(|text| {
        let path = config_path.with_extension("toml");
        std::fs::write(&path, text).unwrap();
        format!("--operator {}", path.display())
    });
    let operator = operator.unwrap_or_default();
    let command = format!(
        "{shell_prefix} exec {} serve --verbose --config {} {operator}",
        env!("CARGO_BIN_EXE_mintlb"),
        config_path.display()
    );
    let mut child = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The program binds port 0 and logs its addresses: a free port chosen here could be taken by another test
    // meanwhile.
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let (mut line, mut beanstalkd_address, mut admin_address) = (String::new(), None, None);
    let logged_address = |line: &str, key: &str| -> SocketAddr {
        let address = line
            .split(key)
            .nth(1)
            .and_then(|l| l.split([',', '\n']).next());
        address.unwrap().parse().unwrap()
    };
    while !line.contains("serving") {
        line.clear();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the program ended before it listened"
        );
        if line.contains("beanstalkd is listening") {
            beanstalkd_address = Some(logged_address(&line, "listen: "));
        }
        if line.contains("admin socket is listening") {
            admin_address = Some(logged_address(&line, "ops: "));
        }
    }
    Program {
        address: logged_address(&line, "listen: "),
        child,
        log,
        beanstalkd_address,
        admin_address,
        worker_connections: channel().1,
        config_path,
    }
}

/// A listener whose backlog is full, and the connections that fill it. Further connections are established only after
/// these connections have been dropped and accepted.
pub fn full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let (address, mut queued) = (listener.local_addr().unwrap(), Vec::new());
    while let Ok(stream) = TcpStream::connect_timeout(&address, TICK / 2) {
        queued.push(stream);
    }
    (listener, queued)
}

/// Frees the backlog, and returns the first bytes that are received on any connection within the time.
pub fn received_late(
    (listener, queued): (TcpListener, Vec<TcpStream>),
    within: Duration,
) -> String {
    drop(queued);
    listener.set_nonblocking(true).unwrap();
    let (deadline, mut received) = (Instant::now() + within, Vec::new());
    while Instant::now() < deadline && received.is_empty() {
        match listener.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(TICK)).unwrap();
                let mut buffer = [0; 4096];
                received.extend(stream.read(&mut buffer).map_or(&[][..], |n| &buffer[..n]));
            }
            Err(_) => std::thread::sleep(TICK / 10),
        }
    }
    String::from_utf8_lossy(&received).into()
}

/// Reads a response with a content length, or else everything until the connection is closed or silent for 5 s.
pub fn read_response(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let (mut response, mut buffer) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = response.split_once("\r\n\r\n") {
            let length = head
                .to_lowercase()
                .split("content-length: ")
                .nth(1)
                .map(|l| l.lines().next().unwrap().parse());
            if length.is_some_and(|l| l == Ok(body.len())) {
                return response;
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return response,
            Ok(n) => response.push_str(&String::from_utf8_lossy(&buffer[..n])),
        }
    }
}

/// A request with a unique id and these further header lines.
pub fn post(path: &str, headers: &str) -> String {
    static NEXT_ID: AtomicU32 = AtomicU32::new(1000);
    post_with_id(NEXT_ID.fetch_add(1, Relaxed), path, headers)
}

pub fn post_with_id(id: u32, path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nrequest-id: {id}\r\ncontent-length: 2\r\n{headers}\r\nhi"
    )
}

impl Program {
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Sends a request on a new connection, and returns the response.
    pub fn request(&self, request: &str) -> String {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).ok();
        read_response(&mut stream)
    }

    pub fn signal(&self, name: &str) {
        assert!(
            Command::new("kill")
                .args([name, &self.child.id().to_string()])
                .status()
                .unwrap()
                .success()
        );
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces a text in the configuration file as an operator would, and reloads it.
    pub fn reload(&self, old: &str, new: &str) {
        let text = std::fs::read_to_string(&self.config_path).unwrap();
        assert!(text.contains(old), "text to replace not found: {old}");
        let temporary = self.config_path.with_extension("new");
        std::fs::write(&temporary, text.replace(old, new)).unwrap();
        std::fs::rename(&temporary, &self.config_path).unwrap();
        self.signal("-HUP");
    }

    /// Reads the log up to the next line that contains `text`, and returns this line.
    pub fn wait_for_log(&mut self, text: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "the program ended before it logged: {text}"
            );
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Waits for the program's end. Returns whether it succeeded, and how long the end took.
    pub fn wait_for_exit(&mut self) -> (bool, Duration) {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status.success(), began.elapsed());
            }
            assert!(
                began.elapsed() < Duration::from_secs(5),
                "the program does not end"
            );
            std::thread::sleep(TICK / 10);
        }
    }
}
