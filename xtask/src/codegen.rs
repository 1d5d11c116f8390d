//! Generates the Rust message types from the published schema.
//!
//! `protox` compiles the schema without an external `protoc`, `prost-build` generates the message
//! types and `pbjson-build` their JSON serialization. The generated code is committed; `--check`
//! fails if it does not match the schema.

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::WrapErr;
use prost::Message;

/// generate the Rust message types from the published schema
#[derive(FromArgs)]
#[argh(subcommand, name = "codegen")]
pub(crate) struct Options {
    /// do not write anything; fail if the committed code differs from the generated code
    #[argh(switch)]
    check: bool,
}

/// The directory to which schema paths are relative.
const SCHEMA_ROOT: &str = "proto";
/// Path of the schema, relative to [`SCHEMA_ROOT`].
const SCHEMA: &str = "laburnum/v1/laburnum.proto";
/// The protobuf package of the schema.
const PACKAGE: &str = "laburnum.v1";
/// The directory of the committed generated code.
const COMMITTED_DIR: &str = "src/api/schema";

/// Generates the code in a scratch directory, then compares it with the committed code or copies it.
pub(crate) fn exec(options: &Options) -> eyre::Result<()> {
    let scratch = PathBuf::from("target/codegen");
    fs::create_dir_all(&scratch)?;
    generate(&scratch)?;
    for name in ["laburnum.v1.rs", "laburnum.v1.serde.rs", "laburnum.v1.bin"] {
        let generated = fs::read(scratch.join(name))?;
        let path = Path::new(COMMITTED_DIR).join(name);
        if options.check {
            let committed =
                fs::read(&path).wrap_err_with(|| format!("{} is missing", path.display()))?;
            eyre::ensure!(
                committed == generated,
                "{} does not match the schema; run `cargo xtask codegen`",
                path.display()
            );
        } else {
            fs::write(&path, generated)?;
        }
    }
    Ok(())
}

/// Writes the generated code and the schema's descriptor to the directory `out`.
fn generate(out: &Path) -> eyre::Result<()> {
    let files = protox::compile([SCHEMA], [SCHEMA_ROOT]).wrap_err("the schema does not compile")?;
    let descriptor = files.encode_to_vec();
    fs::write(out.join("laburnum.v1.bin"), &descriptor)?;
    prost_build::Config::new().out_dir(out).compile_fds(files)?;
    pbjson_build::Builder::new()
        .register_descriptors(&descriptor)?
        .out_dir(out)
        .build(&[format!(".{PACKAGE}")])?;
    Ok(())
}
