//! Calls to the platform for its list of workers. Field names are those of the platform's API.
use crate::json_number::clamped_integer;
use magpiegap_coordinator::PlatformReply;
use magpiegap_protocol::{Availability, Resources, WorkerEntry};
use serde::Deserialize;
use std::{net::SocketAddr, time::Duration};

/// Timeout of a call to the platform.
const TIMEOUT: Duration = Duration::from_millis(1200);

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Page {
    instances: Vec<Instance>,
    #[serde(default)]
    next_page_token: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    id: String,
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    state: String,
    #[serde(default)]
    capacity: Capacity,
    #[serde(default)]
    labels: Vec<String>,
    #[serde(default)]
    remaining_ms: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct Capacity {
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
}

/// Requests the page of the list with the token `page`; `None` requests the first page.
pub(super) async fn list(
    client: reqwest::Client,
    address: SocketAddr,
    page: Option<String>,
) -> PlatformReply {
    let mut url = format!("http://{address}/instances");
    if let Some(page) = page {
        url.push_str("?pageToken=");
        url.push_str(&percent_encode(&page));
    }
    let Ok(response) = client.get(url).timeout(TIMEOUT).send().await else {
        return PlatformReply::Failed;
    };
    let status = response.status().as_u16();
    let Ok(body) = response.bytes().await else {
        return PlatformReply::Failed;
    };
    match status {
        200 => match serde_json::from_slice::<Page>(&body) {
            Ok(page) => PlatformReply::Page {
                workers: page.instances.into_iter().map(worker_entry).collect(),
                next: page.next_page_token.filter(|token| !token.is_empty()),
            },
            Err(error) => {
                log::warn!("cannot decode the platform's list of workers error={error}");
                PlatformReply::Failed
            }
        },
        429 => PlatformReply::RateLimited,
        _ => PlatformReply::Failed,
    }
}

/// Percent-encodes all but the unreserved characters (RFC 3986, section 2.3).
fn percent_encode(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode = |byte: u8| {
        if is_unreserved(byte) {
            char::from(byte).to_string()
        } else {
            format!("%{byte:02X}")
        }
    };
    text.bytes().map(encode).collect()
}

fn worker_entry(instance: Instance) -> WorkerEntry {
    let availability = if instance.state == "draining" {
        Availability::Draining
    } else {
        Availability::Ready
    };
    WorkerEntry {
        incarnation: instance.id,
        service: instance.service,
        address: instance.address,
        zone: instance.zone,
        capacity: Resources {
            cpu: clamped_integer(instance.capacity.cpu),
            memory_mb: clamped_integer(instance.capacity.mem_mb),
            gpu: clamped_integer(instance.capacity.gpu),
        },
        labels: instance.labels,
        availability,
        remaining_ms: instance.remaining_ms.map(clamped_integer),
    }
}
