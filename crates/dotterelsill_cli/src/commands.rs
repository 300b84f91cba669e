//! Implementation of the subcommands, except those on jobs.

use std::{
    fs,
    io,
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode, //
};

use dotterelsill_config::{
    diff,
    diff_text,
    explain,
    parse,
    CheckedFleet, //
};
use dotterelsill_proto::{
    peer::{
        ApplyRequest,
        BurnRequest,
        ChangeState,
        GiveKeyRequest,
        SetDataCentreRequest,
        StatusRequest,
        TextRequest,
        WithdrawKeyRequest, //
    },
    planner::{
        ExplainRequest,
        PlanRequest, //
    }, //
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
        Apply,
        Args,
        Command,
        Direction,
        ExplainCommand,
        KeyCommand,
        ReportBurn,
        ReportCommand, //
    },
    client::{
        connect,
        connect_planner,
        Client, //
    },
    jobs::{
        self,
        JobError, //
    },
    print::{
        self,
        outln,
        EXIT_REFUSED, //
    }, //
};

/// Error of a command.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display(
        "{text:?} is not a fingerprint: {source}; copy one from the output of `dotterelsill status`"
    ))]
    Fingerprint {
        text: String,
        source: hex::FromHexError,
    },
    #[snafu(display("{source}"))]
    Job { source: JobError },
    #[snafu(display("planner: {}; specify another planner with --planner", source.message()))]
    Planner {
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
    #[snafu(display("entry instance: {}; specify another instance with --entry", source.message()))]
    Call {
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
}

/// Runs a command and returns the exit code.
pub(crate) async fn run(args: Args, tasks: &Tasks) -> Result<ExitCode, CommandError> {
    let mut client = connect(args.entry, tasks);
    match args.command {
        Command::Apply(apply) => run_apply(&mut client, &apply).await,
        Command::Check(check) => run_check(&check.file),
        Command::Dc(dc) => {
            let request = SetDataCentreRequest {
                write_id: new_write_id(),
                data_centre: dc.data_centre,
                out: dc.direction == Direction::Out,
            };
            let response = client.set_data_centre(request).await.context(CallSnafu)?;
            Ok(print::change(&response.into_inner()))
        }
        Command::Explain(explain) => match explain.command {
            ExplainCommand::Job(explain) => jobs::explain(args.node, &explain.id, tasks)
                .await
                .context(JobSnafu),
            ExplainCommand::Instance(explain) => {
                let mut planner = connect_planner(args.planner, tasks);
                let request = ExplainRequest {
                    instance: explain.name,
                };
                let response = planner.explain(request).await.context(PlannerSnafu)?;
                print::out(&response.into_inner().text);
                Ok(ExitCode::SUCCESS)
            }
        },
        Command::Job(job) => jobs::run(args.node, job.command, tasks)
            .await
            .context(JobSnafu),
        Command::Plan(_) => {
            let mut planner = connect_planner(args.planner, tasks);
            let response = planner.plan(PlanRequest {}).await.context(PlannerSnafu)?;
            print::out(&response.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Command::Key(key) => match key.command {
            KeyCommand::Give(give) => run_key_give(&mut client, give.team).await,
            KeyCommand::Withdraw(withdraw) => {
                let request = WithdrawKeyRequest {
                    write_id: new_write_id(),
                    fingerprint: parse_fingerprint(&withdraw.fingerprint)?,
                };
                let response = client.withdraw_key(request).await.context(CallSnafu)?;
                Ok(print::change(&response.into_inner()))
            }
        },
        Command::Report(report) => match report.command {
            ReportCommand::Burn(burn) => run_burn(&mut client, &burn).await,
        },
        Command::Status(_) => {
            let response = client.status(StatusRequest {}).await.context(CallSnafu)?;
            print::status(&response.into_inner());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).context(FileSnafu { path })
}

/// Validates a text and prints its findings. Returns `None` if the text is rejected.
fn check(file: &Path, text: &str) -> Option<CheckedFleet> {
    let name = file.display().to_string();
    match parse(text) {
        Ok(checked) => {
            print::findings(&name, checked.warnings());
            Some(checked)
        }
        Err(findings) => {
            print::findings(&name, &findings);
            None
        }
    }
}

fn run_check(file: &Path) -> Result<ExitCode, CommandError> {
    let Some(checked) = check(file, &read_file(file)?) else {
        return Ok(ExitCode::from(EXIT_REFUSED));
    };
    print::out(&explain(&checked));
    Ok(ExitCode::SUCCESS)
}

async fn run_apply(client: &mut Client, apply: &Apply) -> Result<ExitCode, CommandError> {
    let text = read_file(&apply.file)?;
    let Some(checked) = check(&apply.file, &text) else {
        return Ok(ExitCode::from(EXIT_REFUSED));
    };
    if apply.dry_run {
        return run_dry_run(client, &checked).await;
    }
    let request = ApplyRequest {
        write_id: new_write_id(),
        text,
    };
    let response = client.apply(request).await.context(CallSnafu)?;
    Ok(print::change(&response.into_inner()))
}

async fn run_dry_run(client: &mut Client, new: &CheckedFleet) -> Result<ExitCode, CommandError> {
    let response = client.text(TextRequest {}).await.context(CallSnafu)?;
    let current = response.into_inner();
    match parse(&current.text) {
        Ok(old) => {
            outln!("changes to revision {}:", current.revision);
            print::out(&diff_text(&diff(&old, new)));
        }
        Err(_) => outln!("no valid configuration is in force; all records are new"),
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_key_give(client: &mut Client, team: String) -> Result<ExitCode, CommandError> {
    let key = hex::encode(rand::random::<[u8; 32]>());
    let request = GiveKeyRequest {
        write_id: new_write_id(),
        team,
        sha256: Sha256::digest(&key).to_vec(),
    };
    let response = client.give_key(request).await.context(CallSnafu)?;
    let response = response.into_inner();
    if response.state() != ChangeState::Refused {
        outln!("key: {key}");
        outln!("fingerprint: {}", hex::encode(&Sha256::digest(&key)[..8]));
    }
    Ok(print::change(&response))
}

async fn run_burn(client: &mut Client, burn: &ReportBurn) -> Result<ExitCode, CommandError> {
    let response = client.burn(BurnRequest {}).await.context(CallSnafu)?;
    let report = response.into_inner();
    print::out(&report.text);
    if let Some(path) = &burn.svg {
        fs::write(path, report.svg).context(FileSnafu { path })?;
    }
    Ok(ExitCode::SUCCESS)
}

fn parse_fingerprint(text: &str) -> Result<Vec<u8>, CommandError> {
    hex::decode(text).context(FingerprintSnafu { text })
}

fn new_write_id() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
