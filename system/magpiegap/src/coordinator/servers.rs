//! The HTTP servers of a coordinator: one for agents and proxies, one for the operator.
use super::{
    control_plane::ControlPlaneHandler, events::RequestHandle, request_server::RequestHandler,
};
use crate::{
    error::ProgramError,
    serving::{self, RunningServer, ServerSettings},
    settings::NodeSettings,
};
use rocket::http::Method;
use std::net::{IpAddr, SocketAddr};

/// The HTTP servers of a coordinator.
pub(super) struct Servers {
    requests: RunningServer,
    /// Present only if `listen.controlPlane` is set.
    control_plane: Option<RunningServer>,
}

impl Servers {
    /// Starts the servers.
    ///
    /// # Errors
    /// When a server can't listen on its address.
    pub(super) async fn start(
        settings: &NodeSettings,
        handle: RequestHandle,
    ) -> Result<Servers, ProgramError> {
        Ok(Servers {
            requests: start_request_server(settings, handle.clone()).await?,
            control_plane: start_control_plane(settings, handle).await?,
        })
    }

    /// Stops accepting requests, and waits up to the grace period for those in flight.
    pub(super) async fn shut_down(self) {
        self.requests.shut_down().await;
        if let Some(server) = self.control_plane {
            server.shut_down().await;
        }
    }
}

async fn start_request_server(
    settings: &NodeSettings,
    handle: RequestHandle,
) -> Result<RunningServer, ProgramError> {
    let address = SocketAddr::new(IpAddr::V4(settings.ip), settings.request_port());
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let handler = RequestHandler::new(handle);
    serving::start(serving::server(server, &[Method::Post], handler)).await
}

async fn start_control_plane(
    settings: &NodeSettings,
    handle: RequestHandle,
) -> Result<Option<RunningServer>, ProgramError> {
    let Some(address) = settings.listen.control_plane else {
        return Ok(None);
    };
    let server = ServerSettings {
        address,
        keep_alive_s: 15,
        grace_s: 1,
    };
    let handler = ControlPlaneHandler::new(handle, address.port());
    let server = serving::server(server, &[Method::Get, Method::Post], handler);
    serving::start(server).await.map(Some)
}
