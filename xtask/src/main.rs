//! Repository tasks. `cargo run -p xtask -- generate` writes the code generated from the
//! schema.

use std::path::Path;
use std::process::ExitCode;

const SCHEMAS: [&str; 7] = [
    "agent.proto",
    "config.proto",
    "declared.proto",
    "keys.proto",
    "loads.proto",
    "residency.proto",
    "settings.proto",
];
const OUT_DIR: &str = "crates/larkspring-proto/src/gen";
const SERDE_ATTRIBUTES: &str = "#[derive(serde::Serialize, serde::Deserialize)] \
                     #[serde(default, deny_unknown_fields)]";

fn main() -> ExitCode {
    let task = std::env::args().nth(1);
    match task.as_deref() {
        Some("generate") => match generate() {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("xtask generate: {e}");
                ExitCode::FAILURE
            }
        },
        _ => {
            eprintln!("usage: cargo run -p xtask -- generate");
            ExitCode::from(2)
        }
    }
}

/// Generates the Rust types and service stubs of every schema file.
fn generate() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let files = protox::compile(SCHEMAS, [root.join("schema")])?;
    let out = root.join(OUT_DIR);
    std::fs::create_dir_all(&out)?;
    tonic_prost_build::configure()
        .build_transport(false)
        .codec_path("crate::codec::SmallCodec")
        .out_dir(out)
        .type_attribute(".larkspring.declared", SERDE_ATTRIBUTES)
        .type_attribute(".larkspring.settings", SERDE_ATTRIBUTES)
        .type_attribute(".larkspring.keys.KeyTable", SERDE_ATTRIBUTES)
        .type_attribute(".larkspring.keys.Tenure", SERDE_ATTRIBUTES)
        .bytes(".larkspring.agent")
        .bytes(".larkspring.keys")
        .bytes(".larkspring.config")
        .bytes(".larkspring.residency")
        .compile_fds(files)?;
    Ok(())
}
