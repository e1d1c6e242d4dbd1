//! Adapter between the bench and the scheduler: reads batches of events from standard input and writes replies with
//! actions to standard output.

mod frame;
mod instances;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut instances = instances::Instances::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let reply = instances.handle(&batch)?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|e| {
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
