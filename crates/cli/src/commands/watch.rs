//! `watch`: prints decisions of all routers as they are made.

use super::Context;
use super::explain::print_trace;
use crate::client::MachineResponse;
use crate::output::CommandError;
use stackpost_router_core::Trace;
use stackpost_types::{MachineName, RequestId};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Time between two requests to the routers.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run(context: &Context, seconds: Option<u64>) -> Result<ExitCode, CommandError> {
    let started = Instant::now();
    let mut printed: BTreeMap<(MachineName, RequestId), usize> = BTreeMap::new();
    while seconds.is_none_or(|limit| started.elapsed() < Duration::from_secs(limit)) {
        let responses: Vec<MachineResponse<Vec<Trace>>> =
            context.fleet.get_from_routers("/v1/decisions").await;
        for reply in responses {
            let Ok(traces) = reply.response else { continue };
            for trace in traces.iter().rev() {
                let key = (reply.machine.clone(), trace.request);
                let printed_steps = printed.insert(key, trace.steps.len());
                if printed_steps != Some(trace.steps.len()) {
                    print_trace(reply.machine.as_str(), trace);
                }
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(ExitCode::SUCCESS)
}
