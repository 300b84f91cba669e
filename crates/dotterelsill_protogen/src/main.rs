//! Generates the Rust code for the schema under `proto/` and the page
//! `docs/settings.md`.
//!
//! The output is committed, so that builds do not need the generator. With `--check`,
//! no committed file is written, and the exit code tells whether the committed code and
//! page match the schema.

mod settings_page;

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
const SCHEMA_FILES: [&str; 8] = [
    "config.proto",
    "jobs.proto",
    "peer.proto",
    "planner.proto",
    "platform.proto",
    "settings.proto",
    "state.proto",
    "store.proto",
];

/// Page that documents the settings, relative to the root of the repository.
const PAGE_FILE: &str = "docs/settings.md";

/// Generates crates/dotterelsill_proto/src/generated and docs/settings.md from proto/.
#[derive(FromArgs)]
struct Args {
    /// compare with the committed files instead of writing them
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
    let schema = args.root.join("proto");
    let page = settings_page::generate(&schema).context(SchemaSnafu { path: &schema })?;
    let page_path = args.root.join(PAGE_FILE);
    if !args.check {
        generate(&schema, &committed)?;
        return fs::write(&page_path, page).context(FileSnafu { path: &page_path });
    }
    let fresh = args.root.join("target/protogen");
    fs::create_dir_all(&fresh).context(FileSnafu { path: &fresh })?;
    generate(&schema, &fresh)?;
    check_code(&fresh, &committed)?;
    check_page(&page, page_path)
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

/// Attributes that let messages be read from YAML, with an error for keys that are not
/// in the schema.
const YAML_ATTRIBUTES: &str =
    "#[derive(serde::Deserialize)] #[serde(default, deny_unknown_fields)]";

/// Attribute that reads the enumeration by name instead of by number.
const WHEN_ISOLATED_ATTRIBUTE: &str =
    "#[serde(deserialize_with = \"crate::when_isolated::deserialize\")]";

fn check_code(fresh: &Path, committed: &Path) -> Result<(), Error> {
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

fn check_page(expected: &str, path: PathBuf) -> Result<(), Error> {
    let found = fs::read(&path).context(FileSnafu { path: &path })?;
    if expected.as_bytes() != found {
        return Err(Error::Stale { path });
    }
    Ok(())
}
