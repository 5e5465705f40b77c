//! Tests of the parts of the lab, each by its public interface and without processes of balancers.
mod answers;
mod atomic_file;
mod audit;
mod convergence;
mod datagrams;
mod machine;
mod net;
mod oracle;
mod state;
mod stored_play;
