//! The coordinator process under test.
use crate::{DELAY, LONG_TIMEOUT};
use magpiegap::endpoint;
use magpiegap_control::DurableState;
use magpiegap_protocol::{Command, CoordinatorRequest, CoordinatorResponse, RunCompletion};
use magpiegap_storage::{FolderDirectory, Store};
use std::{
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Stdio},
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// The port on which the coordinator listens for requests: the second one of its port range.
const REQUEST_PORT: u16 = 7661;

/// A single coordinator process on its own loopback address, which is killed on drop.
pub(crate) struct Coordinator {
    process: Child,
    requests: SocketAddr,
    folder: PathBuf,
    client: reqwest::Client,
}

impl Drop for Coordinator {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Coordinator {
    /// Starts the process with an empty data folder.
    pub(crate) fn start(platform: SocketAddr) -> Coordinator {
        let number = std::process::id();
        let [.., high, low] = number.to_be_bytes();
        let ip = Ipv4Addr::new(127, 93, high, low.clamp(1, 254));
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("worker-bodies");
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("settings.toml");
        let data = folder.join("data");
        let text = format!(
            "ip = \"{ip}\"\ninternalPortRange = [7660, 7662]\nseeds = [\"{ip}:7660\"]\nbootstrap = true\n\
             dataDir = {data:?}\n[faultTolerance]\nmachines = 0\n[cloud]\naddress = \"{platform}\"\n"
        );
        std::fs::write(&file, text).unwrap();
        let process = std::process::Command::new(env!("CARGO_BIN_EXE_magpiegap"))
            .arg("coordinator")
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let requests = SocketAddr::from((ip, REQUEST_PORT));
        Coordinator {
            process,
            requests,
            folder: data,
            client: endpoint::client(),
        }
    }

    /// Repeats a request until the response is accepted by the predicate.
    pub(crate) async fn request_until(
        &self,
        request: CoordinatorRequest,
        is_accepted: impl Fn(&CoordinatorResponse) -> bool,
    ) -> CoordinatorResponse {
        let deadline = Instant::now() + LONG_TIMEOUT;
        loop {
            let response = endpoint::call(
                &self.client,
                self.requests,
                &request,
                Duration::from_secs(5),
            )
            .await;
            match response {
                Ok(response) if is_accepted(&response) => return response,
                _ => assert!(Instant::now() < deadline, "{request:?}: {response:?}"),
            }
            sleep(DELAY).await;
        }
    }

    /// Repeats a request until the response equals `response`.
    pub(crate) async fn request_until_response(
        &self,
        request: CoordinatorRequest,
        response: CoordinatorResponse,
    ) {
        self.request_until(request, |received| *received == response)
            .await;
    }

    /// Kills the process, and returns all completions in its log on disk.
    pub(crate) fn completions_on_disk(mut self) -> Vec<RunCompletion> {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let (_, recovered) = Store::open(FolderDirectory::new(&self.folder).unwrap()).unwrap();
        let read =
            DurableState::recover(recovered.snapshot.unwrap_or_default(), &recovered.records)
                .unwrap();
        let mut completions = Vec::new();
        for entry in read.entries {
            if let Command::RecordCompletions {
                completions: logged,
                ..
            } = entry.command
            {
                completions.extend(logged);
            }
        }
        completions
    }
}
