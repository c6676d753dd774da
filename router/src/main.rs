//! The `kestreltide` binary. `kestreltide help` lists its sub-commands.

fn main() -> std::process::ExitCode {
    kestreltide_router::program::main()
}
