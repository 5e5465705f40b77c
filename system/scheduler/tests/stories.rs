//! A scheduler between the log and its workers: what it starts, holds, stops and gives up.
use googletest::prelude::*;
use magpiegap_jobs::{Change, State};
use magpiegap_protocol::{
    Availability, Command, EndKind, Entry, JobId, JobSpec, Member, Position, ProposalId, Replica, Resources,
    RunStart, StepSpec, Submission, TaskId, WorkerEntry,
};
use magpiegap_scheduler::{
    ListedEnd, ListedRun, Listing, Output, RefusalReason, Scheduler, SchedulerSettings, WorkerCall,
    WorkerCounts, WorkerOrder, WorkerReply,
};

const TOKEN: u64 = 5;
/// What the workers' clocks show when ours shows zero.
const WORKER_CLOCK: u64 = 1_000_000;

/// A scheduler with its log, which commits at once.
struct Story {
    now: u64,
    state: State,
    scheduler: Scheduler,
    calls: Vec<WorkerCall>,
    proposed: Vec<Command>,
}

fn worker(name: &str) -> WorkerEntry {
    WorkerEntry {
        instance: name.to_owned(),
        service: "s".to_owned(),
        address: format!("{name}:1"),
        capacity: Resources { cpu: 4000, memory_mb: 4000, gpu: 0 },
        labels: vec!["a".to_owned(), "r1".to_owned()],
        ..WorkerEntry::default()
    }
}

fn step(count: u32, cpu: u64) -> StepSpec {
    StepSpec {
        count,
        resources: Resources { cpu, memory_mb: 10, gpu: 0 },
        estimated_ms: 500,
        ..StepSpec::default()
    }
}

impl Story {
    fn new(workers: &[&str]) -> Story {
        let state = State::default();
        let scheduler = Scheduler::new("s", TOKEN, SchedulerSettings::default(), 1000, &state, 1);
        let mut story = Story { now: 1000, state, scheduler, calls: Vec::new(), proposed: Vec::new() };
        let entries: Vec<WorkerEntry> = workers.iter().map(|name| worker(name)).collect();
        story.scheduler.list(story.now, &story.state, &entries);
        story.pass(10);
        story.greet();
        story
    }

    /// All workers answer their first hold.
    fn greet(&mut self) {
        for call in self.take_calls() {
            self.reply(&call, self.listing(vec![], vec![]));
        }
        self.pass(10);
    }

    fn clock(&self) -> u64 {
        WORKER_CLOCK + self.now
    }

    fn listing(&self, running: Vec<ListedRun>, ended: Vec<ListedEnd>) -> WorkerReply {
        WorkerReply::Done { clock_ms: Some(self.clock()), listing: Some(Listing { running, ended }) }
    }

    fn done(&self) -> WorkerReply {
        WorkerReply::Done { clock_ms: Some(self.clock()), listing: None }
    }

    fn commit(&mut self, command: Command) {
        let index = self.state.position.index + 1;
        let origin = Replica { member: Member { address: 1, disk: 0 }, boot: 1 };
        let entry = Entry {
            position: Position { view: 1, index },
            proposal: ProposalId { origin, sequence: index },
            fence: None,
            command: command.clone(),
            wall_ms: 1_000_000 + self.now,
        };
        let runs: Vec<RunStart> = match &command {
            Command::StartRuns { runs } | Command::SubmitJob { runs, .. } => runs.clone(),
            _ => Vec::new(),
        };
        let applied = self.state.apply(&entry);
        self.scheduler.applied(self.now, entry.position, &self.state, &applied.changes, &runs);
        self.proposed.push(command);
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        for _ in 0..4 {
            self.scheduler.run(self.now, 1_000_000 + self.now, &self.state);
            for output in self.scheduler.take_outputs() {
                match output {
                    Output::Call(call) => self.calls.push(call),
                    Output::Propose(command) => self.commit(command),
                    Output::Log(_) => {}
                }
            }
        }
    }

    fn reply(&mut self, call: &WorkerCall, reply: WorkerReply) {
        self.scheduler.reply(self.now, &self.state, call.id, reply);
    }

    fn take_calls(&mut self) -> Vec<WorkerCall> {
        std::mem::take(&mut self.calls)
    }

    fn submit(&mut self, job: u64, steps: Vec<StepSpec>) {
        self.submit_with_priority(job, 0, steps);
    }

    fn submit_with_priority(&mut self, job: u64, priority: u32, steps: Vec<StepSpec>) {
        let submission = Submission {
            job: JobId(job),
            queue: "q".to_owned(),
            service: "s".to_owned(),
            priority,
            max_attempts: 3,
            stretch: 2.0,
            target_latency_ms: 1000,
            submitted_ms: 1_000_000 + self.now,
            spec: JobSpec { steps, ..JobSpec::default() },
        };
        let command = self.scheduler.submit(self.now, submission);
        self.commit(command);
        self.pass(0);
    }

    fn starts(&mut self) -> Vec<WorkerCall> {
        let (starts, others) =
            self.take_calls().into_iter().partition(|call| matches!(call.order, WorkerOrder::Start { .. }));
        self.calls = others;
        starts
    }

    fn active(&self, task: TaskId) -> Vec<String> {
        let state = self.state.jobs.get(&task.job).and_then(|job| job.task(&task));
        state.map(|task| task.active.iter().map(|run| run.instance.clone()).collect()).unwrap_or_default()
    }
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), time: 0, step: 0, index }
}

#[googletest::test]
fn given_a_worker_with_room_when_a_job_comes_then_its_run_is_in_the_log_before_the_start() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    expect_that!(story.active(task(1, 0)), elements_are![eq("w1")]);
    let starts = story.starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].token, eq(TOKEN));
}

#[googletest::test]
fn given_two_workers_when_tasks_are_placed_then_none_gets_more_than_it_has() {
    let mut story = Story::new(&["w1", "w2"]);
    story.submit(1, vec![step(9, 1000)]);
    let starts = story.starts();
    expect_that!(starts.len(), eq(8));
    let of = |name: &str| starts.iter().filter(|call| call.instance == name).count();
    expect_that!((of("w1"), of("w2")), eq((4, 4)));
}

#[googletest::test]
fn given_an_unanswered_start_when_time_passes_then_the_same_run_is_sent_there_again() {
    let mut story = Story::new(&["w1", "w2"]);
    story.submit(1, vec![step(1, 1000)]);
    let first = story.starts().remove(0);
    story.now += 250;
    story.reply(&first, WorkerReply::Unanswered);
    story.pass(10);
    let again = story.starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].instance, eq(&first.instance));
    expect_that!(story.active(task(1, 0)).len(), eq(1));
}

#[googletest::test]
fn given_an_end_when_it_is_listed_then_it_is_in_the_log_before_the_worker_hears_of_it() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let hold = story.take_calls().into_iter().find(|c| matches!(c.order, WorkerOrder::Hold { .. })).unwrap();
    expect_that!(matches!(hold.order, WorkerOrder::Hold { last_seen: 0, .. }), eq(true));
    let end =
        ListedEnd { number: 1, task: task(1, 0), run: 1, kind: EndKind::Done, checkpoint: String::new() };
    story.reply(&hold, story.listing(vec![], vec![end]));
    story.pass(10);
    expect_that!(story.state.workers["w1"].last_seen, eq(1));
    story.submit(2, vec![step(1, 1000)]);
    let holds = story.take_calls();
    let seen = holds.iter().find_map(|call| match call.order {
        WorkerOrder::Hold { last_seen, .. } => Some(last_seen),
        _ => None,
    });
    expect_that!(seen, some(eq(1)));
}

#[googletest::test]
fn given_a_silent_worker_when_its_hold_may_last_then_its_task_is_started_nowhere_else() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    story.scheduler.list(story.now, &story.state, &[worker("w1"), worker("w2")]);
    story.pass(0);
    let mut lost_after = 0;
    while lost_after == 0 && story.now < 30_000 {
        for call in story.take_calls() {
            let reply =
                if call.instance == "w2" { story.listing(vec![], vec![]) } else { WorkerReply::Unanswered };
            story.reply(&call, reply);
        }
        story.pass(50);
        if story.active(task(1, 0)) != ["w1"] {
            lost_after = story.now;
        }
    }
    // Every hold that was ever sent has run out by then, on a clock that is two hundredths slow.
    let longest = SchedulerSettings::default().max_hold_ms;
    expect_that!(lost_after, gt(2_500));
    expect_that!(lost_after, lt(1000 + longest + longest / 20 + 2000));
    expect_that!(story.active(task(1, 0)), elements_are![eq("w2")]);
}

#[googletest::test]
fn given_a_stuck_run_when_listings_show_no_progress_then_it_is_stopped() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let mut stopped = false;
    while !stopped && story.now < 10_000 {
        for call in story.take_calls() {
            stopped |= matches!(call.order, WorkerOrder::Stop { .. });
            let running = ListedRun { task: task(1, 0), run: 1, checkpoint: String::new(), percent: 40 };
            story.reply(&call, story.listing(vec![running], vec![]));
        }
        story.pass(200);
    }
    expect_that!(stopped, eq(true));
    expect_that!(story.now, gt(1400));
}

#[googletest::test]
fn given_a_scheduler_that_stood_still_when_it_wakes_then_no_run_is_taken_for_stuck() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let hold = story.take_calls().remove(0);
    let running = |percent| ListedRun { task: task(1, 0), run: 1, checkpoint: String::new(), percent };
    story.reply(&hold, story.listing(vec![running(40)], vec![]));
    story.pass(5000);
    let stops =
        story.take_calls().iter().filter(|call| matches!(call.order, WorkerOrder::Stop { .. })).count();
    expect_that!(stops, eq(0));
}

#[googletest::test]
fn given_a_change_of_view_when_the_scheduler_resumes_then_what_it_had_decided_is_dropped() {
    // Given: a listing that lacks a run, just before the view changes
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let hold = story.take_calls().remove(0);
    story.reply(&hold, story.listing(vec![], vec![]));
    story.now += 10;
    let later = story.scheduler.take_outputs();
    drop(later);
    story.pass(10);
    let hold = story.take_calls().pop().unwrap();
    story.reply(&hold, story.listing(vec![], vec![]));
    // When
    story.scheduler.resume(story.now, &story.state);
    // Then
    let lost = story.scheduler.take_outputs();
    expect_that!(lost.iter().filter(|output| matches!(output, Output::Propose(_))).count(), eq(0));
}

#[googletest::test]
fn given_all_workers_left_alone_when_that_ends_then_waiting_tasks_are_placed() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 100)]);
    let start = story.starts().remove(0);
    story.reply(&start, WorkerReply::Unhealthy);
    story.pass(10);
    expect_that!(story.starts(), is_empty());
    story.pass(60_000);
    expect_that!(story.starts(), not(is_empty()));
}

#[googletest::test]
fn given_another_life_at_the_address_when_it_answers_then_the_old_runs_are_lost_at_once() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, WorkerReply::OtherLife);
    story.pass(10);
    expect_that!(story.active(task(1, 0)), is_empty());
}

#[googletest::test]
fn given_no_room_at_the_worker_when_a_start_is_turned_down_then_the_task_waits_again() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, WorkerReply::Refused { clock_ms: Some(story.clock()), reason: RefusalReason::Room });
    story.pass(10);
    let again = story.starts();
    expect_that!(again.len(), eq(1));
    expect_that!(matches!(again[0].order, WorkerOrder::Start { run: 2, .. }), eq(true));
}

#[googletest::test]
fn given_a_cancelled_job_when_its_run_goes_on_then_it_is_stopped() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    story.commit(Command::CancelJob { job: JobId(1) });
    story.pass(10);
    let stops =
        story.take_calls().iter().filter(|call| matches!(call.order, WorkerOrder::Stop { .. })).count();
    expect_that!(stops, eq(1));
}

/// A step of one task that takes this long.
fn timed_step(cpu: u64, estimated_ms: u64) -> StepSpec {
    StepSpec { estimated_ms, ..step(1, cpu) }
}

#[googletest::test]
fn given_a_large_task_that_waits_when_small_ones_come_then_only_those_that_end_before_it_has_room_start() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![timed_step(2000, 1000)]);
    story.submit(2, vec![timed_step(4000, 1000)]);
    story.pass(50);
    story.submit_with_priority(3, 1, vec![timed_step(1000, 3000)]);
    story.submit_with_priority(4, 1, vec![timed_step(1000, 300)]);
    story.pass(50);
    expect_that!(story.active(task(1, 0)), elements_are![eq("w1")]);
    expect_that!(story.active(task(2, 0)), is_empty());
    expect_that!(story.active(task(3, 0)), is_empty());
    expect_that!(story.active(task(4, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn given_a_large_task_that_waits_when_a_more_urgent_one_comes_then_it_is_started_at_once() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![timed_step(2000, 1000)]);
    story.submit_with_priority(2, 1, vec![timed_step(4000, 1000)]);
    story.pass(50);
    story.submit(3, vec![timed_step(1000, 3000)]);
    expect_that!(story.active(task(3, 0)), elements_are![eq("w1")]);
}

#[googletest::test]
fn given_a_large_task_that_waits_when_another_worker_has_room_then_less_urgent_ones_start_there() {
    let mut story = Story::new(&["w1", "w2"]);
    story.submit(1, vec![timed_step(2500, 1000)]);
    story.submit(2, vec![timed_step(2500, 9000)]);
    story.submit(3, vec![timed_step(4000, 1000)]);
    story.pass(50);
    let soon = story.active(task(1, 0));
    let late = story.active(task(2, 0));
    expect_that!(soon, not(container_eq(late.clone())));
    story.submit_with_priority(4, 1, vec![timed_step(1000, 3000)]);
    story.pass(50);
    expect_that!(story.active(task(4, 0)), container_eq(late));
}

/// A hold's wait, in milliseconds.
fn waits(calls: &[WorkerCall]) -> Vec<u64> {
    let wait = |call: &WorkerCall| match call.order {
        WorkerOrder::Hold { wait_ms, .. } => Some(wait_ms),
        _ => None,
    };
    calls.iter().filter_map(wait).collect()
}

#[googletest::test]
fn given_a_run_that_makes_no_progress_when_it_is_listed_then_the_next_listing_comes_soon() {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    let running = ListedRun { task: task(1, 0), run: 1, checkpoint: String::new(), percent: 0 };
    let hold = story.take_calls().remove(0);
    expect_that!(waits(std::slice::from_ref(&hold)), elements_are![ge(&500)]);
    story.pass(200);
    story.reply(&hold, story.listing(vec![running], vec![]));
    story.pass(10);
    expect_that!(waits(&story.take_calls()), elements_are![le(&150)]);
}

#[googletest::test]
fn given_a_hold_whose_answer_is_lost_when_that_is_noticed_then_the_worker_is_looked_at_within_moments() {
    // Given: a worker that has answered at once so far
    let mut story = Story::new(&["w1"]);
    for number in 1..100 {
        story.submit(number, vec![step(1, 1000)]);
        let start = story.starts().remove(0);
        story.reply(&start, story.done());
        story.commit(Command::CancelJob { job: JobId(number) });
        story.commit(Command::LoseInstance { instance: "w1".to_owned(), ended: false });
    }
    story.submit(100, vec![step(1, 1000)]);
    for call in story.take_calls() {
        story.reply(&call, story.done());
    }
    story.pass(10);
    let hold = story.take_calls().remove(0);
    expect_that!(waits(std::slice::from_ref(&hold)), elements_are![ge(&500)]);
    expect_that!(hold.timeout_ms, lt(700));
    // When
    story.pass(hold.timeout_ms);
    story.reply(&hold, WorkerReply::Unanswered);
    story.pass(50);
    // Then
    expect_that!(waits(&story.take_calls()), elements_are![eq(&0)]);
}

#[googletest::test]
fn given_a_job_that_waits_when_it_is_explained_then_each_worker_has_its_reason() {
    // Given: one worker is full, one lacks the label, one is being emptied
    let mut story = Story::new(&["w1"]);
    let labelled = WorkerEntry { labels: vec!["b".to_owned()], ..worker("w2") };
    let draining = WorkerEntry { availability: Availability::Draining, ..worker("w3") };
    story.scheduler.list(story.now, &story.state, &[worker("w1"), labelled, draining]);
    story.pass(10);
    story.greet();
    story.submit(1, vec![StepSpec { requirements: vec!["a".to_owned()], ..step(1, 3000) }]);
    story.submit(2, vec![StepSpec { requirements: vec!["a".to_owned()], ..step(2, 3000) }]);
    story.pass(10);
    // When
    let Some(said) = story.scheduler.explain(&story.state, JobId(2)) else { panic!("no explanation") };
    // Then
    expect_that!(said.state, eq("pending"));
    expect_that!(said.steps.len(), eq(1));
    expect_that!(said.steps[0].waiting, eq(2));
    let counts =
        WorkerCounts { known: 3, without_room: 1, without_label: 1, draining: 1, ..WorkerCounts::default() };
    expect_that!(said.steps[0].workers, some(eq(counts)));
    let Some(running) = story.scheduler.explain(&story.state, JobId(1)) else { panic!("no explanation") };
    expect_that!(running.steps[0].running.len(), eq(1));
    expect_that!(running.steps[0].running[0].worker, eq("w1"));
    expect_that!(story.scheduler.explain(&story.state, JobId(3)), none());
}

#[googletest::test]
fn given_a_scheduler_that_took_up_the_whole_state_when_older_entries_follow_then_no_run_is_taken_for_unsent()
{
    // Given: a run that an earlier holder of the role has started
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let start = story.starts().remove(0);
    story.reply(&start, story.done());
    // When: the next holder begins with the state as it is after a batch of entries, and then hears of each of them
    let mut next = Scheduler::new("s", TOKEN + 1, SchedulerSettings::default(), story.now, &story.state, 2);
    let opened = RunStart { task: task(1, 0), run: 1, instance: "w1".to_owned(), checkpoint: String::new() };
    let change = Change::RunOpened(opened);
    for entry in 1..=story.state.position.index {
        let entry = Position { view: 1, index: entry };
        next.applied(story.now, entry, &story.state, std::slice::from_ref(&change), &[]);
    }
    next.list(story.now, &story.state, &[worker("w1")]);
    let mut lost = 0;
    for _ in 0..20 {
        story.now += 50;
        next.run(story.now, 1_000_000 + story.now, &story.state);
        let outputs = next.take_outputs();
        lost += outputs
            .iter()
            .filter(|output| matches!(output, Output::Propose(Command::LoseRuns { .. })))
            .count();
    }
    // Then
    expect_that!(lost, eq(0));
}
