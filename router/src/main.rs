//! `kestreltide`: see `kestreltide help`.

fn main() -> std::process::ExitCode {
    kestreltide_router::program::main()
}
