fn main() -> std::process::ExitCode {
    mintlb_rig::cli::main()
}
