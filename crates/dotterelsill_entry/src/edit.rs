//! Edits of the configuration document, with the reason if one is refused.

use dotterelsill_config::{
    diff,
    parse,
    CheckedFleet,
    Finding, //
};
use dotterelsill_proto::config::{
    Document,
    Key, //
};
use prost::Message as _;

/// Length of a key's fingerprint: the first bytes of its SHA-256.
pub(crate) const FINGERPRINT_BYTES: usize = 8;

/// Minimum length of a fingerprint with which a key can be withdrawn, in bytes.
const MIN_FINGERPRINT_BYTES: usize = 4;

/// Maximum size of an encoded document; the store accepts values of up to 1 MB.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

/// Replaces the operators' configuration text; returns whether a team's limit is
/// lowered.
pub(crate) fn apply(document: &mut Document, text: &str) -> Result<bool, String> {
    let new = parse(text).map_err(|findings| findings_text(&findings))?;
    // Without a valid text in force there are no limits to lower.
    let lowers = parse(&document.text)
        .is_ok_and(|old| diff(&old, &new).iter().any(|change| change.lowers_limit));
    text.clone_into(&mut document.text);
    check_length(document)?;
    Ok(lowers)
}

/// Adds a key of a team, given by its SHA-256.
pub(crate) fn give_key(document: &mut Document, team: &str, sha256: &[u8]) -> Result<(), String> {
    let checked = checked_text(document)?;
    if checked.team(team).is_none() {
        let names: Vec<&str> = checked
            .fleet()
            .teams
            .iter()
            .map(|team| &team.name[..])
            .collect();
        return Err(format!(
            "no team is named {team:?}; there are {}",
            names.join(", ")
        ));
    }
    if document.keys.iter().any(|key| key.sha256 == sha256) {
        return Err("this key is already given; make a new one".to_owned());
    }
    document.keys.push(Key {
        team: team.to_owned(),
        sha256: sha256.to_vec(),
    });
    check_length(document)
}

/// Removes the one key whose SHA-256 starts with a fingerprint.
pub(crate) fn withdraw_key(document: &mut Document, fingerprint: &[u8]) -> Result<(), String> {
    if fingerprint.len() < MIN_FINGERPRINT_BYTES {
        return Err(format!(
            "the fingerprint is too short; give at least {} hex digits",
            2 * MIN_FINGERPRINT_BYTES
        ));
    }
    let is_named = |key: &Key| key.sha256.starts_with(fingerprint);
    match document.keys.iter().filter(|key| is_named(key)).count() {
        0 => Err("no key in force has this fingerprint; see `dotterelsill status`".to_owned()),
        1 => {
            document.keys.retain(|key| !is_named(key));
            Ok(())
        }
        n => Err(format!(
            "{n} keys have this fingerprint; give more of its digits"
        )),
    }
}

/// Excludes a data centre or includes it again.
pub(crate) fn set_data_centre(
    document: &mut Document,
    name: &str,
    out: bool,
) -> Result<(), String> {
    let checked = checked_text(document)?;
    if out && checked.data_centre(name).is_none() {
        let data_centres = &checked.fleet().data_centres;
        let names: Vec<&str> = data_centres.iter().map(|known| &known.name[..]).collect();
        return Err(format!(
            "no data centre is named {name:?}; there are {}",
            names.join(", ")
        ));
    }
    document.data_centres_out.retain(|known| known != name);
    if out {
        document.data_centres_out.push(name.to_owned());
    }
    check_length(document)
}

/// Parses and checks the text in force.
fn checked_text(document: &Document) -> Result<CheckedFleet, String> {
    if document.text.is_empty() {
        return Err("no text is in force yet; apply one first".to_owned());
    }
    parse(&document.text).map_err(|findings| findings_text(&findings))
}

/// Refuses a document that does not fit into a value of the store.
fn check_length(document: &Document) -> Result<(), String> {
    let length_bytes = document.encoded_len();
    if length_bytes > MAX_DOCUMENT_BYTES {
        return Err(format!(
            "text and keys together have {length_bytes} bytes, of at most \
             {MAX_DOCUMENT_BYTES}; shorten the text or withdraw keys"
        ));
    }
    Ok(())
}

fn findings_text(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
