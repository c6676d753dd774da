//! Generates the gNMI client from the service's protobuf files, without `protoc`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo::rerun-if-changed=../management/proto");
    let descriptors = protox::compile(["gnmi.proto"], ["../management/proto"])?;
    tonic_prost_build::configure()
        .build_server(false)
        .compile_fds(descriptors)?;
    Ok(())
}
