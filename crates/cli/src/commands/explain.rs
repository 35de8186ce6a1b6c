//! `explain`: the decisions made for one request.

use super::Context;
use crate::client::MachineResponse;
use crate::output::{CommandError, OutputFormat, print_json};
use stackpost_router_core::Trace;
use stackpost_types::RequestId;
use std::process::ExitCode;

pub(crate) async fn run(context: &Context, request: &str) -> Result<ExitCode, CommandError> {
    // A decision id has the router's name after an `@`; only the request id is needed.
    let request = request.split('@').next().unwrap_or_default();
    if RequestId::parse(request).is_none() {
        return Err(CommandError::Usage("request: allowed: 32 hexadecimal digits".into()));
    }
    let path = format!("/v1/explain?request={request}");
    let responses: Vec<MachineResponse<Trace>> = context.fleet.get_from_routers(&path).await;
    let with_trace: Vec<_> = responses.iter().filter(|reply| reply.response.is_ok()).collect();
    if context.output_format == OutputFormat::Json {
        let traces: Vec<_> =
            with_trace.iter().map(|reply| (&reply.machine, reply.response.as_ref().ok())).collect();
        print_json(&traces)?;
    } else {
        for reply in &with_trace {
            if let Ok(trace) = &reply.response {
                print_trace(reply.machine.as_str(), trace);
            }
        }
    }
    if with_trace.is_empty() {
        let reasons: Vec<String> = responses
            .iter()
            .filter_map(|reply| {
                Some(format!("{}: {}", reply.machine, reply.response.as_ref().err()?))
            })
            .collect();
        return Err(CommandError::Fleet(format!("no router knows it: {}", reasons.join("; "))));
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the steps of a request with the time since the first step.
pub(crate) fn print_trace(machine: &str, trace: &Trace) {
    println!("request {} on {machine}", trace.request);
    let first = trace.steps.first().map(|(at, _)| *at).unwrap_or_default();
    for (at, step) in &trace.steps {
        println!("  {:>7} ms  {step}", at.since(first).0);
    }
}
