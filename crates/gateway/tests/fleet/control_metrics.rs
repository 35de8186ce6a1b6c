//! Metrics of the control process.

use crate::support::*;

/// The value of a metric, by its name and labels as in the text format.
fn metric(fleet: &Fleet, name: &str) -> Option<f64> {
    let text = fleet.control_metrics.render().expect("metrics can be rendered");
    let line = text
        .lines()
        .find(|line| line.strip_prefix(name).is_some_and(|rest| rest.starts_with(' ')))?;
    line.rsplit(' ').next()?.parse().ok()
}

#[test]
fn control_exports_its_state_and_request_counts() {
    run_local(async {
        let fleet = Fleet::start().await;
        fleet.control.read_document().await;
        assert!(
            fleet.control.put_document(b"none".as_slice().into()).await
                != stackpost_coordinator::PutReply::Accepted
        );
        let at_least =
            |name: &str, least: f64| metric(&fleet, name).is_some_and(|value| value >= least);
        wait_until(|| at_least("stackpost_engines{state=\"ready\"}", 2.0)).await;
        wait_until(|| at_least("stackpost_connected_machines{role=\"router\"}", 1.0)).await;
        for name in [
            "stackpost_leads",
            "stackpost_consensus_term",
            "stackpost_consensus_applied",
            "stackpost_configuration_version",
            "stackpost_replica_round_seconds_count",
            "stackpost_configuration_puts_total{reply=\"taken\"}",
            "stackpost_configuration_puts_total{reply=\"invalid\"}",
            "stackpost_configuration_reads_total{reply=\"newest\"}",
        ] {
            assert!(at_least(name, 1.0), "{name}: {:?}", metric(&fleet, name));
        }
    });
}

#[test]
fn crashed_engines_are_counted() {
    run_local(async {
        let fleet = Fleet::start().await;
        let path = format!("/once/{}", CrashPoint::BeforeHead.path_segment());
        fleet.ask(&path, "a").await;
        wait_until(|| {
            metric(&fleet, "stackpost_crash_sightings_total{engine=\"ended\"}") >= Some(1.0)
        })
        .await;
        wait_until(|| {
            metric(&fleet, "stackpost_crashing_requests{state=\"suspected\"}") >= Some(1.0)
        })
        .await;
    });
}
