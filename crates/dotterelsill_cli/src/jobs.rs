//! Subcommands on jobs, which call the instance that holds the scheduler role.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    process::ExitCode, //
};

use dotterelsill_proto::jobs::{
    scheduler_client::SchedulerClient,
    CancelRequest,
    ExplainRequest,
    JobRecord,
    Outcome,
    PendingRequest,
    Phase,
    Room,
    StateRequest,
    Step,
    SubmitRequest,
    WhereRequest, //
};
use dotterelsill_rpc::{
    Channel,
    Tasks, //
};
use serde::Deserialize;
use snafu::{
    OptionExt as _,
    ResultExt as _,
    Snafu, //
};

use crate::{
    args::{
        JobCommand,
        JobSubmit, //
    },
    client::{
        connect_node,
        connect_scheduler, //
    },
    print::{
        outln,
        EXIT_REFUSED,
        EXIT_UNKNOWN, //
    }, //
};

/// Format version of a submitted job record.
const FORMAT: u32 = 1;

/// Error of a command on a job.
#[derive(Debug, Snafu)]
pub(crate) enum JobError {
    #[snafu(display("{}: {source}", path.display()))]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("{}: {source}", path.display()))]
    Text {
        path: PathBuf,
        #[snafu(source(from(serde_saphyr::Error, Box::new)))]
        source: Box<serde_saphyr::Error>,
    },
    #[snafu(display("{text:?} is not a job identifier; write 16 hexadecimal digits"))]
    Id { text: String },
    #[snafu(display("no instance holds the scheduler role; try again in a second"))]
    NoScheduler,
    #[snafu(display("{text:?} is not a socket address: {source}"))]
    Address {
        text: String,
        source: std::net::AddrParseError,
    },
    #[snafu(display("{}; specify another instance with --node", source.message()))]
    Call {
        #[snafu(source(from(tonic::Status, Box::new)))]
        source: Box<tonic::Status>,
    },
}

/// Contents of a job file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct JobText {
    queue: String,
    #[serde(default)]
    workspace: String,
    #[serde(default)]
    spec: String,
    steps: Vec<StepText>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StepText {
    count: u32,
    #[serde(default)]
    cpu_milli: u64,
    #[serde(default)]
    memory_mb: u64,
    #[serde(default)]
    accelerators: u64,
    #[serde(default)]
    estimated_ms: u32,
    #[serde(default)]
    after: Vec<u32>,
    #[serde(default)]
    lasting: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    max_per_worker: u32,
    #[serde(default)]
    may_miss: u32,
}

impl From<JobText> for JobRecord {
    fn from(text: JobText) -> Self {
        let step = |step: StepText| Step {
            count: step.count,
            room: Some(Room {
                cpu_milli: step.cpu_milli,
                memory_mb: step.memory_mb,
                accelerators: step.accelerators,
            }),
            estimated_ms: step.estimated_ms,
            after: step.after,
            is_lasting: step.lasting,
            is_gang: step.gang,
            max_per_worker: step.max_per_worker,
            may_miss: step.may_miss,
            ..Step::default()
        };
        Self {
            format: FORMAT,
            queue: text.queue,
            workspace: text.workspace,
            spec: text.spec,
            steps: text.steps.into_iter().map(step).collect(),
            ..Self::default()
        }
    }
}

/// Runs a command on a job. `node` may be any instance that accepts jobs.
pub(crate) async fn run(
    node: SocketAddr,
    command: JobCommand,
    tasks: &Tasks,
) -> Result<ExitCode, JobError> {
    // The file is validated before any call.
    let record = match &command {
        JobCommand::Submit(submit) => Some(read_job(submit)?),
        _ => None,
    };
    let mut client = scheduler(node, tasks).await?;
    match command {
        JobCommand::Submit(submit) => {
            let job = match &submit.id {
                Some(text) => parse_id(text)?,
                None => rand::random(),
            };
            outln!("job: {job:016x}");
            let request = SubmitRequest { job, record };
            let response = client.submit(request).await.context(CallSnafu)?;
            Ok(print_outcome(response.into_inner().outcome(), "is stored"))
        }
        JobCommand::Status(job) => {
            let request = StateRequest {
                job: parse_id(&job.id)?,
            };
            let response = client.state(request).await.context(CallSnafu)?.into_inner();
            let state = match response.phase() {
                Phase::Open if response.has_begun => "is running",
                Phase::Open => "is queued",
                Phase::Completed => "is completed",
                Phase::Failed => "has failed",
                Phase::Cancelled => "is cancelled",
            };
            Ok(print_outcome(response.outcome(), state))
        }
        JobCommand::Cancel(job) => {
            let request = CancelRequest {
                job: parse_id(&job.id)?,
            };
            let response = client.cancel(request).await.context(CallSnafu)?;
            Ok(print_outcome(
                response.into_inner().outcome(),
                "is cancelled, or had ended",
            ))
        }
        JobCommand::Pending(queue) => {
            let request = PendingRequest {
                queue: queue.name,
                ..PendingRequest::default()
            };
            let response = client.pending(request).await.context(CallSnafu)?;
            outln!("{} jobs have not begun", response.into_inner().pending);
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Prints which tasks of a job run, and why the others wait.
pub(crate) async fn explain(
    node: SocketAddr,
    id: &str,
    tasks: &Tasks,
) -> Result<ExitCode, JobError> {
    let request = ExplainRequest { job: parse_id(id)? };
    let mut client = scheduler(node, tasks).await?;
    let response = client.explain(request).await.context(CallSnafu)?;
    let response = response.into_inner();
    if response.outcome() == Outcome::Done {
        crate::print::out(&response.text);
        return Ok(ExitCode::SUCCESS);
    }
    Ok(print_outcome(response.outcome(), ""))
}

fn read_job(submit: &JobSubmit) -> Result<JobRecord, JobError> {
    let path = &submit.file;
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    let job: JobText = serde_saphyr::from_str(&text).context(TextSnafu { path })?;
    Ok(job.into())
}

fn parse_id(text: &str) -> Result<u64, JobError> {
    let id = u64::from_str_radix(text, 16).ok();
    id.filter(|_| text.len() == 16).context(IdSnafu { text })
}

/// Asks an instance which one holds the scheduler role, and returns a client of it.
async fn scheduler(node: SocketAddr, tasks: &Tasks) -> Result<SchedulerClient<Channel>, JobError> {
    let response = connect_node(node, tasks).r#where(WhereRequest {}).await;
    let address = response.context(CallSnafu)?.into_inner().address;
    if address.is_empty() {
        return NoSchedulerSnafu.fail();
    }
    let address = address.parse().context(AddressSnafu { text: &address })?;
    Ok(connect_scheduler(address, tasks))
}

fn print_outcome(outcome: Outcome, done: &str) -> ExitCode {
    match outcome {
        Outcome::Done => {
            outln!("the job {done}");
            ExitCode::SUCCESS
        }
        Outcome::Refused => {
            outln!("refused: nothing was done; try again in a second");
            ExitCode::from(EXIT_REFUSED)
        }
        Outcome::Full => {
            outln!("refused: the jobs of the workspace take all memory for jobs");
            ExitCode::from(EXIT_REFUSED)
        }
        Outcome::Absent => {
            outln!("no such job is known");
            ExitCode::from(EXIT_REFUSED)
        }
        Outcome::Unknown => {
            outln!("the outcome is not known; ask again with the same identifier");
            ExitCode::from(EXIT_UNKNOWN)
        }
    }
}
