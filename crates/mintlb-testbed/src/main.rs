fn main() -> std::process::ExitCode {
    mintlb_testbed::cli::main()
}
