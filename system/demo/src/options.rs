//! The demo's command line.
use bpaf::Bpaf;
use std::path::PathBuf;

/// Play a small cluster on loopback: hand jobs in, kill a coordinator and a worker, wait for every job.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(parser))]
pub struct Options {
    /// Coordinators
    #[bpaf(long, argument("COUNT"), fallback(3))]
    pub coordinators: u8,
    /// Machines with a proxy and an agent
    #[bpaf(long, argument("COUNT"), fallback(2))]
    pub proxies: u8,
    /// Workers, of eight cores each
    #[bpaf(long, argument("COUNT"), fallback(8))]
    pub workers: u16,
    /// Jobs handed in a second
    #[bpaf(long, argument("RATE"), fallback(4.0))]
    pub jobs_per_s: f64,
    /// Seconds for which jobs are handed in
    #[bpaf(long, argument("SECONDS"), fallback(15))]
    pub seconds: u64,
    /// Kill nothing
    #[bpaf(long)]
    pub calm: bool,
    /// Put the killed coordinator's disk back from a copy that was taken a while before
    #[bpaf(long)]
    pub old_copy: bool,
    /// Where settings, data, logs and the report go; else a new folder for temporary files
    #[bpaf(long, argument("FOLDER"))]
    pub folder: Option<PathBuf>,
}

/// Reads the command line; ends the process where it is wrong or asks for help.
pub fn read() -> Options {
    parser().run()
}
