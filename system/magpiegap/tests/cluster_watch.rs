//! What a proxy does until it knows a configuration. The clock stands still but for what is waited for.
use googletest::prelude::*;
use magpiegap::cluster_watch::ClusterWatch;
use magpiegap_jobs::Configuration;
use magpiegap_protocol::{Feed, ViewNumber};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(900);
const CONFIGURATION: &str = r#"{"version":1,"routes":[],"services":[],
    "limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}}"#;

fn configuration() -> Arc<Configuration> {
    Arc::new(Configuration::parse(CONFIGURATION.as_bytes()).unwrap_or_default())
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_no_configuration_when_one_comes_then_a_request_that_waits_goes_on_with_it(
) -> Result<()> {
    let cluster = Arc::new(ClusterWatch::new());
    let waiting = tokio::spawn({
        let cluster = cluster.clone();
        async move { cluster.wait_for_configuration(TIMEOUT).await }
    });
    tokio::task::yield_now().await;
    let before = Instant::now();
    cluster.update_configuration(configuration());
    let known = waiting.await.or_fail()?;
    expect_that!(known.configuration.is_some(), eq(true));
    expect_that!(before.elapsed(), eq(Duration::ZERO));
    Ok(())
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_no_configuration_when_none_comes_then_a_request_waits_no_longer_than_it_may() {
    let cluster = ClusterWatch::new();
    let before = Instant::now();
    let known = cluster.wait_for_configuration(TIMEOUT).await;
    expect_that!(known.configuration.is_none(), eq(true));
    expect_that!(
        before.elapsed(),
        all!(ge(TIMEOUT), le(TIMEOUT + Duration::from_millis(5)))
    );
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn given_a_configuration_when_a_request_comes_then_it_does_not_wait() {
    let cluster = ClusterWatch::new();
    cluster.update_configuration(configuration());
    let before = Instant::now();
    expect_that!(
        cluster
            .wait_for_configuration(TIMEOUT)
            .await
            .configuration
            .is_some(),
        eq(true)
    );
    expect_that!(before.elapsed(), eq(Duration::ZERO));
}

#[googletest::test]
fn given_a_newer_configuration_when_an_older_one_or_an_older_feed_comes_then_it_is_ignored() {
    let cluster = ClusterWatch::new();
    let newer = Configuration {
        version: 3,
        ..Configuration::default()
    };
    cluster.update_configuration(Arc::new(newer));
    cluster.update_configuration(configuration());
    expect_that!(
        cluster
            .current()
            .configuration
            .as_ref()
            .map(|found| found.version),
        some(eq(3))
    );
    expect_that!(
        cluster.update_feed(Feed {
            view: ViewNumber(4),
            revision: 7,
            ..Feed::default()
        }),
        eq(true)
    );
    expect_that!(
        cluster.update_feed(Feed {
            view: ViewNumber(3),
            revision: 8,
            ..Feed::default()
        }),
        eq(false)
    );
    expect_that!(cluster.current().feed.revision, eq(7));
    // A feed leaves the configuration in force.
    expect_that!(
        cluster
            .current()
            .configuration
            .as_ref()
            .map(|found| found.version),
        some(eq(3))
    );
}
