//! Output of the commands, and their exit codes.

/// Writes a line to standard output.
macro_rules! outln {
    ($($arguments:tt)*) => {
        $crate::print::out(&(format!($($arguments)*) + "\n"))
    };
}
pub(crate) use outln;

use std::{
    io::{
        self,
        Write as _, //
    },
    process::ExitCode, //
};

use dotterelsill_config::Finding;
use dotterelsill_proto::peer::{
    ChangeResponse,
    ChangeState,
    StatusResponse, //
};

/// Exit code of a refused change.
pub(crate) const EXIT_REFUSED: u8 = 1;

/// Exit code of a change that is stored but not yet in force on all instances.
const EXIT_STORED: u8 = 3;

/// Exit code of a change that may or may not be stored.
pub(crate) const EXIT_UNKNOWN: u8 = 4;

/// Writes text to standard output. Errors are ignored, because a reader such as
/// `head` may close the pipe early.
pub(crate) fn out(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Prints findings, each prefixed with the name of the file.
pub(crate) fn findings(file: &str, findings: &[Finding]) {
    for finding in findings {
        outln!("{file}:{finding}");
    }
}

/// Prints the state of a change and returns the corresponding exit code.
pub(crate) fn change(response: &ChangeResponse) -> ExitCode {
    match response.state() {
        ChangeState::InForce => {
            outln!("revision {} is in force", response.revision);
            ExitCode::SUCCESS
        }
        ChangeState::Stored => {
            outln!("revision {} is stored, not yet in force", response.revision);
            for member in &response.unconfirmed {
                outln!(
                    "  {}: {} (at most {} s)",
                    member.instance,
                    member.reason,
                    member.at_most_s
                );
            }
            if response.unconfirmed.is_empty() {
                outln!(
                    "  waiting for the return of credits above a lowered limit, or for the store"
                );
            }
            ExitCode::from(EXIT_STORED)
        }
        ChangeState::Refused => {
            outln!("refused: {}", response.reason);
            ExitCode::from(EXIT_REFUSED)
        }
        ChangeState::Unknown | ChangeState::Unspecified => {
            outln!("not known whether it was stored: {}", response.reason);
            ExitCode::from(EXIT_UNKNOWN)
        }
    }
}

/// Prints the status of an entry instance.
pub(crate) fn status(status: &StatusResponse) {
    let excluded = match status.data_centres_out.as_slice() {
        [] => "none".to_owned(),
        names => names.join(", "),
    };
    outln!("instance           {}", status.instance);
    outln!("incarnation        {}", status.incarnation);
    outln!("revision in force  {}", status.revision);
    outln!("authority          {}", status.authority);
    outln!("proof age          {} ms", status.proof_age_ms);
    outln!("data centres out   {excluded}");
    outln!("store calls        {}", status.store_calls);
    for member in &status.members {
        outln!(
            "member             {} in {} at {} ({})",
            member.instance,
            member.data_centre,
            member.peer_address,
            member.state
        );
    }
    for credit in &status.credits {
        outln!(
            "credits            {}: {} in use of {} here, {} in the whole fleet",
            credit.team,
            credit.in_use,
            credit.allowed,
            credit.limit
        );
    }
    for key in &status.keys {
        outln!(
            "key                {} of {}",
            hex::encode(&key.fingerprint),
            key.team
        );
    }
}
