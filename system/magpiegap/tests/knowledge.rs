//! What a proxy does until it knows a configuration. The clock stands still but for what is waited for.
use googletest::prelude::*;
use magpiegap::feed::Knowledge;
use magpiegap_protocol::Feed;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

const PATIENCE: Duration = Duration::from_millis(900);
const CONFIGURATION: &str = r#"{"version":1,"routes":[],"services":[],
    "limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}}"#;

fn feed() -> Feed {
    Feed {
        revision: 1,
        configuration_version: 1,
        configuration: CONFIGURATION.as_bytes().to_vec(),
        ..Feed::default()
    }
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_no_configuration_when_one_comes_then_a_request_that_waits_goes_on_with_it() -> Result<()> {
    let knowledge = Arc::new(Knowledge::new());
    let waiting = tokio::spawn({
        let knowledge = knowledge.clone();
        async move { knowledge.configured(PATIENCE).await }
    });
    tokio::task::yield_now().await;
    let before = Instant::now();
    knowledge.take(feed());
    let known = waiting.await.or_fail()?;
    expect_that!(known.configuration.is_some(), eq(true));
    expect_that!(before.elapsed(), eq(Duration::ZERO));
    Ok(())
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_no_configuration_when_none_comes_then_a_request_waits_no_longer_than_it_may() {
    let knowledge = Knowledge::new();
    let before = Instant::now();
    let known = knowledge.configured(PATIENCE).await;
    expect_that!(known.configuration.is_none(), eq(true));
    expect_that!(before.elapsed(), all!(ge(PATIENCE), le(PATIENCE + Duration::from_millis(5))));
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_a_configuration_when_a_request_comes_then_it_does_not_wait() {
    let knowledge = Knowledge::new();
    knowledge.take(feed());
    let before = Instant::now();
    expect_that!(knowledge.configured(PATIENCE).await.configuration.is_some(), eq(true));
    expect_that!(before.elapsed(), eq(Duration::ZERO));
}
