//! The program `mintlb`. The implementation is in the library crate of the same package.

use std::process::ExitCode;

fn main() -> ExitCode {
    mintlb::cli::main()
}
