//! Compares the router with direct calls of the same engine, in one run.

use crate::arguments::{address, value};
use crate::open_loop::{Measurements, run_open_loop};
use crate::request::RequestParameters;
use clap::ArgMatches;
use stackpost_http::Client;

/// Alternates between the two sides, so that both run under the same conditions of the machine.
pub async fn run(matches: &ArgMatches) -> Result<(), String> {
    let routed = RequestParameters::from_matches(matches);
    let direct = RequestParameters { address: address(matches, "direct"), ..routed.clone() };
    let (rate, seconds) = (value(matches, "rate"), value(matches, "seconds"));
    let client = Client::default();
    // Warm-up, not measured: opens connections and warms the code paths.
    run_open_loop(&client, &routed, rate, 1).await;
    run_open_loop(&client, &direct, rate, 1).await;
    let (mut routed_measurements, mut direct_measurements) =
        (Measurements::new(), Measurements::new());
    for _ in 0..value(matches, "turns") {
        direct_measurements.merge(&run_open_loop(&client, &direct, rate, seconds).await);
        routed_measurements.merge(&run_open_loop(&client, &routed, rate, seconds).await);
    }
    println!("{}", Measurements::format_line("direct first byte", &direct_measurements.first_byte));
    println!("{}", Measurements::format_line("routed first byte", &routed_measurements.first_byte));
    println!("{}", Measurements::format_line("direct between pieces", &direct_measurements.gaps));
    println!("{}", Measurements::format_line("routed between pieces", &routed_measurements.gaps));
    println!("{}", Measurements::format_line("direct total", &direct_measurements.total));
    println!("{}", Measurements::format_line("routed total", &routed_measurements.total));
    println!(
        "statuses: direct {:?}, routed {:?}",
        direct_measurements.statuses, routed_measurements.statuses
    );
    for quantile in [0.5, 0.95, 0.99] {
        let compare_at = |routed: &hdrhistogram::Histogram<u64>,
                          direct: &hdrhistogram::Histogram<u64>| {
            let at = |histogram: &hdrhistogram::Histogram<u64>| {
                histogram.value_at_quantile(quantile) as f64 / 1e3
            };
            (at(routed) - at(direct), at(routed) / at(direct))
        };
        let (first_byte, first_ratio) =
            compare_at(&routed_measurements.first_byte, &direct_measurements.first_byte);
        let (added_gap, gap_ratio) =
            compare_at(&routed_measurements.gaps, &direct_measurements.gaps);
        println!(
            "p{}: added to the first byte {first_byte:.3} ms (ratio {first_ratio:.2}), between pieces \
             {added_gap:.3} ms (ratio {gap_ratio:.2})",
            quantile * 100.0
        );
    }
    Ok(())
}
