//! The protocol's grammar: a reader that turns bytes into commands, in whatever pieces the bytes come.

use bytes::{Buf, Bytes, BytesMut};
use std::str::FromStr;
use std::sync::Arc;

/// The name of a tube.
pub type Tube = Arc<str>;

/// The longest command line, in bytes, with its end.
pub const LINE: usize = 224;
/// The longest name of a tube, in bytes.
const MAX_TUBE_NAME: usize = 200;

/// A command with its arguments. Numbers alone are ids of jobs, or seconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The command's line, and the job's body.
    Put(Put, Bytes),
    Use(Tube),
    Watch(Tube),
    Ignore(Tube),
    Reserve,
    ReserveWithTimeout(u32),
    ReserveJob(u64),
    Delete(u64),
    Release {
        id: u64,
        priority: u32,
        delay: u32,
    },
    Bury {
        id: u64,
        priority: u32,
    },
    Touch(u64),
    Peek(u64),
    PeekReady,
    PeekDelayed,
    PeekBuried,
    /// Kicks as many jobs at the most.
    Kick(u32),
    KickJob(u64),
    Stats,
    StatsJob(u64),
    StatsTube(Tube),
    ListTubes,
    ListTubeUsed,
    ListTubesWatched,
    /// Pauses a tube for some seconds.
    PauseTube(Tube, u32),
    Quit,
}

impl Command {
    /// The command's name in the protocol.
    pub fn name(&self) -> &'static str {
        match self {
            Command::Put(..) => "put",
            Command::Use(_) => "use",
            Command::Watch(_) => "watch",
            Command::Ignore(_) => "ignore",
            Command::Reserve => "reserve",
            Command::ReserveWithTimeout(_) => "reserve-with-timeout",
            Command::ReserveJob(_) => "reserve-job",
            Command::Delete(_) => "delete",
            Command::Release { .. } => "release",
            Command::Bury { .. } => "bury",
            Command::Touch(_) => "touch",
            Command::Peek(_) => "peek",
            Command::PeekReady => "peek-ready",
            Command::PeekDelayed => "peek-delayed",
            Command::PeekBuried => "peek-buried",
            Command::Kick(_) => "kick",
            Command::KickJob(_) => "kick-job",
            Command::Stats => "stats",
            Command::StatsJob(_) => "stats-job",
            Command::StatsTube(_) => "stats-tube",
            Command::ListTubes => "list-tubes",
            Command::ListTubeUsed => "list-tube-used",
            Command::ListTubesWatched => "list-tubes-watched",
            Command::PauseTube(..) => "pause-tube",
            Command::Quit => "quit",
        }
    }
}

/// The line of a put. Delay and time-to-run (`ttr`) are whole seconds; `bytes` is the length of the body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Put {
    pub priority: u32,
    pub delay: u32,
    pub ttr: u32,
    pub bytes: usize,
}

/// Why the bytes are not a command, or not one that can be taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A put without a readable length: the job's bytes can't be told from commands, so the session must end.
    Unframed,
    /// A line that is too long, or arguments that do not fit the command.
    BadFormat,
    /// No command has this name.
    UnknownCommand,
    /// The body of a job is larger than the limit.
    JobTooBig,
    /// The body of a job does not end with CR LF.
    ExpectedCrlf,
    /// The caller refused the job before its body came.
    OutOfMemory,
}

/// What the reader has found.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The body of a job follows, with this many bytes. The caller may refuse it now.
    Coming(usize),
    /// A whole command.
    Command(Command),
    /// What came instead of a command.
    Fault(Fault),
}

/// What the next byte of the stream belongs to.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Line,
    /// A line that is too long and is skipped up to its end.
    LongLine,
    /// A job's body.
    Body(Put),
    /// A body that is skipped: how many bytes are left of it, and the fault to report then.
    Skip(u64, Fault),
}

/// Reads the commands of one connection.
#[derive(Debug)]
pub struct Reader {
    position: Position,
    max_job_bytes: usize,
}

impl Reader {
    /// A reader at the begin of a connection that takes job bodies up to `max_job_bytes`.
    pub fn new(max_job_bytes: usize) -> Reader {
        Reader {
            position: Position::Line,
            max_job_bytes,
        }
    }

    /// It is within a line that is too long, or a job's body.
    pub fn is_within(&self) -> bool {
        !matches!(self.position, Position::Line)
    }

    /// The most bytes that must have come before the next item can be read.
    pub fn wants(&self) -> usize {
        match self.position {
            Position::Body(put) => put.bytes + 2,
            _ => LINE,
        }
    }

    /// Refuses the job whose body follows: the body is skipped, and the fault reported after it.
    pub fn refuse(&mut self, fault: Fault) {
        if let Position::Body(put) = self.position {
            self.position = Position::Skip(put.bytes as u64 + 2, fault);
        }
    }

    /// Takes the next item from the front of the bytes, if they hold a whole one.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Option<Item> {
        loop {
            match &mut self.position {
                Position::Line => {
                    let end = bytes.iter().take(LINE).position(|&b| b == b'\n');
                    let Some(end) = end else {
                        if bytes.len() < LINE {
                            return None;
                        }
                        self.position = Position::LongLine;
                        continue;
                    };
                    let line = bytes.split_to(end + 1);
                    // A line ends with both bytes; neither may occur in it alone.
                    let Some(line) = line.strip_suffix(b"\r\n") else {
                        return Some(Item::Fault(Fault::BadFormat));
                    };
                    return Some(self.line(line));
                }
                Position::LongLine => {
                    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
                        bytes.clear();
                        return None;
                    };
                    bytes.advance(end + 1);
                    self.position = Position::Line;
                    return Some(Item::Fault(Fault::BadFormat));
                }
                Position::Skip(left, fault) => {
                    let part = (*left).min(bytes.len() as u64);
                    bytes.advance(part as usize);
                    *left -= part;
                    if *left > 0 {
                        return None;
                    }
                    let fault = *fault;
                    self.position = Position::Line;
                    return Some(Item::Fault(fault));
                }
                Position::Body(put) => {
                    let put = *put;
                    if bytes.len() < put.bytes + 2 {
                        return None;
                    }
                    // A copy, since a slice would keep the connection's whole read buffer allocated.
                    let body = Bytes::copy_from_slice(&bytes[..put.bytes]);
                    bytes.advance(put.bytes);
                    let whole = bytes.starts_with(b"\r\n");
                    bytes.advance(2);
                    self.position = Position::Line;
                    return Some(match whole {
                        true => Item::Command(Command::Put(put, body)),
                        false => Item::Fault(Fault::ExpectedCrlf),
                    });
                }
            }
        }
    }

    /// Reads a command line without its end.
    fn line(&mut self, line: &[u8]) -> Item {
        let words: Vec<&str> = match std::str::from_utf8(line) {
            Ok(text) => text.split(' ').collect(),
            Err(_) => return Item::Fault(Fault::BadFormat),
        };
        if words[0] == "put" {
            // Without its length, nobody knows where the job's bytes end and the next command begins.
            let Some((put, bytes)) = put(&words[1..]) else {
                return Item::Fault(Fault::Unframed);
            };
            if bytes > self.max_job_bytes as u64 {
                self.position = Position::Skip(bytes.saturating_add(2), Fault::JobTooBig);
                return Item::Coming(0);
            }
            let put = Put {
                bytes: bytes as usize,
                ..put
            };
            self.position = Position::Body(put);
            return Item::Coming(put.bytes);
        }
        match command(words[0], &words[1..]) {
            Ok(command) => Item::Command(command),
            Err(fault) => Item::Fault(fault),
        }
    }
}

/// The arguments of a put, and the length of the body, which may exceed all bounds.
fn put(words: &[&str]) -> Option<(Put, u64)> {
    let [priority, delay, ttr, bytes] = words else {
        return None;
    };
    let put = Put {
        priority: number(priority)?,
        delay: number(delay)?,
        ttr: number(ttr)?,
        bytes: 0,
    };
    Some((put, number(bytes)?))
}

/// A number in decimal digits, without a sign.
fn number<T: FromStr>(word: &str) -> Option<T> {
    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit());
    word.parse().ok().filter(|_| digits)
}

/// A name of a tube, if it follows the protocol's rules.
fn tube(word: &str) -> Option<Tube> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-+/;.$_()".contains(&b);
    let good = (1..=MAX_TUBE_NAME).contains(&word.len())
        && !word.starts_with('-')
        && word.bytes().all(fits);
    good.then(|| word.into())
}

/// A command by its name and arguments.
fn command(name: &str, words: &[&str]) -> Result<Command, Fault> {
    let bad = Fault::BadFormat;
    let id = |word: &str| number(word).ok_or(bad);
    let small = |word: &str| number(word).ok_or(bad);
    let named = |word: &str| tube(word).ok_or(bad);
    Ok(match (name, words) {
        ("use", [name]) => Command::Use(named(name)?),
        ("watch", [name]) => Command::Watch(named(name)?),
        ("ignore", [name]) => Command::Ignore(named(name)?),
        ("reserve", []) => Command::Reserve,
        ("reserve-with-timeout", [seconds]) => Command::ReserveWithTimeout(small(seconds)?),
        ("reserve-job", [job]) => Command::ReserveJob(id(job)?),
        ("delete", [job]) => Command::Delete(id(job)?),
        ("release", [job, priority, delay]) => Command::Release {
            id: id(job)?,
            priority: small(priority)?,
            delay: small(delay)?,
        },
        ("bury", [job, priority]) => Command::Bury {
            id: id(job)?,
            priority: small(priority)?,
        },
        ("touch", [job]) => Command::Touch(id(job)?),
        ("peek", [job]) => Command::Peek(id(job)?),
        ("peek-ready", []) => Command::PeekReady,
        ("peek-delayed", []) => Command::PeekDelayed,
        ("peek-buried", []) => Command::PeekBuried,
        ("kick", [bound]) => Command::Kick(small(bound)?),
        ("kick-job", [job]) => Command::KickJob(id(job)?),
        ("stats", []) => Command::Stats,
        ("stats-job", [job]) => Command::StatsJob(id(job)?),
        ("stats-tube", [name]) => Command::StatsTube(named(name)?),
        ("list-tubes", []) => Command::ListTubes,
        ("list-tube-used", []) => Command::ListTubeUsed,
        ("list-tubes-watched", []) => Command::ListTubesWatched,
        ("pause-tube", [name, delay]) => Command::PauseTube(named(name)?, small(delay)?),
        ("quit", []) => Command::Quit,
        (name, _) if KNOWN.contains(&name) => return Err(bad),
        _ => return Err(Fault::UnknownCommand),
    })
}

/// All names of commands but put: with other arguments they are badly formed, not unknown.
const KNOWN: [&str; 24] = [
    "use",
    "watch",
    "ignore",
    "reserve",
    "reserve-with-timeout",
    "reserve-job",
    "delete",
    "release",
    "bury",
    "touch",
    "peek",
    "peek-ready",
    "peek-delayed",
    "peek-buried",
    "kick",
    "kick-job",
    "stats",
    "stats-job",
    "stats-tube",
    "list-tubes",
    "list-tube-used",
    "list-tubes-watched",
    "pause-tube",
    "quit",
];

impl Fault {
    /// The reply that reports the fault.
    pub fn reply(self) -> &'static [u8] {
        match self {
            Fault::Unframed | Fault::BadFormat => b"BAD_FORMAT\r\n",
            Fault::UnknownCommand => b"UNKNOWN_COMMAND\r\n",
            Fault::JobTooBig => b"JOB_TOO_BIG\r\n",
            Fault::ExpectedCrlf => b"EXPECTED_CRLF\r\n",
            Fault::OutOfMemory => b"OUT_OF_MEMORY\r\n",
        }
    }
}
