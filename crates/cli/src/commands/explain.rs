//! `explain`: the decisions made for one request.

use super::Context;
use crate::client::From;
use crate::output::{CommandError, Form, print_json};
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
    let answers: Vec<From<Trace>> = context.fleet.ask_routers(&path).await;
    let found: Vec<_> = answers.iter().filter(|from| from.answer.is_ok()).collect();
    if context.form == Form::Json {
        let traces: Vec<_> =
            found.iter().map(|from| (&from.machine, from.answer.as_ref().ok())).collect();
        print_json(&traces)?;
    } else {
        for from in &found {
            if let Ok(trace) = &from.answer {
                print_trace(from.machine.as_str(), trace);
            }
        }
    }
    if found.is_empty() {
        let reasons: Vec<String> = answers
            .iter()
            .filter_map(|from| Some(format!("{}: {}", from.machine, from.answer.as_ref().err()?)))
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
