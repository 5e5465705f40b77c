//! Cluster information of a proxy: waiting for the first configuration, and rejection of outdated updates. The tokio clock
//! is paused, so that it advances only by timeouts.
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
async fn a_waiting_request_continues_when_a_configuration_arrives() -> Result<()> {
    let cluster = Arc::new(ClusterWatch::new());
    let waiting = tokio::spawn({
        let cluster = cluster.clone();
        async move { cluster.wait_for_configuration(TIMEOUT).await }
    });
    tokio::task::yield_now().await;
    let start = Instant::now();
    cluster.update_configuration(configuration());
    let info = waiting.await.or_fail()?;
    expect_that!(info.configuration.is_some(), eq(true));
    expect_that!(start.elapsed(), eq(Duration::ZERO));
    Ok(())
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn waiting_for_a_configuration_ends_at_the_timeout() {
    let cluster = ClusterWatch::new();
    let start = Instant::now();
    let info = cluster.wait_for_configuration(TIMEOUT).await;
    expect_that!(info.configuration.is_none(), eq(true));
    expect_that!(
        start.elapsed(),
        all!(ge(TIMEOUT), le(TIMEOUT + Duration::from_millis(5)))
    );
}

#[googletest::test]
#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_with_a_configuration() {
    let cluster = ClusterWatch::new();
    cluster.update_configuration(configuration());
    let start = Instant::now();
    expect_that!(
        cluster
            .wait_for_configuration(TIMEOUT)
            .await
            .configuration
            .is_some(),
        eq(true)
    );
    expect_that!(start.elapsed(), eq(Duration::ZERO));
}

#[googletest::test]
fn older_configurations_and_feeds_are_ignored() {
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
    // A feed update does not change the configuration.
    expect_that!(
        cluster
            .current()
            .configuration
            .as_ref()
            .map(|found| found.version),
        some(eq(3))
    );
}
