//! No orphans: a helper process that outlives the lab by a moment and kills what the lab had started.
//!
//! The lab tells it of each child on a pipe. When the pipe ends, however the lab died, whatever is still on its list
//! is killed.
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
    /// When the program can't be started.
    pub fn start(program: &Path) -> Result<Guard, FileError> {
        let mut command = Command::new(program);
        // A group of its own, so that an interrupt at the terminal leaves it to its duty.
        command.arg("guard").stdin(Stdio::piped()).process_group(0);
        let mut child = command.spawn().map_err(FileError::at(program))?;
        let end = child.stdin.take();
        Ok(Guard(Arc::new(Mutex::new(Pipe { end, child }))))
    }

    fn tell(&self, line: String) {
        if let Some(end) = &mut lock(&self.0).end {
            // Without its helper the lab still ends its children itself, unless it is killed.
            let _ = end.write_all(line.as_bytes());
        }
    }

    /// A child has started.
    pub fn watch(&self, pid: i32) {
        self.tell(format!("+{pid}\n"));
    }

    /// A child has ended and been waited for.
    pub fn forget(&self, pid: i32) {
        self.tell(format!("-{pid}\n"));
    }
}

impl Drop for Pipe {
    fn drop(&mut self) {
        self.end = None;
        // It ends with its pipe.
        let _ = self.child.wait();
    }
}

/// The helper's own part: reads until the lab is gone, then kills what it has left.
pub fn stand_guard(input: impl BufRead) {
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
        // It may be gone by now.
        let _ = kill(Pid::from_raw(pid), Signal::SIGKILL);
    }
}
