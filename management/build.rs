//! The gNMI service from its description, without protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto");
    let described = protox::compile(["gnmi.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_client(true)
        .compile_fds(described)?;
    Ok(())
}
