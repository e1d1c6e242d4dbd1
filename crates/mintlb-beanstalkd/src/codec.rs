//! Incremental parser for beanstalkd commands; accepts input split at any byte.

use bytes::{Buf, Bytes, BytesMut};
use std::str::FromStr;
use std::sync::Arc;

/// A tube name; shared, since jobs, sessions and indexes all hold it.
pub type Tube = Arc<str>;

/// Maximum length of a command line including CR LF; the limit is the protocol's.
pub const MAX_LINE_BYTES: usize = 224;
const MAX_TUBE_NAME_BYTES: usize = 200;

/// A command with its arguments. A lone `u64` is a job id, a lone `u32` a time in seconds unless stated otherwise.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// The arguments and the job's body.
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
    /// The maximum number of jobs to kick.
    Kick(u32),
    KickJob(u64),
    Stats,
    StatsJob(u64),
    StatsTube(Tube),
    ListTubes,
    ListTubeUsed,
    ListTubesWatched,
    /// The tube, and the length of the pause in seconds.
    PauseTube(Tube, u32),
    Quit,
}

impl Command {
    /// The command's name as spelled in the protocol.
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

/// Arguments of a put. Delay and time-to-run (`ttr`) are in seconds; `bytes` is the length of the body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Put {
    pub priority: u32,
    pub delay: u32,
    pub ttr: u32,
    pub bytes: usize,
}

/// Why input was rejected: it is not a valid command, or the job cannot be accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProtocolError {
    /// A put without a valid body length. The body cannot be told from the next command, so the session must end.
    UnknownBodyLength,
    /// The line is too long, or the arguments do not match the command.
    BadFormat,
    /// There is no command of this name.
    UnknownCommand,
    /// The job's body exceeds the size limit.
    JobTooBig,
    /// The job's body is not followed by CR LF.
    ExpectedCrlf,
    /// The caller refused the job before its body arrived.
    OutOfMemory,
}

/// An item of the input.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The line of a put; a body of this many bytes follows. The caller may refuse the job now. The length is 0 for a
    /// body that is too large, which is skipped.
    PutHeader(usize),
    /// A complete command.
    Command(Command),
    /// Rejected input.
    ProtocolError(ProtocolError),
}

/// What the next input byte belongs to.
#[derive(Debug, Default)]
enum ReaderState {
    #[default]
    Line,
    /// An overlong line, skipped up to its end.
    LongLine,
    /// A job's body.
    Body(Put),
    /// A skipped body: the bytes left of it, and the error to report at its end.
    Skip(u64, ProtocolError),
}

/// Parses the input of one connection.
#[derive(Debug)]
pub struct CommandReader {
    state: ReaderState,
    max_job_bytes: usize,
}

impl CommandReader {
    /// Larger job bodies than `max_job_bytes` are skipped and reported as [`ProtocolError::JobTooBig`].
    pub fn new(max_job_bytes: usize) -> CommandReader {
        CommandReader {
            state: ReaderState::Line,
            max_job_bytes,
        }
    }

    /// Whether the next byte belongs to a job's body or to an overlong line.
    pub fn is_mid_item(&self) -> bool {
        !matches!(self.state, ReaderState::Line)
    }

    /// The maximum number of buffered bytes needed to parse the next item.
    pub fn max_bytes_needed(&self) -> usize {
        match self.state {
            ReaderState::Body(put) => put.bytes + 2,
            _ => MAX_LINE_BYTES,
        }
    }

    /// Refuses the job whose body follows: skips the body, then reports the error.
    pub fn refuse(&mut self, error: ProtocolError) {
        if let ReaderState::Body(put) = self.state {
            self.state = ReaderState::Skip(put.bytes as u64 + 2, error);
        }
    }

    /// Removes the next item from the front of `bytes`; `None` if more input is needed.
    pub fn next(&mut self, bytes: &mut BytesMut) -> Option<Item> {
        loop {
            match &mut self.state {
                ReaderState::Line => {
                    let end = bytes.iter().take(MAX_LINE_BYTES).position(|&b| b == b'\n');
                    let Some(end) = end else {
                        if bytes.len() < MAX_LINE_BYTES {
                            return None;
                        }
                        self.state = ReaderState::LongLine;
                        continue;
                    };
                    let line = bytes.split_to(end + 1);
                    // A line ends with CR LF; a bare LF is an error.
                    let Some(line) = line.strip_suffix(b"\r\n") else {
                        return Some(Item::ProtocolError(ProtocolError::BadFormat));
                    };
                    return Some(self.parse_line(line));
                }
                ReaderState::LongLine => {
                    let Some(end) = bytes.iter().position(|&b| b == b'\n') else {
                        bytes.clear();
                        return None;
                    };
                    bytes.advance(end + 1);
                    self.state = ReaderState::Line;
                    return Some(Item::ProtocolError(ProtocolError::BadFormat));
                }
                ReaderState::Skip(remaining, error) => {
                    let skipped = (*remaining).min(bytes.len() as u64);
                    bytes.advance(skipped as usize);
                    *remaining -= skipped;
                    if *remaining > 0 {
                        return None;
                    }
                    let error = *error;
                    self.state = ReaderState::Line;
                    return Some(Item::ProtocolError(error));
                }
                ReaderState::Body(put) => {
                    let put = *put;
                    if bytes.len() < put.bytes + 2 {
                        return None;
                    }
                    // Copied, because a slice would keep the connection's whole read buffer allocated.
                    let body = Bytes::copy_from_slice(&bytes[..put.bytes]);
                    bytes.advance(put.bytes);
                    let is_terminated = bytes.starts_with(b"\r\n");
                    bytes.advance(2);
                    self.state = ReaderState::Line;
                    return Some(match is_terminated {
                        true => Item::Command(Command::Put(put, body)),
                        false => Item::ProtocolError(ProtocolError::ExpectedCrlf),
                    });
                }
            }
        }
    }

    /// Parses a command line without CR LF.
    fn parse_line(&mut self, line: &[u8]) -> Item {
        let args: Vec<&str> = match std::str::from_utf8(line) {
            Ok(text) => text.split(' ').collect(),
            Err(_) => return Item::ProtocolError(ProtocolError::BadFormat),
        };
        if args[0] == "put" {
            // Without the body's length the start of the next command is unknown.
            let Some((put, bytes)) = parse_put(&args[1..]) else {
                return Item::ProtocolError(ProtocolError::UnknownBodyLength);
            };
            if bytes > self.max_job_bytes as u64 {
                self.state = ReaderState::Skip(bytes.saturating_add(2), ProtocolError::JobTooBig);
                return Item::PutHeader(0);
            }
            let put = Put {
                bytes: bytes as usize,
                ..put
            };
            self.state = ReaderState::Body(put);
            return Item::PutHeader(put.bytes);
        }
        match parse_command(args[0], &args[1..]) {
            Ok(command) => Item::Command(command),
            Err(error) => Item::ProtocolError(error),
        }
    }
}

/// Parses the arguments of a put. The body's length is returned separately, as it may exceed every limit.
fn parse_put(args: &[&str]) -> Option<(Put, u64)> {
    let [priority, delay, ttr, bytes] = args else {
        return None;
    };
    let put = Put {
        priority: parse_number(priority)?,
        delay: parse_number(delay)?,
        ttr: parse_number(ttr)?,
        bytes: 0,
    };
    Some((put, parse_number(bytes)?))
}

/// Parses decimal digits; a sign is not allowed.
fn parse_number<T: FromStr>(word: &str) -> Option<T> {
    let digits = !word.is_empty() && word.bytes().all(|b| b.is_ascii_digit());
    word.parse().ok().filter(|_| digits)
}

/// Validates a tube name by the protocol's rules.
fn parse_tube(word: &str) -> Option<Tube> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-+/;.$_()".contains(&b);
    let is_valid = (1..=MAX_TUBE_NAME_BYTES).contains(&word.len())
        && !word.starts_with('-')
        && word.bytes().all(is_allowed);
    is_valid.then(|| word.into())
}

/// Parses any command but put, whose body needs separate handling.
fn parse_command(name: &str, args: &[&str]) -> Result<Command, ProtocolError> {
    let bad_format = ProtocolError::BadFormat;
    let id = |word: &str| parse_number(word).ok_or(bad_format);
    let parse_u32 = |word: &str| parse_number(word).ok_or(bad_format);
    let tube_name = |word: &str| parse_tube(word).ok_or(bad_format);
    Ok(match (name, args) {
        ("use", [name]) => Command::Use(tube_name(name)?),
        ("watch", [name]) => Command::Watch(tube_name(name)?),
        ("ignore", [name]) => Command::Ignore(tube_name(name)?),
        ("reserve", []) => Command::Reserve,
        ("reserve-with-timeout", [seconds]) => Command::ReserveWithTimeout(parse_u32(seconds)?),
        ("reserve-job", [job]) => Command::ReserveJob(id(job)?),
        ("delete", [job]) => Command::Delete(id(job)?),
        ("release", [job, priority, delay]) => Command::Release {
            id: id(job)?,
            priority: parse_u32(priority)?,
            delay: parse_u32(delay)?,
        },
        ("bury", [job, priority]) => Command::Bury {
            id: id(job)?,
            priority: parse_u32(priority)?,
        },
        ("touch", [job]) => Command::Touch(id(job)?),
        ("peek", [job]) => Command::Peek(id(job)?),
        ("peek-ready", []) => Command::PeekReady,
        ("peek-delayed", []) => Command::PeekDelayed,
        ("peek-buried", []) => Command::PeekBuried,
        ("kick", [bound]) => Command::Kick(parse_u32(bound)?),
        ("kick-job", [job]) => Command::KickJob(id(job)?),
        ("stats", []) => Command::Stats,
        ("stats-job", [job]) => Command::StatsJob(id(job)?),
        ("stats-tube", [name]) => Command::StatsTube(tube_name(name)?),
        ("list-tubes", []) => Command::ListTubes,
        ("list-tube-used", []) => Command::ListTubeUsed,
        ("list-tubes-watched", []) => Command::ListTubesWatched,
        ("pause-tube", [name, delay]) => Command::PauseTube(tube_name(name)?, parse_u32(delay)?),
        ("quit", []) => Command::Quit,
        (name, _) if COMMAND_NAMES.contains(&name) => return Err(bad_format),
        _ => return Err(ProtocolError::UnknownCommand),
    })
}

/// All command names but put. With wrong arguments these give `BAD_FORMAT`, not `UNKNOWN_COMMAND`.
const COMMAND_NAMES: [&str; 24] = [
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

impl ProtocolError {
    /// The protocol's reply for this error.
    pub fn reply(self) -> &'static [u8] {
        match self {
            ProtocolError::UnknownBodyLength | ProtocolError::BadFormat => b"BAD_FORMAT\r\n",
            ProtocolError::UnknownCommand => b"UNKNOWN_COMMAND\r\n",
            ProtocolError::JobTooBig => b"JOB_TOO_BIG\r\n",
            ProtocolError::ExpectedCrlf => b"EXPECTED_CRLF\r\n",
            ProtocolError::OutOfMemory => b"OUT_OF_MEMORY\r\n",
        }
    }
}
