//! Arguments of the command line.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use argh::FromArgs;

/// Operates a fleet: configuration, keys and data centres.
///
/// Exit code 0: done, a change is in force; 1: refused; 2: usage, or an entry
/// instance cannot be reached; 3: stored, not yet in force; 4: not known.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// socket address of an entry instance's peer port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7071))")]
    pub(crate) entry: SocketAddr,
    /// socket address of a planner
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7072))")]
    pub(crate) planner: SocketAddr,
    /// socket address of the peer port of an instance that takes jobs
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7000))")]
    pub(crate) node: SocketAddr,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Subcommands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(Apply),
    Check(Check),
    Dc(Dc),
    Explain(Explain),
    Job(Job),
    Key(Key),
    Plan(Plan),
    Report(Report),
    Status(Status),
}

/// Replaces the operators' text.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// file with the operators' text
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// print what would change and store nothing
    #[argh(switch)]
    pub(crate) dry_run: bool,
}

/// Checks a text without applying it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// file with the operators' text
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Takes a data centre out or brings it back.
#[derive(FromArgs)]
#[argh(subcommand, name = "dc")]
pub(crate) struct Dc {
    /// out or in
    #[argh(positional)]
    pub(crate) direction: Direction,
    /// name of the data centre
    #[argh(positional)]
    pub(crate) data_centre: String,
}

/// Whether a data centre is taken out or brought back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Direction {
    Out,
    In,
}

impl std::str::FromStr for Direction {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "out" => Ok(Self::Out),
            "in" => Ok(Self::In),
            _ => Err(format!("{text:?} is neither out nor in")),
        }
    }
}

/// Tells why something is where it is, or why it waits.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    #[argh(subcommand)]
    pub(crate) command: ExplainCommand,
}

/// Subcommands of `explain`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ExplainCommand {
    Instance(ExplainInstance),
    Job(ExplainJob),
}

/// Tells which tasks of a job run where, and what the others wait for.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct ExplainJob {
    /// identifier of the job, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) id: String,
}

/// Hands in jobs and follows them.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Job {
    #[argh(subcommand)]
    pub(crate) command: JobCommand,
}

/// Subcommands of `job`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobCommand {
    Cancel(JobCancel),
    Pending(JobPending),
    Status(JobStatus),
    Submit(JobSubmit),
}

/// Hands in a job and prints its identifier.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct JobSubmit {
    /// file with the job: queue, workspace, spec and steps
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// identifier of the job, to hand it in again after an unknown outcome
    #[argh(option)]
    pub(crate) id: Option<String>,
}

/// Prints the state of a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct JobStatus {
    /// identifier of the job, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) id: String,
}

/// Cancels a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct JobCancel {
    /// identifier of the job, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) id: String,
}

/// Prints how many jobs of a queue have not begun.
#[derive(FromArgs)]
#[argh(subcommand, name = "pending")]
pub(crate) struct JobPending {
    /// name of the queue
    #[argh(positional)]
    pub(crate) name: String,
}

/// Tells why an instance is in its pool and state, or why it waits.
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct ExplainInstance {
    /// name of the instance
    #[argh(positional)]
    pub(crate) name: String,
}

/// Prints what the planner does next and which budget it takes.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(crate) struct Plan {}

/// Gives and withdraws keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct Key {
    #[argh(subcommand)]
    pub(crate) command: KeyCommand,
}

/// Subcommands of `key`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    Give(KeyGive),
    Withdraw(KeyWithdraw),
}

/// Makes a key for a team and prints it once.
#[derive(FromArgs)]
#[argh(subcommand, name = "give")]
pub(crate) struct KeyGive {
    /// name of the team
    #[argh(positional)]
    pub(crate) team: String,
}

/// Withdraws a key.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct KeyWithdraw {
    /// fingerprint of the key as `status` prints it
    #[argh(positional)]
    pub(crate) fingerprint: String,
}

/// Prints a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub(crate) struct Report {
    #[argh(subcommand)]
    pub(crate) command: ReportCommand,
}

/// Subcommands of `report`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ReportCommand {
    Burn(ReportBurn),
}

/// Prints how fast services use up their error budgets, as one entry instance
/// has observed the fleet since its start.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub(crate) struct ReportBurn {
    /// file to write the report to as a picture
    #[argh(option)]
    pub(crate) svg: Option<PathBuf>,
}

/// Prints revision, freshness and registered instances.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}
