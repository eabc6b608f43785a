//! Generates `wire/src/generated.rs` from `wire/proto/loftcove.proto`.
//!
//! Run it with `cargo run` in `wire/generate` after a change of the `.proto` file. The compiler of
//! the file is a Rust library, so `protoc` is not needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let set = protox::compile(["../proto/loftcove.proto"], ["../proto"])?;
    let out = std::path::Path::new("../src");
    tonic_prost_build::configure().bytes(".").out_dir(out).compile_fds(set)?;
    std::fs::rename(out.join("loftcove.v1.rs"), out.join("generated.rs"))?;
    Ok(())
}
