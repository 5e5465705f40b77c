//! Tests of the modules of the lab, through their public interfaces and without balancer processes.
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
