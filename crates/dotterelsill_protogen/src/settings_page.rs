//! Generates the page that lists the keys of the settings files and of the operators'
//! configuration.

use std::{
    fmt::Write as _,
    path::Path, //
};

use protox::{
    prost_reflect::{
        DescriptorPool,
        EnumDescriptor,
        FieldDescriptor,
        Kind,
        MessageDescriptor, //
    },
    Compiler, //
};

/// Schema files that the page is generated from.
const PAGE_FILES: [&str; 2] = ["config.proto", "settings.proto"];

/// Binaries and the messages that describe their settings files.
const BINARIES: [(&str, &str); 3] = [
    ("dotterelsill-entry", "dotterelsill.settings.EntrySettings"),
    (
        "dotterelsill-standin-store",
        "dotterelsill.settings.StandinStoreSettings",
    ),
    (
        "dotterelsill-standin-upstream",
        "dotterelsill.settings.StandinUpstreamSettings",
    ),
];

/// Message that describes the operators' configuration.
const CONFIGURATION_MESSAGE: &str = "dotterelsill.config.Fleet";

/// Text before the tables of the settings files.
const INTRODUCTION: &str = "\
# Settings

This page is generated from the comments in `proto/settings.proto` and
`proto/config.proto` by `cargo run -p dotterelsill_protogen`; change it there.

Both kinds of file are YAML. A key that is not listed here is an error. A key
that is left out has the value 0, false or the empty text, unless this page says
otherwise.

## Settings files

Each binary below reads the file named by `--settings`. `dotterelsill` and
`dotterelsill-load` have no settings file; `--help` lists their arguments. A
`log_level` that is left out is `info`.
";

/// Text before the tables of the operators' configuration.
const CONFIGURATION_INTRODUCTION: &str = "
## Operators' text

`dotterelsill check` reads the file and names the line of each mistake. Some
rules, such as ranges and references between names, are checked there and are
not part of the schema.

An `isolation_limit_s` that is left out is 900, unlike one of 0; 1800 is the
most. A `when_isolated` that is left out is `default`. `limit_requests`, `slots`,
`connections`, `timeout_ms` and `max_run_ms` must be written and be at least 1.
";

/// Returns the page as Markdown.
///
/// # Errors
///
/// Returns an error if the schema cannot be compiled.
pub(crate) fn generate(schema: &Path) -> Result<String, protox::Error> {
    let mut compiler = Compiler::new([schema])?;
    compiler.include_source_info(true);
    compiler.open_files(PAGE_FILES)?;
    Ok(page(&compiler.descriptor_pool()))
}

fn page(pool: &DescriptorPool) -> String {
    let mut page = INTRODUCTION.to_owned();
    for (binary, name) in BINARIES {
        let message = message_of(pool, name);
        add_table(&mut page, &format!("`{binary}`"), &message);
    }
    page.push_str(CONFIGURATION_INTRODUCTION);
    for message in configuration_messages(pool) {
        add_table(&mut page, &format!("`{}`", message.name()), &message);
    }
    for values in configuration_enums(pool) {
        add_enum(&mut page, &values);
    }
    page
}

fn message_of(pool: &DescriptorPool, name: &str) -> MessageDescriptor {
    pool.get_message_by_name(name)
        .expect("the compiled schema files contain the message")
}

/// Returns the messages that make up the operators' configuration, the outermost first.
fn configuration_messages(pool: &DescriptorPool) -> Vec<MessageDescriptor> {
    let mut found = vec![message_of(pool, CONFIGURATION_MESSAGE)];
    let mut next = 0;
    while next < found.len() {
        let nested = found[next].fields().filter_map(|field| match field.kind() {
            Kind::Message(message) => Some(message),
            _ => None,
        });
        let nested: Vec<_> = nested.filter(|message| !found.contains(message)).collect();
        found.extend(nested);
        next += 1;
    }
    found
}

fn configuration_enums(pool: &DescriptorPool) -> Vec<EnumDescriptor> {
    let messages = configuration_messages(pool);
    let fields = messages.iter().flat_map(MessageDescriptor::fields);
    let enums = fields.filter_map(|field| match field.kind() {
        Kind::Enum(values) => Some(values),
        _ => None,
    });
    enums.collect()
}

fn add_table(page: &mut String, title: &str, message: &MessageDescriptor) {
    let meaning = comment(message.parent_file_descriptor_proto(), message.path());
    add_heading(
        page,
        title,
        &meaning,
        "| key | type | meaning |\n|---|---|---|",
    );
    for field in message.fields() {
        let meaning = comment(field.parent_file().file_descriptor_proto(), field.path());
        let row = format!("| `{}` | {} | {meaning} |", field.name(), type_name(&field));
        add_line(page, &row);
    }
}

fn add_enum(page: &mut String, values: &EnumDescriptor) {
    let title = format!("Values of `{}`", values.name());
    let meaning = comment(values.parent_file_descriptor_proto(), values.path());
    add_heading(page, &title, &meaning, "| value | meaning |\n|---|---|");
    for value in values.values() {
        let meaning = comment(value.parent_file().file_descriptor_proto(), value.path());
        add_line(
            page,
            &format!("| `{}` | {meaning} |", value_name(values, value.name())),
        );
    }
}

fn add_heading(page: &mut String, title: &str, meaning: &str, columns: &str) {
    add_line(page, &format!("\n### {title}\n\n{meaning}\n\n{columns}"));
}

fn add_line(page: &mut String, line: &str) {
    // Writing to a string cannot fail.
    let _ = writeln!(page, "{line}");
}

/// Returns the value as written in the configuration: in lower case and without the name
/// of the enumeration.
fn value_name(values: &EnumDescriptor, value: &str) -> String {
    let mut prefix = String::new();
    for letter in values.name().chars() {
        if letter.is_uppercase() && !prefix.is_empty() {
            prefix.push('_');
        }
        prefix.push(letter.to_ascii_uppercase());
    }
    prefix.push('_');
    let short = value.strip_prefix(&prefix).unwrap_or(value);
    short.to_ascii_lowercase()
}

fn type_name(field: &FieldDescriptor) -> String {
    let one = match field.kind() {
        Kind::Bool => "true or false".to_owned(),
        Kind::Message(message) => format!("`{}`", message.name()),
        Kind::Enum(values) => format!("`{}`", values.name()),
        Kind::String => "text".to_owned(),
        Kind::Uint32 | Kind::Uint64 => "whole number".to_owned(),
        kind => format!("{kind:?}"),
    };
    if field.is_list() {
        format!("list of {one}")
    } else {
        one
    }
}

/// Returns the comment above an element of the schema, joined to one line.
fn comment(file: &protox::prost_reflect::prost_types::FileDescriptorProto, path: &[i32]) -> String {
    let locations = file.source_code_info.iter().flat_map(|info| &info.location);
    locations
        .filter(|location| location.path == path)
        .find_map(|location| location.leading_comments.as_deref())
        .map(one_line)
        .unwrap_or_default()
}

fn one_line(text: &str) -> String {
    let words: Vec<_> = text.split_whitespace().collect();
    words.join(" ").replace('|', "\\|")
}
