//! Generates the message types from the published schema.
//!
//! `protox` compiles the schema without an outside compiler, `prost-build` writes the messages and
//! `pbjson-build` their JSON form. The result is committed; `--check` compares it with the schema.

use std::fs;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use eyre::WrapErr;
use prost::Message;

/// generate the message types from the published schema
#[derive(FromArgs)]
#[argh(subcommand, name = "codegen")]
pub(crate) struct Options {
    /// change nothing, fail when the committed code differs
    #[argh(switch)]
    check: bool,
}

/// The directory that schema paths are relative to.
const SCHEMA_ROOT: &str = "proto";
/// The schema.
const SCHEMA: &str = "laburnum/v1/laburnum.proto";
/// The package of the schema.
const PACKAGE: &str = "laburnum.v1";
/// Where the generated code is committed.
const GENERATED: &str = "src/api/schema";

/// Generates into a scratch directory, then compares or copies.
pub(crate) fn exec(options: &Options) -> eyre::Result<()> {
    let scratch = PathBuf::from("target/codegen");
    fs::create_dir_all(&scratch)?;
    generate(&scratch)?;
    for name in ["laburnum.v1.rs", "laburnum.v1.serde.rs", "laburnum.v1.bin"] {
        let made = fs::read(scratch.join(name))?;
        let committed = Path::new(GENERATED).join(name);
        if options.check {
            let kept = fs::read(&committed)
                .wrap_err_with(|| format!("{} is missing", committed.display()))?;
            eyre::ensure!(
                kept == made,
                "{} does not match the schema; run `cargo xtask codegen`",
                committed.display()
            );
        } else {
            fs::write(&committed, made)?;
        }
    }
    Ok(())
}

/// Writes the code and the schema's descriptor into `out`.
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
