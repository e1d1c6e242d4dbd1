//! The program `mintlb-control`.

use std::process::ExitCode;

fn main() -> ExitCode {
    mintlb_control::cli::main()
}
