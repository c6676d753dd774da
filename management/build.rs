//! Generates the gNMI code from the `.proto` files; protox compiles them, so that no protoc has to be installed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=proto");
    let descriptors = protox::compile(["gnmi.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .build_client(true)
        .compile_fds(descriptors)?;
    Ok(())
}
