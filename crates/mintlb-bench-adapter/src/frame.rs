//! Frames of the bench. A batch has a header of 16 bytes (number, clock in milliseconds, length), the number of events,
//! the events as records of fixed size, and a tail with data of variable size that events refer to by offset and count.
//! A reply has its number, its length, the number of actions, the actions as records, and a tail. All numbers are
//! big-endian.

use std::io::{ErrorKind, Read};

pub const EVENT_BYTES: usize = 48;
pub const ACTION_BYTES: usize = 32;

pub struct Batch {
    pub number: u32,
    pub clock_ms: f64,
    records: usize,
    body: Vec<u8>,
}

/// Bytes that are read at fixed offsets. Reading beyond their end panics.
#[derive(Clone, Copy)]
pub struct Bytes<'a>(pub &'a [u8]);

impl<'a> Bytes<'a> {
    fn get<const N: usize>(&self, at: usize) -> [u8; N] {
        self.0[at..at + N].try_into().expect("a range of N bytes")
    }
    pub fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.get(at))
    }
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.get(at))
    }
    pub fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.get(at))
    }
    pub fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.get(at)))
    }
    pub fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.get(at))
    }
    /// The id of a worker: its IPv4 address and port as one number.
    pub fn worker(&self, at: usize) -> u64 {
        u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4))
    }
}

/// The next batch; `None` if the input ends before it.
pub fn read_batch(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut header = [0u8; 16];
    let mut got = 0;
    while got < header.len() {
        match input.read(&mut header[got..]) {
            Ok(0) if got == 0 => return Ok(None),
            Ok(0) => {
                return Err(format!(
                    "truncated frame: the header ends after {got} of 16 bytes"
                ));
            }
            Ok(n) => got += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("the input could not be read: {e}")),
        }
    }
    let header = Bytes(&header);
    let (number, clock_ms, length) = (header.u32(0), header.f64(4), header.u32(12) as usize);
    if length < 4 {
        return Err(format!(
            "batch {number}: a length of {length} leaves no room for the number of records"
        ));
    }
    let mut body = Vec::new();
    let read = input.take(length as u64).read_to_end(&mut body);
    read.map_err(|e| format!("batch {number}: the input could not be read: {e}"))?;
    if body.len() < length {
        return Err(format!(
            "batch {number}: truncated frame, {} of {length} bytes",
            body.len()
        ));
    }
    let records = Bytes(&body).u32(0) as usize;
    if records
        .checked_mul(EVENT_BYTES)
        .is_none_or(|size| size > length - 4)
    {
        return Err(format!(
            "batch {number}: {records} records do not fit into {length} bytes"
        ));
    }
    Ok(Some(Batch {
        number,
        clock_ms,
        records,
        body,
    }))
}

impl Batch {
    pub fn events(&self) -> impl Iterator<Item = Bytes<'_>> {
        self.body[4..4 + self.records * EVENT_BYTES]
            .chunks_exact(EVENT_BYTES)
            .map(Bytes)
    }

    /// The items in the tail that an event refers to by an offset in bytes and a count at `at`; each has `size` bytes.
    pub fn tail(&self, event: Bytes, at: usize, size: usize) -> Result<&[u8], String> {
        let tail = &self.body[4 + self.records * EVENT_BYTES..];
        let (start, count) = (event.u32(at) as usize, event.u32(at + 4) as usize);
        let end = count.checked_mul(size).and_then(|n| n.checked_add(start));
        end.and_then(|end| tail.get(start..end)).ok_or_else(|| {
            format!(
                "{count} items at {start} lie outside the tail of {} bytes",
                tail.len()
            )
        })
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action: its code, the scheduler's number, then the fields.
    pub fn push_action(&mut self, code: u8, scheduler: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        self.records.extend_from_slice(&scheduler.to_be_bytes());
        fields
            .iter()
            .for_each(|f| self.records.extend_from_slice(f));
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    /// Adds an action whose only field is a text.
    pub fn push_text(&mut self, code: u8, scheduler: u16, text: &str) {
        let (start, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.push_action(
            code,
            scheduler,
            &[&start.to_be_bytes(), &length.to_be_bytes()],
        );
    }

    /// Adds a message to all other schedulers.
    pub fn push_broadcast(&mut self, scheduler: u16, bytes: &[u8]) {
        let (start, length) = (self.tail.len() as u32, bytes.len() as u32);
        self.tail.extend_from_slice(bytes);
        self.push_action(
            23,
            scheduler,
            &[&[0xff, 0xff], &start.to_be_bytes(), &length.to_be_bytes()],
        );
    }

    pub fn encode(self, number: u32) -> Vec<u8> {
        let length = (4 + self.records.len() + self.tail.len()) as u32;
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let header = [
            number.to_be_bytes(),
            length.to_be_bytes(),
            count.to_be_bytes(),
        ]
        .concat();
        [header, self.records, self.tail].concat()
    }
}
