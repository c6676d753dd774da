//! `kestreltide`: the real router. Layers, each knowing only those before it: limits, transport, protocol,
//! routing, program.

mod limits;
mod program;
mod protocol;
mod routing;
mod transport;

fn main() -> std::process::ExitCode {
    program::main()
}
