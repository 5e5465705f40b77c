//! A scheduler that a worker refuses for a higher token gives its role up at once.
mod common;

use common::{step, Story};
use googletest::prelude::*;
use magpiegap_protocol::WallMillis;
use magpiegap_scheduler::{RefusalReason, WorkerReply};

fn refused(story: &Story) -> WorkerReply {
    WorkerReply::Refused {
        clock_ms: Some(story.clock()),
        reason: RefusalReason::RoleToken,
    }
}

#[googletest::test]
fn given_a_worker_that_has_seen_a_higher_token_when_it_refuses_a_start_then_nothing_more_is_called()
{
    // Given
    let mut story = Story::new(&["w1", "w2"]);
    story.submit(1, vec![step(1, 1000)]);
    let starts = story.starts();
    expect_that!(starts.len(), eq(1));
    // When
    let reply = refused(&story);
    story.reply(&starts[0], reply);
    // Then: not to any worker, and not for what comes later
    expect_that!(story.scheduler.is_deposed(), eq(true));
    story.take_calls();
    story.submit(2, vec![step(1, 1000)]);
    for _ in 0..40 {
        story.pass(100);
    }
    expect_that!(story.take_calls(), is_empty());
}

#[googletest::test]
fn given_calls_that_were_not_handed_on_when_a_start_is_refused_for_a_higher_token_then_they_are_dropped(
) {
    let mut story = Story::new(&["w1"]);
    story.submit(1, vec![step(1, 1000)]);
    let starts = story.starts();
    expect_that!(starts.len(), eq(1));
    // The scheduler has decided more by the time that the refusal comes.
    story.submit(2, vec![step(1, 1000)]);
    story.take_calls();
    story.now += 2000;
    story
        .scheduler
        .run(story.now, WallMillis(story.now), &story.state);
    let reply = refused(&story);
    story.reply(&starts[0], reply);
    let orders = story.scheduler.poll_outputs();
    expect_that!(orders.len(), eq(1), "only a line for the log: {orders:?}");
}
