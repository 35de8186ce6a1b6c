//! Faults of real processes: killed, terminated, suspended, or restarted without their data folder.

use http_body_util::BodyExt;
use rustix::process::Signal;
use serde_json::json;
use stackpost_control::views::{EditView, FleetView};
use stackpost_e2e::{ApiRequest, Fleet, LIMIT, ROUTERS, wait_for};
use stackpost_http::{Client, StatusCode};
use std::collections::BTreeMap;

#[tokio::test]
async fn a_retry_after_a_router_crash_completes_and_is_billed_once() {
    let mut fleet = Fleet::start_with(111, &["--token-us", "5000"]).await;
    let api_request = ApiRequest::chat(fleet.api("a-1"), "ruling", 200, true).keyed("ruling-1");
    let (_, headers, mut body) =
        api_request.send_streaming(&Client::unpooled()).await.expect("a response");
    let first_request_id = headers["x-request-id"].to_str().expect("a text header").to_string();
    body.frame().await.expect("a frame").expect("a readable frame");
    fleet.kill("router-a-1");
    let response = wait_for("another router responds", || async {
        let response = api_request.clone().to(fleet.api("a-2")).send().await.ok()?;
        (response.status == StatusCode::OK).then_some(response)
    })
    .await;
    assert!(response.body.contains("[DONE]"), "{}", response.body);
    assert!(fleet.bills_of(&first_request_id).await.is_empty());
    let bills = wait_for("the request is billed", || async {
        let bills = fleet.bills().await;
        (!bills.is_empty()).then_some(bills)
    })
    .await;
    assert_eq!(bills.len(), 1, "{bills:?}");
}

#[tokio::test]
async fn a_planned_stop_completes_requests_in_flight() {
    let mut fleet = Fleet::start_with(112, &["--token-us", "5000"]).await;
    let client = Client::unpooled();
    let api_request = ApiRequest::chat(fleet.api("b-1"), "long", 300, true);
    let (_, _, mut body) = api_request.send_streaming(&client).await.expect("a response");
    body.frame().await.expect("a frame").expect("a readable frame");
    fleet.signal("router-b-1", Signal::TERM);
    wait_for("the router is no longer ready", || async {
        let probe = fleet.probe(fleet.router_admin("b-1"), "/readyz").await?;
        (probe == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    })
    .await;
    let refused =
        ApiRequest::chat(fleet.api("b-1"), "late", 5, false).send().await.expect("a response");
    assert_eq!((refused.code().as_str(), refused.outcome().as_str()), ("draining", "not_run"));
    let rest = body.collect().await.expect("the rest of the body").to_bytes();
    assert!(String::from_utf8_lossy(&rest).contains("[DONE]"));
    assert_eq!(fleet.exit_code("router-b-1").await, Some(0));
}

#[tokio::test]
async fn control_survives_leader_loss_and_restores_a_lost_folder() {
    let mut fleet = Fleet::start(113).await;
    let leader = fleet.leader().await;
    fleet.kill(&format!("control-{leader}"));
    let row = json!({ "limit": LIMIT + 1 });
    let view = fleet.edit("after-kill", "budget", "second", 0, row.clone()).await;
    let EditView::Accepted { version, .. } = view else { panic!("{view:?}") };
    // A resent edit gets its first outcome, although the row now has another version.
    let resent = fleet.edit("after-kill", "budget", "second", 0, row).await;
    assert!(matches!(resent, EditView::Accepted { version: same, .. } if same == version));
    let conflicting = fleet.edit("raced", "budget", "second", 0, json!({ "limit": 5 })).await;
    assert!(matches!(conflicting, EditView::Conflict { .. }), "{conflicting:?}");
    for machine in ROUTERS {
        wait_for("the edit is in force", || async {
            (fleet.router_status(machine).await?.version >= version).then_some(())
        })
        .await;
    }
    std::fs::remove_dir_all(fleet.data_folder(&leader)).expect("the data folder can be removed");
    fleet.start_control(&leader);
    let admins = fleet.control_admins();
    wait_for("the replica is a voter again with the complete table", || async {
        let mut voters = 0;
        for address in &admins {
            let view: Option<FleetView> = fleet.get(*address, "/v1/status").await;
            voters += usize::from(
                view.is_some_and(|view| view.replica.is_voter && view.replica.version >= version),
            );
        }
        (voters == 3).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_suspended_leader_is_replaced_and_catches_up_after_it_resumes() {
    let fleet = Fleet::start(114).await;
    let leader = fleet.leader().await;
    fleet.signal(&format!("control-{leader}"), Signal::STOP);
    let view = fleet.edit("frozen", "budget", "third", 0, json!({ "limit": 7 })).await;
    let EditView::Accepted { version, .. } = view else { panic!("{view:?}") };
    fleet.signal(&format!("control-{leader}"), Signal::CONT);
    for address in fleet.control_admins() {
        wait_for("every replica has the edit", || async {
            let view: FleetView = fleet.get(address, "/v1/status").await?;
            (view.replica.version >= version).then_some(())
        })
        .await;
    }
}

/// Checks the outcome of every caller against journals and bills, under load and with a killed
/// router.
#[tokio::test]
async fn outcomes_journals_and_bills_agree_after_a_router_crash() {
    let mut fleet = Fleet::start(115).await;
    let mut api_requests = Vec::new();
    for number in 0..120 {
        let api = fleet.api(ROUTERS[number % ROUTERS.len()]);
        let api_request = if number % 3 == 0 {
            ApiRequest::post(api, "/tickets?delay_ms=30", format!("ticket {number}"))
        } else {
            ApiRequest::chat(api, &format!("caller {number}"), 40, number % 2 == 0)
        };
        api_requests.push(tokio::spawn(async move { api_request.send().await }));
    }
    wait_for("the back ends are executing requests", || async {
        (fleet.journal().len() > 20).then_some(())
    })
    .await;
    fleet.kill("router-a-2");
    let mut responses = Vec::new();
    for api_request in api_requests {
        responses.push(api_request.await.expect("the task completes"));
    }
    let answered: Vec<_> = responses
        .iter()
        .flatten()
        .filter(|response| response.status.is_success() && is_complete(&response.body))
        .collect();
    assert!(answered.len() >= 80, "only {} requests answered", answered.len());
    let bills = wait_for("every response is billed", || async {
        let mut by_request: BTreeMap<String, usize> = BTreeMap::new();
        for bill in fleet.bills().await {
            *by_request.entry(bill.request).or_default() += 1;
        }
        let all = answered.iter().all(|response| by_request.contains_key(&response.request_id()));
        all.then_some(by_request)
    })
    .await;
    assert!(bills.values().all(|count| *count == 1), "{bills:?}");
    let refused = responses.iter().flatten().filter(|response| response.outcome() == "not_run");
    for response in refused {
        assert!(fleet.journal_of(&response.request_id()).is_empty(), "{}", response.body);
        assert!(!bills.contains_key(&response.request_id()));
    }
    for (request, count) in executions(&fleet) {
        assert_eq!(count, 1, "{request} was executed {count} times");
    }
    let total: u64 = fleet.bills().await.iter().map(|bill| bill.tokens).sum();
    assert!(total <= LIMIT);
}

fn is_complete(body: &str) -> bool {
    !body.starts_with("data:") || body.contains("[DONE]")
}

/// Number of executions of each plain call.
fn executions(fleet: &Fleet) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for entry in fleet.journal().into_iter().filter(|entry| entry.event == "executed") {
        *counts.entry(entry.subject).or_default() += 1;
    }
    counts
}
