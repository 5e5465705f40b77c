//! A helper process that kills the lab's child processes if the lab dies.
//!
//! The lab writes the start and the exit of each child to a pipe. When the pipe is closed, which also happens if the
//! lab is killed, the helper kills the children that are still running.
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::io::{BufRead, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};

use crate::error::FileError;
use crate::net::lock;

/// The lab's end of the pipe.
#[derive(Clone)]
pub struct Guard(Arc<Mutex<Pipe>>);

struct Pipe {
    end: Option<ChildStdin>,
    child: Child,
}

impl Guard {
    /// Starts the helper: this program with the verb `guard`.
    ///
    /// # Errors
    /// Fails if the program can't be started.
    pub fn start(program: &Path) -> Result<Guard, FileError> {
        let mut command = Command::new(program);
        // A separate process group, so that an interrupt at the terminal does not reach the helper.
        command.arg("guard").stdin(Stdio::piped()).process_group(0);
        let mut child = command.spawn().map_err(FileError::at(program))?;
        let end = child.stdin.take();
        Ok(Guard(Arc::new(Mutex::new(Pipe { end, child }))))
    }

    fn write_line(&self, line: String) {
        if let Some(end) = &mut lock(&self.0).end {
            // Without the helper the lab still ends its children, unless it is killed.
            let _ = end.write_all(line.as_bytes());
        }
    }

    /// Records that a child has started.
    pub fn watch(&self, pid: i32) {
        self.write_line(format!("+{pid}\n"));
    }

    /// Records that a child has exited and been waited for.
    pub fn forget(&self, pid: i32) {
        self.write_line(format!("-{pid}\n"));
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.end = None;
        // The helper exits when the pipe is closed.
        let _ = self.child.wait();
    }
}

/// Runs the helper: reads until the pipe is closed, then kills the children that are still running.
pub fn run_guard(input: impl BufRead) {
    let mut alive = BTreeSet::new();
    for line in input.lines().map_while(Result::ok) {
        match (
            line.get(..1),
            line.get(1..).and_then(|pid| pid.parse::<i32>().ok()),
        ) {
            (Some("+"), Some(pid)) if pid > 1 => {
                alive.insert(pid);
            }
            (Some("-"), Some(pid)) => {
                alive.remove(&pid);
            }
            _ => {}
        }
    }
    for pid in alive {
        // The child may have exited in the meantime.
        let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
    }
}
