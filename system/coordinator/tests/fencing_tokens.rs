//! Coordinators accept or reject inputs by whether their fencing token is older, equal or newer than the known one.
mod common;

use common::{worker, CoordinatorFixture, SERVICE};
use googletest::prelude::*;
use magpiegap_protocol::{FencingToken, PeerMessage, Role, WorkerList};
use magpiegap_scheduler::{RefusalReason, WorkerReply};

fn scheduler_role() -> Role {
    Role::Scheduler(SERVICE.to_owned())
}

#[googletest::test]
fn worker_list_requires_newer_token_or_sequence() {
    for (token_offset, sequence_offset, is_installed) in [
        (-1, 100, false),
        (0, -1, false),
        (0, 0, false),
        (0, 1, true),
        (1, -1, true),
        (1, 0, true),
    ] {
        // Given: the coordinator has read a first list itself and then received a list with a newer token
        let mut fixture = CoordinatorFixture::new();
        expect_that!(fixture.known_workers(), eq(1));
        let token = fixture.token(&Role::PlatformReader);
        let worker_list = |token, sequence, names: &[&str]| WorkerList {
            token,
            sequence,
            workers: names.iter().map(|name| worker(name)).collect(),
        };
        let known_token = FencingToken(token.0 + 5);
        fixture.handle_message(PeerMessage::WorkerList(worker_list(
            known_token,
            50,
            &["w1", "w2"],
        )));
        expect_that!(fixture.known_workers(), eq(2));
        // When: it receives another list
        let other_token = FencingToken(known_token.0.saturating_add_signed(token_offset));
        let sequence = 50_u64.saturating_add_signed(sequence_offset);
        let names = ["w1", "w2", "w3"];
        fixture.handle_message(PeerMessage::WorkerList(worker_list(
            other_token,
            sequence,
            &names,
        )));
        // Then: it installs the list only if that is newer
        let workers = if is_installed { 3 } else { 2 };
        expect_that!(
            fixture.known_workers(),
            eq(workers),
            "{token_offset} {sequence_offset}"
        );
    }
}

#[googletest::test]
fn replies_with_other_tokens_are_ignored() {
    for (token_offset, is_handled) in [(-1, false), (0, true), (1, false)] {
        // Given: the scheduler has sent a call to the worker
        let mut fixture = CoordinatorFixture::new();
        let token = fixture.token(&scheduler_role());
        let sent = fixture.calls.remove(0);
        expect_that!(sent.token, eq(token));
        // When: the worker rejects the call because it has seen a higher token
        let rejected = WorkerReply::Refused {
            clock_ms: None,
            reason: RefusalReason::StaleToken,
        };
        let reply_token = FencingToken(token.0.saturating_add_signed(token_offset));
        fixture.handle_worker_reply(reply_token, sent.call.id, rejected);
        fixture.advance(500);
        // Then: the role is claimed again only if the reply belongs to the current scheduler
        let new_claims = fixture.token(&scheduler_role()).0 - token.0;
        expect_that!(new_claims, eq(u64::from(is_handled)), "{token_offset}");
    }
}
