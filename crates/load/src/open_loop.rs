//! Open-loop load: requests are sent on schedule, whether or not earlier ones have completed. Times
//! are measured from the scheduled time, so that a stall counts in every request that it delays.

use crate::arguments::value;
use crate::request::RequestParameters;
use clap::ArgMatches;
use hdrhistogram::Histogram;
use stackpost_http::Client;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Largest value of a histogram, in microseconds.
const MAX_TIME_US: u64 = 600_000_000;

/// Measurements of a run; times in microseconds.
#[derive(Debug)]
pub struct Measurements {
    /// Time to the first byte of the response body.
    pub first_byte: Histogram<u64>,
    /// Times between consecutive chunks of the body.
    pub gaps: Histogram<u64>,
    /// Time to the end of the response.
    pub total: Histogram<u64>,
    /// Number of responses by status; 0 counts requests that failed without a complete response.
    pub statuses: BTreeMap<u16, u64>,
}

impl Measurements {
    /// Empty measurements.
    pub fn new() -> Self {
        let new_histogram =
            || Histogram::new_with_bounds(1, MAX_TIME_US, 3).expect("histogram bounds are valid");
        Self {
            first_byte: new_histogram(),
            gaps: new_histogram(),
            total: new_histogram(),
            statuses: BTreeMap::new(),
        }
    }

    /// Adds the measurements of another run.
    pub fn merge(&mut self, other: &Self) {
        let histograms = [(&mut self.first_byte, &other.first_byte), (&mut self.gaps, &other.gaps)];
        for (own, added) in histograms.into_iter().chain([(&mut self.total, &other.total)]) {
            own.add(added).expect("histograms have the same bounds");
        }
        for (status, count) in &other.statuses {
            *self.statuses.entry(*status).or_default() += count;
        }
    }

    /// Formats a histogram's count, quantiles and maximum as one line.
    pub fn format_line(name: &str, histogram: &Histogram<u64>) -> String {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        format!(
            "{name}: n={} p50={:.3} p95={:.3} p99={:.3} max={:.3} ms",
            histogram.len(),
            at(0.5),
            at(0.95),
            at(0.99),
            histogram.max() as f64 / 1e3
        )
    }
}

/// Sends `parameters` at `rate` per second for `seconds`, and waits for all responses.
pub async fn run_open_loop(
    client: &Client,
    parameters: &RequestParameters,
    rate: u64,
    seconds: u64,
) -> Measurements {
    let measurements = Arc::new(Mutex::new(Measurements::new()));
    let mut tasks = JoinSet::new();
    let started = Instant::now();
    let count = rate * seconds;
    for number in 0..count {
        let scheduled_at = started + Duration::from_secs_f64(number as f64 / rate as f64);
        tokio::time::sleep_until(scheduled_at.into()).await;
        let (client, mut parameters, measurements) =
            (client.clone(), parameters.clone(), measurements.clone());
        // Prompts differ, so that not all of them are served from the prefix cache.
        parameters.prompt = format!("{} #{number}", parameters.prompt);
        tasks.spawn(async move {
            let delay = scheduled_at.elapsed();
            let response = parameters.send(&client).await;
            let mut measurements = measurements.lock().unwrap_or_else(PoisonError::into_inner);
            let status = response.as_ref().map_or(0, |response| response.status.as_u16());
            *measurements.statuses.entry(status).or_default() += 1;
            if let Ok(response) = response
                && response.status.is_success()
            {
                let micros = |span: Duration| span.as_micros() as u64;
                measurements.first_byte.saturating_record(micros(response.first_byte + delay));
                measurements.total.saturating_record(micros(response.total + delay));
                for gap in response.gaps {
                    measurements.gaps.saturating_record(micros(gap));
                }
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let mut measurements = measurements.lock().unwrap_or_else(PoisonError::into_inner);
    std::mem::replace(&mut *measurements, Measurements::new())
}

/// Runs the load and prints the measurements.
pub async fn run(matches: &ArgMatches) -> Result<(), String> {
    let parameters = RequestParameters::from_matches(matches);
    let (rate, seconds) = (value(matches, "rate"), value(matches, "seconds"));
    let measurements = run_open_loop(&Client::default(), &parameters, rate, seconds).await;
    println!("{}", Measurements::format_line("first byte", &measurements.first_byte));
    println!("{}", Measurements::format_line("between pieces", &measurements.gaps));
    println!("{}", Measurements::format_line("total", &measurements.total));
    println!("statuses: {:?}", measurements.statuses);
    Ok(())
}
