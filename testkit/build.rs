//! The gNMI service's client side from its description, without protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=../management/proto");
    let described = protox::compile(["gnmi.proto"], ["../management/proto"])?;
    tonic_prost_build::configure()
        .build_server(false)
        .compile_fds(described)?;
    Ok(())
}
