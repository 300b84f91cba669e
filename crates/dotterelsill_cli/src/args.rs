//! Command-line arguments. The doc comments of the fields are the help texts.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use argh::FromArgs;

/// Manages a fleet: its configuration, API keys, data centres, jobs and maintenance.
///
/// Exit code 0: success, a change is in force; 1: refused; 2: usage error, or the
/// instance cannot be reached; 3: stored, but not yet in force; 4: outcome unknown.
#[derive(FromArgs)]
pub(crate) struct Args {
    /// peer address (IP:port) of an entry instance
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7071))")]
    pub(crate) entry: SocketAddr,
    /// address (IP:port) of a planner
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7072))")]
    pub(crate) planner: SocketAddr,
    /// peer address (IP:port) of an instance that accepts jobs
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 7000))")]
    pub(crate) node: SocketAddr,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Top-level subcommands.
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

/// Replaces the configuration of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// configuration file (YAML)
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// print the changes without storing them
    #[argh(switch)]
    pub(crate) dry_run: bool,
}

/// Checks a configuration file without applying it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// configuration file (YAML)
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Excludes a data centre or includes it again.
#[derive(FromArgs)]
#[argh(subcommand, name = "dc")]
pub(crate) struct Dc {
    /// out to exclude the data centre, in to include it again
    #[argh(positional)]
    pub(crate) direction: Direction,
    /// name of the data centre
    #[argh(positional)]
    pub(crate) data_centre: String,
}

/// Whether a data centre is excluded (`out`) or included (`in`).
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

/// Explains the state of an instance or a job.
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

/// Explains which tasks of a job run where, and what the others wait for.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct ExplainJob {
    /// identifier of the job, 16 hexadecimal digits
    #[argh(positional)]
    pub(crate) id: String,
}

/// Submits, inspects and cancels jobs.
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

/// Submits a job and prints its identifier.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct JobSubmit {
    /// job file (YAML) with queue, workspace, spec and steps
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// identifier of the job, to submit it again after an unknown outcome
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

/// Explains why an instance is in its pool and state, or why it waits.
#[derive(FromArgs)]
#[argh(subcommand, name = "instance")]
pub(crate) struct ExplainInstance {
    /// name of the instance
    #[argh(positional)]
    pub(crate) name: String,
}

/// Prints the next actions of the planner and the budget that they use.
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub(crate) struct Plan {}

/// Creates and revokes API keys.
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

/// Creates an API key for a team and prints it once.
#[derive(FromArgs)]
#[argh(subcommand, name = "give")]
pub(crate) struct KeyGive {
    /// name of the team
    #[argh(positional)]
    pub(crate) team: String,
}

/// Revokes an API key.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct KeyWithdraw {
    /// fingerprint of the key, as printed by `status`
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

/// Prints the burn rates of the services' error budgets, as observed by one entry
/// instance since its start.
#[derive(FromArgs)]
#[argh(subcommand, name = "burn")]
pub(crate) struct ReportBurn {
    /// file to write the report to as an SVG image
    #[argh(option)]
    pub(crate) svg: Option<PathBuf>,
}

/// Prints the status of an entry instance: revision, proof age, members, credits and
/// keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}
