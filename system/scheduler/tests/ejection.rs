//! Workers that fail what they run are left alone, and the log says so once for many.
mod common;

use common::{step, Story};
use googletest::prelude::*;
use magpiegap_protocol::{Command, CompletionKind, RunCompletion};
use std::collections::BTreeMap;

const WORKERS: [&str; 7] = ["w1", "w2", "w3", "w4", "w5", "w6", "w7"];

/// Lets a job for each worker fail there, all in the same moment.
fn fail_everywhere(story: &mut Story, round: u64, last_seen: &mut BTreeMap<String, u64>) {
    for number in 0..WORKERS.len() as u64 {
        story.submit(100 * round + number, vec![step(1, 4000)]);
    }
    for start in story.starts() {
        story.reply(&start, story.done());
        let magpiegap_scheduler::WorkerOrder::Start { task, run, .. } = start.order else {
            continue;
        };
        let seen = last_seen.entry(start.incarnation.clone()).or_default();
        *seen += 1;
        let ends = vec![RunCompletion {
            task,
            run,
            kind: CompletionKind::Failed,
            checkpoint: String::new(),
        }];
        story.commit(Command::RecordCompletions {
            incarnation: start.incarnation,
            last_seen: *seen,
            ends,
        });
        // Its job is not tried again elsewhere.
        story.commit(Command::CancelJob { job: task.job });
    }
}

#[googletest::test]
fn given_many_workers_that_fail_all_they_run_when_they_are_left_alone_then_one_line_says_so() {
    let mut story = Story::new(&WORKERS);
    let mut last_seen = BTreeMap::new();
    for round in 1..12 {
        fail_everywhere(&mut story, round, &mut last_seen);
    }
    story.pass(60);
    let lines: Vec<&String> = story
        .logs
        .iter()
        .filter(|line| line.contains("left alone"))
        .collect();
    expect_that!(lines.len(), eq(1));
    expect_that!(
        lines[0],
        contains_substring("w1, w2, w3, w4, w5 and 2 more")
    );
}
