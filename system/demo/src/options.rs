//! The demo's command line.
use bpaf::Bpaf;
use std::path::PathBuf;

/// Run a small cluster on loopback: submit jobs, kill a coordinator and a worker, wait for every job
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub struct Options {
    /// Number of coordinators
    #[bpaf(long, argument("COUNT"), fallback(3))]
    pub coordinators: u8,
    /// Number of machines with a proxy and an agent
    #[bpaf(long, argument("COUNT"), fallback(2))]
    pub proxies: u8,
    /// Number of workers, with eight cores each
    #[bpaf(long, argument("COUNT"), fallback(8))]
    pub workers: u16,
    /// Jobs submitted per second
    #[bpaf(long, argument("RATE"), fallback(4.0))]
    pub jobs_per_s: f64,
    /// Duration of the job submissions, in seconds
    #[bpaf(long, argument("SECONDS"), fallback(15))]
    pub seconds: u64,
    /// Inject no faults
    #[bpaf(long)]
    pub calm: bool,
    /// Restart the killed coordinator from an earlier copy of its disk
    #[bpaf(long)]
    pub old_copy: bool,
    /// Folder for settings, data, logs and the report; by default a new temporary folder
    #[bpaf(long, argument("FOLDER"))]
    pub folder: Option<PathBuf>,
}

/// Parses the command line; exits the process if it is invalid or requests help.
pub fn read() -> Options {
    parser().run()
}
