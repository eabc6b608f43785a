//! Writes `wire/src/generated.rs` from `wire/proto/loftcove.proto`.
//!
//! Run it in `wire/generate` with `cargo run` after the messages change. The
//! compiler of the message file is a Rust library, so no `protoc` is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let set = protox::compile(["../proto/loftcove.proto"], ["../proto"])?;
    let out = std::path::Path::new("../src");
    tonic_prost_build::configure().bytes(".").out_dir(out).compile_fds(set)?;
    std::fs::rename(out.join("loftcove.v1.rs"), out.join("generated.rs"))?;
    Ok(())
}
