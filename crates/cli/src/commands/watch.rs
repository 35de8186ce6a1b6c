//! `watch`: prints decisions of all routers as they are made.

use super::Context;
use super::explain::print_trace;
use crate::client::From;
use crate::output::CommandError;
use stackpost_router_core::Trace;
use stackpost_types::{MachineName, RequestId};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::time::{Duration, Instant};

/// Time between two requests to the routers.
const LOOK_AGAIN_AFTER: Duration = Duration::from_millis(500);

pub(crate) async fn run(context: &Context, seconds: Option<u64>) -> Result<ExitCode, CommandError> {
    let started = Instant::now();
    let mut shown: BTreeMap<(MachineName, RequestId), usize> = BTreeMap::new();
    while seconds.is_none_or(|limit| started.elapsed() < Duration::from_secs(limit)) {
        let answers: Vec<From<Vec<Trace>>> = context.fleet.ask_routers("/v1/decisions").await;
        for from in answers {
            let Ok(traces) = from.answer else { continue };
            for trace in traces.iter().rev() {
                let key = (from.machine.clone(), trace.request);
                let known = shown.insert(key, trace.steps.len());
                if known != Some(trace.steps.len()) {
                    print_trace(from.machine.as_str(), trace);
                }
            }
        }
        tokio::time::sleep(LOOK_AGAIN_AFTER).await;
    }
    Ok(ExitCode::SUCCESS)
}
