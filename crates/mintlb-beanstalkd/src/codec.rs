//! The protocol's bytes: commands out of them, in whatever pieces they come.

use bytes::{Buf, Bytes, BytesMut};
use std::str::FromStr;
use std::sync::Arc;

pub type Tube = Arc<str>;

/// A command line may be as long as this, its end included.
pub const LINE: usize = 224;
/// And the name of a tube.
const NAME: usize = 200;

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Put(Put, Bytes),
    Use(Tube),
    Watch(Tube),
    Ignore(Tube),
    Reserve,
    ReserveWithTimeout(u32),
    ReserveJob(u64),
    Delete(u64),
    Release { id: u64, priority: u32, delay: u32 },
    Bury { id: u64, priority: u32 },
    Touch(u64),
    Peek(u64),
    PeekReady,
    PeekDelayed,
    PeekBuried,
    Kick(u32),
    KickJob(u64),
    Stats,
    StatsJob(u64),
    StatsTube(Tube),
    ListTubes,
    ListTubeUsed,
    ListTubesWatched,
    PauseTube(Tube, u32),
    Quit,
}

/// A put's line. Delay and time-to-run are whole seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Put {
    pub priority: u32,
    pub delay: u32,
    pub ttr: u32,
    pub bytes: usize,
}

/// Why what came is no command that can be taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// What follows can't be told apart from commands any more: the session must end.
    Unframed,
    BadFormat,
    UnknownCommand,
    JobTooBig,
    ExpectedCrlf,
    /// Refused by who reads, before its body came.
    OutOfMemory,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A job of so many bytes is coming: the time to refuse it.
    Coming(usize),
    Command(Command),
    Fault(Fault),
}

/// Where in the stream the next byte lies.
#[derive(Debug, Default)]
enum At {
    #[default]
    Line,
    /// In a line that is too long, up to its end.
    LongLine,
    Body(Put),
    /// Bytes that go nowhere, and what is said of them then.
    Skip(u64, Fault),
}

#[derive(Debug)]
pub struct Reader {
    at: At,
    /// The largest job, in bytes.
    most: usize,
}

impl Reader {
    pub fn new(most: usize) -> Reader {
        Reader { at: At::Line, most }
    }

    /// The bytes that must be there before more can be told, at the most.
    pub fn wants(&self) -> usize {
        match self.at {
            At::Body(put) => put.bytes + 2,
            _ => LINE,
        }
    }

    /// The job that is coming is not taken: its bytes go nowhere.
    pub fn refuse(&mut self, fault: Fault) {
        if let At::Body(put) = self.at {
            self.at = At::Skip(put.bytes as u64 + 2, fault);
        }
    }

    /// The next item, if the bytes hold one; what it took is gone from them.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Option<Item> {
        loop {
            match &mut self.at {
                At::Line => {
                    let end = bytes.iter().take(LINE).position(|&b| b == b'\n');
                    let Some(end) = end else {
                        if bytes.len() < LINE {
                            return None;
                        }
                        self.at = At::LongLine;
                        continue;
                    };
                    let line = bytes.split_to(end + 1);
                    // Only both bytes end a line; a lone one in it is none of a command's.
                    let Some(line) = line.strip_suffix(b"\r\n") else {
                        return Some(Item::Fault(Fault::BadFormat));
                    };
                    return Some(self.line(line));
                }
                At::LongLine => {
                    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
                        bytes.clear();
                        return None;
                    };
                    bytes.advance(end + 1);
                    self.at = At::Line;
                    return Some(Item::Fault(Fault::BadFormat));
                }
                At::Skip(left, fault) => {
                    let part = (*left).min(bytes.len() as u64);
                    bytes.advance(part as usize);
                    *left -= part;
                    if *left > 0 {
                        return None;
                    }
                    let fault = *fault;
                    self.at = At::Line;
                    return Some(Item::Fault(fault));
                }
                At::Body(put) => {
                    let put = *put;
                    if bytes.len() < put.bytes + 2 {
                        return None;
                    }
                    // A copy of its own: kept with the bytes around it, a small job would hold a large buffer.
                    let body = Bytes::copy_from_slice(&bytes[..put.bytes]);
                    bytes.advance(put.bytes);
                    let whole = bytes.starts_with(b"\r\n");
                    bytes.advance(2);
                    self.at = At::Line;
                    return Some(match whole {
                        true => Item::Command(Command::Put(put, body)),
                        false => Item::Fault(Fault::ExpectedCrlf),
                    });
                }
            }
        }
    }

    fn line(&mut self, line: &[u8]) -> Item {
        let words: Vec<&str> = match std::str::from_utf8(line) {
            Ok(text) => text.split(' ').collect(),
            Err(_) => return Item::Fault(Fault::BadFormat),
        };
        if words[0] == "put" {
            // Without its length, nobody knows where the job's bytes end and the next command begins.
            let Some((put, bytes)) = put(&words[1..]) else { return Item::Fault(Fault::Unframed) };
            if bytes > self.most as u64 {
                self.at = At::Skip(bytes.saturating_add(2), Fault::JobTooBig);
                return Item::Coming(0);
            }
            let put = Put { bytes: bytes as usize, ..put };
            self.at = At::Body(put);
            return Item::Coming(put.bytes);
        }
        match command(words[0], &words[1..]) {
            Ok(command) => Item::Command(command),
            Err(fault) => Item::Fault(fault),
        }
    }
}

fn put(words: &[&str]) -> Option<(Put, u64)> {
    let [priority, delay, ttr, bytes] = words else { return None };
    let put = Put { priority: number(priority)?, delay: number(delay)?, ttr: number(ttr)?, bytes: 0 };
    Some((put, number(bytes)?))
}

/// A number of digits only; a sign is none.
fn number<T: FromStr>(word: &str) -> Option<T> {
    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit());
    word.parse().ok().filter(|_| digits)
}

fn tube(word: &str) -> Option<Tube> {
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-+/;.$_()".contains(&b);
    let good = (1..=NAME).contains(&word.len()) && !word.starts_with('-') && word.bytes().all(fits);
    good.then(|| word.into())
}

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
        ("release", [job, priority, delay]) => {
            Command::Release { id: id(job)?, priority: small(priority)?, delay: small(delay)? }
        }
        ("bury", [job, priority]) => Command::Bury { id: id(job)?, priority: small(priority)? },
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

impl Reader {
    /// Between a put's line and the end of its job.
    pub fn is_within(&self) -> bool {
        !matches!(self.at, At::Line)
    }
}
