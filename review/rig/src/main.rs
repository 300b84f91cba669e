//! Runs one case of the review: `rig CASE FOLDER`. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod record;
mod site;
mod store;
mod worker;

use std::{
    path::PathBuf,
    process::ExitCode, //
};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: rig CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, &PathBuf::from(folder), has_trouble) {
        Ok(Some(broken)) => {
            println!("{case}: {}", if broken { "broken" } else { "held" });
            ExitCode::from(u8::from(broken))
        }
        Ok(None) => {
            println!("{case}: could not run");
            ExitCode::from(2)
        }
        Err(error) => {
            println!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}
