//! Formats descriptions from coordinators as text tables for operators.
use magpiegap_coordinator::{ClusterDescription, JobList, SchedulerDescription};
use std::fmt::Write;

/// Formats rows as a table; each column is as wide as its longest cell.
fn format_table(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
    };
    let widths: Vec<usize> = (0..count)
        .map(|column| width(column).unwrap_or(0))
        .collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

/// Formats a list of jobs as a table.
pub fn jobs(list: &JobList) -> String {
    let mut rows = vec![row(&[
        "JOB", "STATE", "PRIORITY", "DONE", "RUNNING", "QUEUE",
    ])];
    for job in &list.jobs {
        let done = if job.tasks == 0 {
            "-".to_owned()
        } else {
            format!("{}/{}", job.done, job.tasks)
        };
        let (priority, running) = (job.priority.to_string(), job.running.to_string());
        rows.push(row(&[
            &job.job, &job.state, &priority, &done, &running, &job.queue,
        ]));
    }
    let mut text = format_table(&rows);
    if let Some(next) = &list.next {
        let _ = writeln!(text, "there are more: --after {next}");
    }
    text
}

/// Formats the state of the cluster as a table.
pub fn cluster(cluster: &ClusterDescription) -> String {
    let activity = if cluster.active {
        "at work"
    } else {
        "not in the chain"
    };
    let mut rows = vec![
        row(&[
            "view",
            &format!("{}: chain {}", cluster.view, cluster.chain.join(" > ")),
        ]),
        row(&["voters", &cluster.voters.to_string()]),
        row(&["this one", activity]),
        row(&["committed", &format!("entry {}", cluster.committed)]),
        row(&["configuration", &cluster.configuration.to_string()]),
        row(&[
            "jobs",
            &format!("{} open, {} kept", cluster.open_jobs, cluster.jobs),
        ]),
    ];
    for role in &cluster.roles {
        rows.push(row(&[
            "role",
            &format!(
                "{} held by {} with token {}",
                role.role, role.holder, role.token
            ),
        ]));
    }
    for SchedulerDescription { service, summary } in &cluster.schedulers {
        let summary = format!(
            "{service}: {} workers ({} silent), {} runs, {} waiting",
            summary.workers, summary.unresponsive, summary.runs, summary.queued
        );
        rows.push(row(&["scheduler", &summary]));
    }
    format_table(&rows)
}
