//! Tests `--check` with the committed files and with changed ones.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Command,
        Output, //
    }, //
};

const REPOSITORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn check(root: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_dotterelsill_protogen"))
        .args(["--check", "--root"])
        .arg(root)
        .output()
        .expect("the generator starts")
}

/// Copies the files that the generator reads to a directory of the test.
fn copy_repository(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    for directory in ["crates/dotterelsill_proto/src/generated", "docs", "proto"] {
        let from = Path::new(REPOSITORY).join(directory);
        let to = root.join(directory);
        fs::create_dir_all(&to).expect("the directory is created");
        for entry in fs::read_dir(from).expect("the directory is listed") {
            let entry = entry.expect("the entry is read");
            // The generator reads no subdirectories of docs/.
            if entry.path().is_dir() {
                continue;
            }
            fs::copy(entry.path(), to.join(entry.file_name())).expect("the file is copied");
        }
    }
    root
}

fn replace(path: &Path, from: &str, to: &str) {
    let text = fs::read_to_string(path).expect("the file is read");
    assert!(text.contains(from), "{from:?} in {}", path.display());
    fs::write(path, text.replace(from, to)).expect("the file is written");
}

/// Guards against a check that rejects files that are up to date.
#[test]
fn accepts_the_committed_files() {
    let output = check(&copy_repository("committed"));
    assert!(output.status.success(), "{output:?}");
}

/// Guards against a check that accepts a page that differs from the schema.
#[test]
fn refuses_a_changed_page() {
    let root = copy_repository("changed_page");
    replace(&root.join("docs/settings.md"), "Unique name", "Name");
    let output = check(&root);
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("docs/settings.md: differs"), "{text}");
}

/// Guards against a page without the comments of an enumeration, which is reached only
/// through a field.
#[test]
fn refuses_a_comment_that_the_page_lacks() {
    let root = copy_repository("changed_comment");
    let schema = root.join("proto/config.proto");
    replace(
        &schema,
        "// Refuse all requests as not run.",
        "// Refuse all.",
    );
    let generated = root.join("crates/dotterelsill_proto/src/generated/dotterelsill.config.rs");
    replace(
        &generated,
        "/// Refuse all requests as not run.",
        "/// Refuse all.",
    );
    let output = check(&root);
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("docs/settings.md: differs"), "{text}");
}
