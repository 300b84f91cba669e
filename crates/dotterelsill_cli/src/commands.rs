//! What each command does.

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

/// A command failed.
#[derive(Debug, Snafu)]
pub(crate) enum CommandError {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display(
        "{text:?} is no fingerprint: {source}; copy one that `dotterelsill status` prints"
    ))]
    Fingerprint {
        text: String,
        source: hex::FromHexError,
    },
    #[snafu(display("{source}"))]
    Job { source: JobError },
    #[snafu(display("planner: {}; name another one with --planner", source.message()))]
    Planner {
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
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
        Command::Apply(apply) => run_apply(&mut client, &apply).await,
        Command::Check(check) => run_check(&check.file),
        Command::Dc(dc) => {
            let request = SetDataCentreRequest {
                write_id: new_write_id(),
                data_centre: dc.data_centre,
                out: dc.direction == Direction::Out,
            };
            let answer = client.set_data_centre(request).await.context(CallSnafu)?;
            Ok(print::change(&answer.into_inner()))
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
                let answer = planner.explain(request).await.context(PlannerSnafu)?;
                print::out(&answer.into_inner().text);
                Ok(ExitCode::SUCCESS)
            }
        },
        Command::Job(job) => jobs::run(args.node, job.command, tasks)
            .await
            .context(JobSnafu),
        Command::Plan(_) => {
            let mut planner = connect_planner(args.planner, tasks);
            let answer = planner.plan(PlanRequest {}).await.context(PlannerSnafu)?;
            print::out(&answer.into_inner().text);
            Ok(ExitCode::SUCCESS)
        }
        Command::Key(key) => match key.command {
            KeyCommand::Give(give) => run_key_give(&mut client, give.team).await,
            KeyCommand::Withdraw(withdraw) => {
                let request = WithdrawKeyRequest {
                    write_id: new_write_id(),
                    fingerprint: fingerprint(&withdraw.fingerprint)?,
                };
                let answer = client.withdraw_key(request).await.context(CallSnafu)?;
                Ok(print::change(&answer.into_inner()))
            }
        },
        Command::Report(report) => match report.command {
            ReportCommand::Burn(burn) => run_burn(&mut client, &burn).await,
        },
        Command::Status(_) => {
            let answer = client.status(StatusRequest {}).await.context(CallSnafu)?;
            print::status(&answer.into_inner());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn read(path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path).context(FileSnafu { path })
}

/// Checks a text and prints its findings; `None` when it is refused.
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
    let Some(checked) = check(file, &read(file)?) else {
        return Ok(ExitCode::from(EXIT_REFUSED));
    };
    print::out(&explain(&checked));
    Ok(ExitCode::SUCCESS)
}

async fn run_apply(client: &mut Client, apply: &Apply) -> Result<ExitCode, CommandError> {
    let text = read(&apply.file)?;
    let Some(checked) = check(&apply.file, &text) else {
        return Ok(ExitCode::from(EXIT_REFUSED));
    };
    if apply.dry_run {
        return run_dry(client, &checked).await;
    }
    let request = ApplyRequest {
        write_id: new_write_id(),
        text,
    };
    let answer = client.apply(request).await.context(CallSnafu)?;
    Ok(print::change(&answer.into_inner()))
}

async fn run_dry(client: &mut Client, new: &CheckedFleet) -> Result<ExitCode, CommandError> {
    let answer = client.text(TextRequest {}).await.context(CallSnafu)?;
    let in_force = answer.into_inner();
    match parse(&in_force.text) {
        Ok(old) => {
            outln!("changes to revision {}:", in_force.revision);
            print::out(&diff_text(&diff(&old, new)));
        }
        Err(_) => outln!("no text is in force; everything is new"),
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
    let answer = client.give_key(request).await.context(CallSnafu)?;
    let answer = answer.into_inner();
    if answer.state() != ChangeState::Refused {
        outln!("key: {key}");
        outln!("fingerprint: {}", hex::encode(&Sha256::digest(&key)[..8]));
    }
    Ok(print::change(&answer))
}

async fn run_burn(client: &mut Client, burn: &ReportBurn) -> Result<ExitCode, CommandError> {
    let answer = client.burn(BurnRequest {}).await.context(CallSnafu)?;
    let report = answer.into_inner();
    print::out(&report.text);
    if let Some(path) = &burn.svg {
        fs::write(path, report.svg).context(FileSnafu { path })?;
    }
    Ok(ExitCode::SUCCESS)
}

fn fingerprint(text: &str) -> Result<Vec<u8>, CommandError> {
    hex::decode(text).context(FingerprintSnafu { text })
}

fn new_write_id() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
