//! The program `mintlb`: all it does stands in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    mintlb::cli::main()
}
