//! The bench's wire for the decision module: frames in on standard input, replies out.

mod frame;
mod host;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Instances::default();
    while let Some(batch) = frame::read(&mut input)? {
        let reply = host.answer(&batch)?;
        let told = output.write_all(&reply).and_then(|()| output.flush());
        told.map_err(|e| {
            format!(
                "batch {}: the reply could not be written: {e}",
                batch.number
            )
        })?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("mintlb-bench-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}
