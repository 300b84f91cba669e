//! Generates the Rust code of the schema under `proto/`.
//!
//! The output is committed, so that a build needs no generator. With `--check`
//! nothing is written and the exit code tells whether the committed code is
//! the one that the schema gives.

use std::{
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use argh::FromArgs;
use snafu::{
    ResultExt,
    Snafu, //
};

/// Schema files, relative to the schema directory.
const SCHEMA_FILES: [&str; 7] = [
    "config.proto",
    "peer.proto",
    "planner.proto",
    "platform.proto",
    "settings.proto",
    "state.proto",
    "store.proto",
];

/// Generates crates/dotterelsill_proto/src/generated from proto/.
#[derive(FromArgs)]
struct Args {
    /// compare with the committed code instead of writing it
    #[argh(switch)]
    check: bool,
    /// root of the repository (default: the current directory)
    #[argh(option, default = "PathBuf::from(\".\")")]
    root: PathBuf,
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("schema {}: {source}", path.display()))]
    Schema {
        path: PathBuf,
        source: protox::Error,
    },
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display(
        "{}: differs from the schema; run `cargo run -p dotterelsill_protogen`",
        path.display()
    ))]
    Stale { path: PathBuf },
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dotterelsill_protogen: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), Error> {
    let committed = args.root.join("crates/dotterelsill_proto/src/generated");
    if !args.check {
        return generate(&args.root.join("proto"), &committed);
    }
    let fresh = args.root.join("target/protogen");
    fs::create_dir_all(&fresh).context(FileSnafu { path: &fresh })?;
    generate(&args.root.join("proto"), &fresh)?;
    compare(&fresh, &committed)
}

fn generate(schema: &Path, output: &Path) -> Result<(), Error> {
    fs::create_dir_all(output).context(FileSnafu { path: output })?;
    let descriptors =
        protox::compile(SCHEMA_FILES, [schema]).context(SchemaSnafu { path: schema })?;
    tonic_prost_build::configure()
        .build_transport(false)
        .emit_rerun_if_changed(false)
        .out_dir(output)
        .message_attribute(".dotterelsill.settings", YAML_ATTRIBUTES)
        .message_attribute(".dotterelsill.config", YAML_ATTRIBUTES)
        .field_attribute("Queue.when_isolated", WHEN_ISOLATED_ATTRIBUTE)
        .compile_fds(descriptors)
        .context(FileSnafu { path: output })
}

/// Lets messages be read from YAML; a key that the schema does not name is an error.
const YAML_ATTRIBUTES: &str =
    "#[derive(serde::Deserialize)] #[serde(default, deny_unknown_fields)]";

/// Reads the enumeration by name instead of by number.
const WHEN_ISOLATED_ATTRIBUTE: &str =
    "#[serde(deserialize_with = \"crate::when_isolated::deserialize\")]";

fn compare(fresh: &Path, committed: &Path) -> Result<(), Error> {
    for entry in fs::read_dir(fresh).context(FileSnafu { path: fresh })? {
        let entry = entry.context(FileSnafu { path: fresh })?;
        let path = committed.join(entry.file_name());
        let expected = fs::read(entry.path()).context(FileSnafu { path: entry.path() })?;
        let found = fs::read(&path).context(FileSnafu { path: &path })?;
        if expected != found {
            return Err(Error::Stale { path });
        }
    }
    Ok(())
}
