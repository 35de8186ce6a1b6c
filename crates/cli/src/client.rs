//! Client of the operator interfaces of control replicas and routers.

use crate::output::CommandError;
use serde::de::DeserializeOwned;
use stackpost_control::views::{EditRequest, EditView};
use stackpost_http::{Bytes, Client, StatusCode};
use stackpost_settings::{FleetSettings, load};
use stackpost_types::MachineName;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time during which an edit is retried before its outcome is reported as unknown.
const EDIT_TIMEOUT: Duration = Duration::from_secs(15);
const EDIT_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends an operator's requests to the fleet's processes.
pub struct FleetClient {
    /// Settings of the fleet.
    pub settings: FleetSettings,
    key: String,
    client: Client,
}

/// Response of one machine.
pub struct MachineResponse<T> {
    /// The machine.
    pub machine: MachineName,
    /// The response, or the error of the request.
    pub response: Result<T, String>,
}

impl FleetClient {
    /// Reads the settings and the operator's key.
    pub fn open(settings: &Path, key_file: &Path) -> Result<Self, CommandError> {
        let settings: FleetSettings =
            load(settings).map_err(|error| CommandError::Usage(error.to_string()))?;
        let key = std::fs::read_to_string(key_file).map_err(|error| {
            CommandError::Usage(format!("read key file `{}`: {error}", key_file.display()))
        })?;
        Ok(Self { settings, key: key.trim().to_string(), client: Client::default() })
    }

    /// Sends a GET request to one address and parses the JSON response.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let request = hyper::http::Request::get(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .body(Bytes::new())
            .map_err(|error| error.to_string())?;
        let result = self.client.exchange(request, REQUEST_TIMEOUT).await;
        let (status, body) = result.map_err(|error| error.reason)?;
        if status != StatusCode::OK {
            return Err(format!("status {status}: {}", String::from_utf8_lossy(&body)));
        }
        serde_json::from_slice(&body).map_err(|error| format!("answer not understood: {error}"))
    }

    /// Sends a GET request to every control replica.
    pub async fn get_from_replicas<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<MachineResponse<T>> {
        let mut responses = Vec::new();
        for (machine, control) in self.settings.replicas() {
            let response = self.get(control.admin, path).await;
            responses.push(MachineResponse { machine: machine.name.clone(), response });
        }
        responses
    }

    /// Sends a GET request to every router.
    pub async fn get_from_routers<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<MachineResponse<T>> {
        let mut responses = Vec::new();
        for (machine, router) in self.settings.routers() {
            let response = self.get(router.admin, path).await;
            responses.push(MachineResponse { machine: machine.name.clone(), response });
        }
        responses
    }

    /// Sends a GET request to the replicas, leader first, until one of them responds.
    pub async fn get_from_any<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let mut errors = Vec::new();
        for address in self.replicas_leader_first().await {
            match self.get(address, path).await {
                Ok(response) => return Ok(response),
                Err(reason) => errors.push(format!("{address}: {reason}")),
            }
        }
        Err(CommandError::Fleet(format!("no control replica answers: {}", errors.join("; "))))
    }

    async fn replicas_leader_first(&self) -> Vec<SocketAddr> {
        let mut leader = None;
        for (_, control) in self.settings.replicas() {
            let status: Result<stackpost_control::views::FleetView, String> =
                self.get(control.admin, "/v1/status").await;
            if let Ok(view) = status
                && view.replica.has_lease
            {
                leader = Some(control.admin);
                break;
            }
        }
        let others = self.settings.replicas().map(|(_, control)| control.admin);
        leader.into_iter().chain(others.filter(|address| Some(*address) != leader)).collect()
    }

    /// Sends an edit until its outcome is known. Retries carry the same id, so that the edit takes
    /// effect at most once.
    pub async fn edit(&self, edit: &EditRequest) -> Result<EditView, CommandError> {
        let started = Instant::now();
        let mut next = 0;
        let mut last_reason = "nothing was tried".to_string();
        while started.elapsed() < EDIT_TIMEOUT {
            let replicas: Vec<(MachineName, SocketAddr)> = self
                .settings
                .replicas()
                .map(|(machine, control)| (machine.name.clone(), control.admin))
                .collect();
            let (_, address) = replicas[next % replicas.len()].clone();
            match self.post_edit(address, edit).await {
                Ok(EditView::NotLeader { leader }) => {
                    let leader_index = leader
                        .as_ref()
                        .and_then(|leader| replicas.iter().position(|(name, _)| name == leader));
                    last_reason = "no leader is known".into();
                    next = leader_index.unwrap_or(next + 1);
                }
                Ok(EditView::Unconfirmed) => last_reason = "the outcome is not known yet".into(),
                Ok(view) => return Ok(view),
                Err(reason) => {
                    last_reason = format!("{address}: {reason}");
                    next += 1;
                }
            }
            tokio::time::sleep(EDIT_RETRY_DELAY).await;
        }
        Err(CommandError::Fleet(format!(
            "edit {} was not answered in {EDIT_TIMEOUT:?} ({last_reason}); it may yet take \
             effect: look at the row before you edit it again",
            edit.id
        )))
    }

    async fn post_edit(&self, address: SocketAddr, edit: &EditRequest) -> Result<EditView, String> {
        let body = serde_json::to_vec(edit).map_err(|error| error.to_string())?;
        let request = hyper::http::Request::post(format!("http://{address}/v1/edits"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Bytes::from(body))
            .map_err(|error| error.to_string())?;
        let result = self.client.exchange(request, REQUEST_TIMEOUT).await;
        let (status, body) = result.map_err(|error| error.reason)?;
        serde_json::from_slice(&body)
            .map_err(|_| format!("status {status}: {}", String::from_utf8_lossy(&body)))
    }
}
