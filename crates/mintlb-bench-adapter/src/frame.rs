//! Framing: batches of fixed records with one tail, big-endian.

use std::io::{ErrorKind, Read};

pub const EVENT: usize = 48;
pub const ACTION: usize = 32;

pub struct Batch {
    pub number: u32,
    /// The clock, in milliseconds.
    pub clock: f64,
    records: usize,
    body: Vec<u8>,
}

/// A run of bytes read by offset; what lies past its end reads as an error.
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
    /// Four bytes of address and a port, as one number.
    pub fn worker(&self, at: usize) -> u64 {
        u64::from(self.u32(at)) << 16 | u64::from(self.u16(at + 4))
    }
}

/// The next batch; `None` at a clean end of input.
pub fn read(input: &mut impl Read) -> Result<Option<Batch>, String> {
    let mut head = [0u8; 16];
    let mut got = 0;
    while got < head.len() {
        match input.read(&mut head[got..]) {
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
    let head = Bytes(&head);
    let (number, clock, length) = (head.u32(0), head.f64(4), head.u32(12) as usize);
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
        .checked_mul(EVENT)
        .is_none_or(|size| size > length - 4)
    {
        return Err(format!(
            "batch {number}: {records} records do not fit into {length} bytes"
        ));
    }
    Ok(Some(Batch {
        number,
        clock,
        records,
        body,
    }))
}

impl Batch {
    pub fn events(&self) -> impl Iterator<Item = Bytes<'_>> {
        self.body[4..4 + self.records * EVENT]
            .chunks_exact(EVENT)
            .map(Bytes)
    }

    /// The part of the tail that a field at `at` of an event points to, in units of `size` bytes.
    pub fn tail(&self, event: Bytes, at: usize, size: usize) -> Result<&[u8], String> {
        let tail = &self.body[4 + self.records * EVENT..];
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

/// A reply being written.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Adds an action: its code, the instance, then the fields.
    pub fn act(&mut self, code: u8, scheduler: u16, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.push(code);
        self.records.extend_from_slice(&scheduler.to_be_bytes());
        fields
            .iter()
            .for_each(|f| self.records.extend_from_slice(f));
        debug_assert!(self.records.len() <= end);
        self.records.resize(end, 0);
    }

    /// Adds an action whose one field is a text.
    pub fn say(&mut self, code: u8, scheduler: u16, text: &str) {
        let (start, length) = (self.tail.len() as u32, text.len() as u32);
        self.tail.extend_from_slice(text.as_bytes());
        self.act(
            code,
            scheduler,
            &[&start.to_be_bytes(), &length.to_be_bytes()],
        );
    }

    /// Adds a message to all other instances.
    pub fn tell(&mut self, scheduler: u16, bytes: &[u8]) {
        let (start, length) = (self.tail.len() as u32, bytes.len() as u32);
        self.tail.extend_from_slice(bytes);
        self.act(
            23,
            scheduler,
            &[&[0xff, 0xff], &start.to_be_bytes(), &length.to_be_bytes()],
        );
    }

    pub fn finish(self, number: u32) -> Vec<u8> {
        let length = (4 + self.records.len() + self.tail.len()) as u32;
        let count = (self.records.len() / ACTION) as u32;
        let head = [
            number.to_be_bytes(),
            length.to_be_bytes(),
            count.to_be_bytes(),
        ]
        .concat();
        [head, self.records, self.tail].concat()
    }
}
