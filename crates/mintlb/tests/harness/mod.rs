//! The program, started as in service, and stand-ins for clients, workers and the list service.
#![allow(dead_code, reason = "each of the tests that share it uses a part")]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const BASE: &str = include_str!("../../../../examples/config.json");
pub const PAUSE: Duration = Duration::from_millis(100);

/// A listener whose connections are each served by a thread; what that returns is told.
pub fn stand_in(
    serve: impl Fn(&mut TcpStream) -> String + Clone + Send + 'static,
) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (at, (tell, told)) = (listener.local_addr().unwrap(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, tell, serve) = (stream.unwrap(), tell.clone(), serve.clone());
            std::thread::spawn(move || tell.send(serve(&mut stream)).ok());
        }
    });
    (at, told)
}

/// Answers each work unit: at once, after a while (`slow` in its path) or never (`hold`).
pub fn work(stream: &mut TcpStream) -> String {
    work_as("yes", stream)
}

pub fn work_as(result: &str, stream: &mut TcpStream) -> String {
    work_by(stream, |request, _| {
        if request.contains("slow") {
            std::thread::sleep(4 * PAUSE);
        }
        (!request.contains("hold")).then(|| ("done", result.to_string()))
    })
}

/// Answers each request, by its text and its id, with a state and a result, or never.
pub fn work_by(
    stream: &mut TcpStream,
    reply: impl Fn(&str, &str) -> Option<(&'static str, String)>,
) -> String {
    let (mut request, mut piece) = (String::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut piece).unwrap_or(0);
        if n == 0 {
            return "closed".into();
        }
        request += &String::from_utf8_lossy(&piece[..n]).to_lowercase();
        // Each body ends like this, and its last byte may come later.
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
                    (STREAM.to_string()
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

pub const STREAM: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// A line as a chunk of its own.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// A whole list of these workers, each with its address and state.
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

/// A list service that says what is in the slot, the whole of it or, to who watches, as it stands there and again when
/// that changes; while it is empty it refuses.
pub fn list_by(slot: Arc<Mutex<String>>) -> String {
    let watch = move |stream: &mut TcpStream| {
        let (mut request, mut piece) = (String::new(), [0; 4096]);
        while !request.contains("\r\n\r\n") {
            match stream.read(&mut piece) {
                Ok(n) if n > 0 => request += &String::from_utf8_lossy(&piece[..n]),
                _ => return "broken".into(),
            }
        }
        if !request.contains("watch=1") {
            let whole = slot
                .lock()
                .unwrap()
                .replace("\"full\":false", "\"full\":true");
            let head = format!(
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
                whole.len()
            );
            stream.write_all((head + &whole).as_bytes()).ok();
            return "told".into();
        }
        let (mut last, mut said) = (String::new(), stream.write_all(STREAM.as_bytes()));
        while said.is_ok() {
            let now = slot.lock().unwrap().clone();
            if now.is_empty() {
                break;
            }
            if now != last {
                // Where it is no whole list, nothing has changed.
                let servers = now
                    .find("\"servers\"")
                    .filter(|_| now.contains("\"full\":false"));
                let said_now =
                    servers.map_or(now.clone(), |at| format!("{}\"servers\":[]}}", &now[..at]));
                said = stream.write_all(chunk(&said_now).as_bytes());
                last = now;
            }
            std::thread::sleep(PAUSE / 20);
        }
        "ended".into()
    };
    stand_in(watch).0.to_string()
}

/// One that says this line, and then nothing.
pub fn list_of(line: String) -> String {
    list_by(Arc::new(Mutex::new(line)))
}

/// A change of the configuration: the list is asked for within a twentieth of a second.
pub const SOON: (&str, &str) = ("10000.0, \"cold_from\"", "400.0, \"cold_from\"");

/// What the program complains of, when it is started so that it must fail.
pub fn complaint(arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mintlb"));
    let run = command
        .args(arguments)
        .envs(variables.iter().copied())
        .output()
        .unwrap();
    let said = String::from_utf8(run.stderr).unwrap();
    assert!(
        !run.status.success() && !said.contains("panic"),
        "{arguments:?}, {variables:?}: {said}"
    );
    said
}

pub struct Program {
    pub child: Child,
    pub log: BufReader<ChildStderr>,
    pub at: SocketAddr,
    /// Where beanstalkd is spoken.
    pub jobs: Option<SocketAddr>,
    /// Where operators call.
    pub ops: Option<SocketAddr>,
    pub workers: Receiver<String>,
    pub path: std::path::PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Writes the configuration, with changes, into a file of its own.
pub fn written(changes: &[(&str, &str)]) -> std::path::PathBuf {
    static WRITTEN: AtomicU32 = AtomicU32::new(0);
    let text = changes.iter().fold(BASE.to_string(), |text, (old, new)| {
        assert!(text.contains(old), "nothing to change: {old}");
        text.replace(old, new)
    });
    let number = WRITTEN.fetch_add(1, Relaxed);
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("{}-{number}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Starts the program under the shell, after `limits`, with one worker.
pub fn start(limits: &str, changes: &[(&str, &str)]) -> Program {
    start_with(limits, changes, None)
}

/// And with this operator's file.
pub fn start_with(limits: &str, changes: &[(&str, &str)], operator: Option<&str>) -> Program {
    let (worker, workers) = stand_in(work);
    let mut program = start_at(worker, limits, changes, operator);
    program.workers = workers;
    program
}

/// With a worker that is there already.
pub fn start_at(
    worker: SocketAddr,
    limits: &str,
    changes: &[(&str, &str)],
    operator: Option<&str>,
) -> Program {
    let known = listing(1, &[("s-1", worker, "SERVING")]);
    let known = format!("\"known\":{known},\"limits\"");
    let mut all = vec![("127.0.0.1:7070", "127.0.0.1:0"), ("\"limits\"", &known)];
    all.extend(changes);
    let path = written(&all);
    let operator = operator.map(|text| {
        let path = path.with_extension("toml");
        std::fs::write(&path, text).unwrap();
        format!("--operator {}", path.display())
    });
    let operator = operator.unwrap_or_default();
    let command = format!(
        "{limits} exec {} serve --verbose --config {} {operator}",
        env!("CARGO_BIN_EXE_mintlb"),
        path.display()
    );
    let mut child = Command::new("sh")
        .args(["-c", &command])
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A port that was free a moment ago may be another test's by now, so the program takes one and tells it.
    let mut log = BufReader::new(child.stderr.take().unwrap());
    let (mut line, mut jobs, mut ops) = (String::new(), None, None);
    let told = |line: &str, what: &str| -> SocketAddr {
        let at = line
            .split(what)
            .nth(1)
            .and_then(|l| l.split([',', '\n']).next());
        at.unwrap().parse().unwrap()
    };
    while !line.contains("serving") {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "it does not listen");
        if line.contains("beanstalkd is spoken") {
            jobs = Some(told(&line, "listen: "));
        }
        if line.contains("operators can call") {
            ops = Some(told(&line, "ops: "));
        }
    }
    Program {
        at: told(&line, "listen: "),
        child,
        log,
        jobs,
        ops,
        workers: channel().1,
        path,
    }
}

/// A listener whose queue of connections is full: whoever dials it comes up only once these have been dropped and
/// accepted.
pub fn late() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let (at, mut queued) = (listener.local_addr().unwrap(), Vec::new());
    while let Ok(stream) = TcpStream::connect_timeout(&at, PAUSE / 2) {
        queued.push(stream);
    }
    (listener, queued)
}

/// What comes on any connection of such a listener, once it lets them come up, in so long.
pub fn came_late((listener, queued): (TcpListener, Vec<TcpStream>), within: Duration) -> String {
    drop(queued);
    listener.set_nonblocking(true).unwrap();
    let (until, mut came) = (Instant::now() + within, Vec::new());
    while Instant::now() < until && came.is_empty() {
        match listener.accept() {
            Ok((mut stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(PAUSE)).unwrap();
                let mut piece = [0; 4096];
                came.extend(stream.read(&mut piece).map_or(&[][..], |n| &piece[..n]));
            }
            Err(_) => std::thread::sleep(PAUSE / 10),
        }
    }
    String::from_utf8_lossy(&came).into()
}

/// All that comes back until the connection is closed or an answer of known length is whole.
pub fn answer(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let (mut got, mut piece) = (String::new(), [0; 4096]);
    loop {
        if let Some((head, body)) = got.split_once("\r\n\r\n") {
            let length = head
                .to_lowercase()
                .split("content-length: ")
                .nth(1)
                .map(|l| l.lines().next().unwrap().parse());
            if length.is_some_and(|l| l == Ok(body.len())) {
                return got;
            }
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => return got,
            Ok(n) => got.push_str(&String::from_utf8_lossy(&piece[..n])),
        }
    }
}

/// A request with an id of its own.
pub fn post(path: &str, more: &str) -> String {
    static ID: AtomicU32 = AtomicU32::new(1000);
    post_as(ID.fetch_add(1, Relaxed), path, more)
}

pub fn post_as(id: u32, path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nrequest-id: {id}\r\ncontent-length: 2\r\n{more}\r\nhi"
    )
}

impl Program {
    pub fn connect(&self) -> TcpStream {
        TcpStream::connect(self.at).unwrap()
    }

    pub fn ask(&self, request: &str) -> String {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).ok();
        answer(&mut stream)
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

    /// Replaces the configuration as an operator would, and says so.
    pub fn replace(&self, old: &str, new: &str) {
        let text = std::fs::read_to_string(&self.path).unwrap();
        assert!(text.contains(old), "nothing to replace: {old}");
        let fresh = self.path.with_extension("new");
        std::fs::write(&fresh, text.replace(old, new)).unwrap();
        std::fs::rename(&fresh, &self.path).unwrap();
        self.signal("-HUP");
    }

    /// Reads its log up to a line that has these words, whatever else is in it; the line.
    pub fn logged(&mut self, words: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            assert!(
                self.log.read_line(&mut line).unwrap() > 0,
                "it ended before it logged: {words}"
            );
            if line.contains(words) {
                return line;
            }
        }
    }

    /// Waits for its end: whether it was a clean one, and how long it took.
    pub fn end(&mut self) -> (bool, Duration) {
        let began = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status.success(), began.elapsed());
            }
            assert!(began.elapsed() < Duration::from_secs(5), "it does not end");
            std::thread::sleep(PAUSE / 10);
        }
    }
}
