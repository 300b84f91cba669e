//! What each command does.

use std::{
    fs,
    io::{
        self,
        Read as _, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use dotterelsill_proto::peer::{
    ApplyRequest,
    ChangeResponse,
    ChangeState,
    GiveKeyRequest,
    SetDataCentreRequest,
    StatusRequest,
    StatusResponse,
    WithdrawKeyRequest, //
};
use dotterelsill_rpc::Tasks;
use sha2::{
    Digest as _,
    Sha256, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::{
    args::{
        Args,
        Command,
        Direction,
        KeyCommand, //
    },
    client::{
        connect,
        Client, //
    }, //
};

/// Exit code of a refused change.
const EXIT_REFUSED: u8 = 1;

/// Exit code of a change that is stored but not yet in force everywhere.
const EXIT_STORED: u8 = 3;

/// Exit code of a change of which it is not known whether it was stored.
const EXIT_UNKNOWN: u8 = 4;

/// A command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("standard input: {source}; pipe the key in"))]
    Input { source: io::Error },
    #[snafu(display("entry instance: {}; name another one with --entry", source.message()))]
    Call {
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
}

/// Runs a command and returns the exit code.
pub(crate) async fn run(args: Args, tasks: &Tasks) -> Result<ExitCode, CommandError> {
    let mut client = connect(args.entry, tasks);
    match args.command {
        Command::Apply(apply) if apply.dry_run => {
            read(&apply.file)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Apply(apply) => run_apply(&mut client, &apply.file).await,
        Command::Check(check) => {
            read(&check.file)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Dc(dc) => {
            let request = SetDataCentreRequest {
                write_id: new_write_id(),
                data_centre: dc.data_centre,
                out: dc.direction == Direction::Out,
            };
            let answer = client.set_data_centre(request).await.context(CallSnafu)?;
            Ok(print_change(&answer.into_inner()))
        }
        Command::Key(key) => match key.command {
            KeyCommand::Give(give) => run_key_give(&mut client, give.team).await,
            KeyCommand::Withdraw(_) => run_key_withdraw(&mut client).await,
        },
        Command::Status(_) => {
            let answer = client.status(StatusRequest {}).await.context(CallSnafu)?;
            print_status(&answer.into_inner());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).context(FileSnafu { path })
}

async fn run_apply(client: &mut Client, file: &Path) -> Result<ExitCode, CommandError> {
    let request = ApplyRequest {
        write_id: new_write_id(),
        text: read(file)?,
    };
    let answer = client.apply(request).await.context(CallSnafu)?;
    Ok(print_change(&answer.into_inner()))
}

async fn run_key_give(client: &mut Client, team: String) -> Result<ExitCode, CommandError> {
    let key = hex(&rand::random::<[u8; 32]>());
    let request = GiveKeyRequest {
        write_id: new_write_id(),
        team,
        sha256: Sha256::digest(&key).to_vec(),
    };
    let answer = client.give_key(request).await.context(CallSnafu)?;
    let answer = answer.into_inner();
    if answer.state() != ChangeState::Refused {
        println!("key: {key}");
    }
    Ok(print_change(&answer))
}

async fn run_key_withdraw(client: &mut Client) -> Result<ExitCode, CommandError> {
    let mut key = String::new();
    io::stdin().read_to_string(&mut key).context(InputSnafu)?;
    let request = WithdrawKeyRequest {
        write_id: new_write_id(),
        sha256: Sha256::digest(key.trim()).to_vec(),
    };
    let answer = client.withdraw_key(request).await.context(CallSnafu)?;
    Ok(print_change(&answer.into_inner()))
}

fn new_write_id() -> String {
    hex(&rand::random::<[u8; 16]>())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn print_change(answer: &ChangeResponse) -> ExitCode {
    match answer.state() {
        ChangeState::InForce => {
            println!("revision {} is in force", answer.revision);
            ExitCode::SUCCESS
        }
        ChangeState::Stored => {
            println!("revision {} is stored, not yet in force", answer.revision);
            for member in &answer.unconfirmed {
                println!(
                    "  {}: {} (at most {} s)",
                    member.instance, member.reason, member.at_most_s
                );
            }
            ExitCode::from(EXIT_STORED)
        }
        ChangeState::Refused => {
            println!("refused: {}", answer.reason);
            ExitCode::from(EXIT_REFUSED)
        }
        ChangeState::Unknown | ChangeState::Unspecified => {
            println!("not known whether it was stored: {}", answer.reason);
            ExitCode::from(EXIT_UNKNOWN)
        }
    }
}

fn print_status(status: &StatusResponse) {
    println!("instance           {}", status.instance);
    println!("revision           {}", status.revision);
    println!("authority          {}", status.authority);
    println!("proof age          {} ms", status.proof_age_ms);
    println!("data centres out   {}", status.data_centres_out.join(", "));
    println!("store calls        {}", status.store_calls);
    for member in &status.members {
        println!(
            "member             {} in {} at {} ({})",
            member.instance, member.data_centre, member.peer_address, member.state
        );
    }
}
