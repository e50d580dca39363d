//! Regenerates the committed code of the peer protocol.
//!
//! Run as `cargo run -p xtask` after a change to `peer/proto/peer.proto`.

use std::error::Error;

const PROTO: &str = "peer/proto/peer.proto";
const OUT_DIR: &str = "peer/src/generated";

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile([PROTO], ["peer/proto"])?;
    std::fs::create_dir_all(OUT_DIR)?;
    tonic_prost_build::configure().out_dir(OUT_DIR).compile_fds(files)?;
    Ok(())
}
