//! Regenerates the Rust code of the peer protocol.
//!
//! Run `cargo run -p xtask` after every change to `peer/proto/peer.proto`.

use std::error::Error;

const PROTO_FILE: &str = "peer/proto/peer.proto";
const OUT_DIR: &str = "peer/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile([PROTO_FILE], ["peer/proto"])?;
    std::fs::create_dir_all(OUT_DIR)?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .bytes(".magnoliawinch.peer")
        .compile_fds(files)?;
    Ok(())
}
