//! Generates the Rust code of the schema from the `.proto` files.
//!
//! `cargo run -p cyclamengauge-schema-gen` rewrites the committed files. With
//! `--check` it leaves them as they are and exits with 1 if they differ from the
//! newly generated ones.

use std::{
    env, fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use anyhow::Context;
use prost::Message;

/// Paths relative to `schema/`, the import root of the compiler.
const PROTO_FILES: [&str; 6] = [
    "cyclamengauge/v1/settings.proto",
    "cyclamengauge/v1/declaration.proto",
    "cyclamengauge/v1/intent.proto",
    "cyclamengauge/v1/gossip.proto",
    "cyclamengauge/v1/peer.proto",
    "cyclamengauge/v1/platform.proto",
];

/// Messages and services from tonic-prost-build, and their JSON mapping from
/// pbjson-build.
const GENERATED_FILES: [&str; 2] = ["cyclamengauge.v1.rs", "cyclamengauge.v1.serde.rs"];

fn main() -> anyhow::Result<ExitCode> {
    let check = env::args().any(|arg| arg == "--check");
    let repository = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let committed_dir = repository.join("crates/schema/src/generated");
    let generated_dir = create_temp_dir()?;
    generate(&repository.join("schema"), &generated_dir)?;
    let exit_code = if check {
        check_committed(&generated_dir, &committed_dir)?
    } else {
        copy_to_committed(&generated_dir, &committed_dir)?;
        ExitCode::SUCCESS
    };
    fs::remove_dir_all(&generated_dir)
        .with_context(|| format!("remove {}", generated_dir.display()))?;
    Ok(exit_code)
}

fn create_temp_dir() -> anyhow::Result<PathBuf> {
    let path = env::temp_dir().join(format!("cyclamengauge-schema-{}", std::process::id()));
    fs::create_dir_all(&path).with_context(|| format!("create {}", path.display()))?;
    Ok(path)
}

fn generate(proto_dir: &Path, out_dir: &Path) -> anyhow::Result<()> {
    let descriptors =
        protox::compile(PROTO_FILES, [proto_dir]).context("compile the .proto files in schema/")?;
    let encoded_descriptors = descriptors.encode_to_vec();
    tonic_prost_build::configure()
        .out_dir(out_dir)
        .build_transport(true)
        .compile_fds(descriptors)
        .context("generate the messages and services")?;
    pbjson_build::Builder::new()
        .register_descriptors(&encoded_descriptors)
        .context("register the descriptors for the JSON mapping")?
        .preserve_proto_field_names()
        .out_dir(out_dir)
        .build(&[".cyclamengauge.v1"])
        .context("generate the JSON mapping")?;
    Ok(())
}

fn check_committed(generated_dir: &Path, committed_dir: &Path) -> anyhow::Result<ExitCode> {
    for name in GENERATED_FILES {
        let expected =
            fs::read(generated_dir.join(name)).with_context(|| format!("read generated {name}"))?;
        let committed =
            fs::read(committed_dir.join(name)).with_context(|| format!("read committed {name}"))?;
        if expected != committed {
            eprintln!(
                "schema: committed {name} differs from the code generated from the .proto files; run `cargo run -p cyclamengauge-schema-gen`"
            );
            return Ok(ExitCode::FAILURE);
        }
    }
    println!("schema: committed code matches the .proto files");
    Ok(ExitCode::SUCCESS)
}

fn copy_to_committed(generated_dir: &Path, committed_dir: &Path) -> anyhow::Result<()> {
    fs::create_dir_all(committed_dir)
        .with_context(|| format!("create {}", committed_dir.display()))?;
    for name in GENERATED_FILES {
        fs::copy(generated_dir.join(name), committed_dir.join(name))
            .with_context(|| format!("copy generated {name}"))?;
    }
    Ok(())
}
