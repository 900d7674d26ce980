//! The planner of a whole gateway, with ranks that give wrong answers.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bw_adapter::engines::RankReport;
use bw_adapter::engines::COUNTS_PATH;
use bw_adapter::engines::ORDER_PATH;
use bw_adapter::engines::ORDER_RECIPIENT;
use bw_adapter::engines::REPORT_PATH;
use bw_adapter::stand_in::endpoint::listing_object;
use bw_adapter::stand_in::rank::decode_order;
use bw_adapter::stand_in::rank::encode_counts;
use bw_adapter::stand_in::rank::encode_held_experts;
use bw_adapter::stand_in::rank::encode_report;
use bw_direct::catalog::Draft;
use bw_direct::catalog::Engine;
use bw_direct::catalog::ExpertShape;
use bw_direct::catalog::Service;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::Member;
use bw_direct::endpoint::Phase;
use bw_expert::drive::Command;
use bw_expert::drive::RankState;
use bw_expert::drive::Tenure;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankExperts;
use bw_fake::endpoint::Behaviour;
use bw_http::json_reply;
use bw_http::text_reply;
use bw_kernel::Stop;
use bw_model::Fence;
use bw_model::MapVersion;
use tokio::sync::watch;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::Router;
use viz::StatusCode;

use self::common::draft;
use self::common::Rig;

const RANKS: u16 = 6;
const EXPERTS: usize = 12;
const MODEL: &str = "model";
const MAP: MapVersion = MapVersion(5);
/// Choices of the hottest expert between two reads of counts.
const CHOICES: u64 = 4_000;

/// What the ranks of one group share.
#[derive(Default)]
struct GroupState {
    /// Reads of counts so far, by which the counts rise.
    reads: u64,
    /// Number of lists of held experts that are still to be spoiled.
    spoiled: u32,
    /// Ranks that accepted a command, in the order of the commands.
    accepted: Vec<u16>,
    /// Maps that ranks were told to prepare.
    prepared: Vec<Vec<Placement>>,
    /// A switch of another driver: the version that all ranks are armed with, the first step that uses it,
    /// and the rank that holds this step.
    switch: Option<(MapVersion, u64, u16)>,
    /// Ranks that were told to hold a step.
    holds: Vec<u16>,
}

#[derive(Clone, Default)]
struct FakeGroup(Arc<Mutex<GroupState>>);

impl FakeGroup {
    /// Serves one rank on a port of its own until the returned sender is dropped.
    async fn start_rank(&self, rank: u16) -> (SocketAddr, watch::Sender<bool>) {
        let listener = bw_http::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let group = self.clone();
        let serve = move |mut request: Request| {
            let group = group.clone();
            async move {
                let body = request.bytes().await.unwrap();
                let path = request.uri().path_and_query().unwrap().to_string();
                let recipient = request.headers().get(ORDER_RECIPIENT);
                if recipient.is_some_and(|name| name != rank_name(rank).as_str()) {
                    return Ok(text_reply(StatusCode::MISDIRECTED_REQUEST, String::new()));
                }
                Ok(group.answer(rank, &path, &body))
            }
        };
        let routes = Router::new()
            .get(REPORT_PATH, serve.clone())
            .get(COUNTS_PATH, serve.clone())
            .post(ORDER_PATH, serve);
        let (stop, signal) = Stop::pair();
        tokio::spawn(bw_http::serve(listener, routes, signal));
        (address, stop)
    }

    fn answer(&self, rank: u16, path: &str, body: &[u8]) -> Response {
        let mut state = self.0.lock().unwrap();
        match path {
            REPORT_PATH => {
                let version = state.switch.map(|(version, _, _)| version);
                let step = state.switch.map(|(_, step, _)| step);
                let holder = state.switch.map(|(_, _, holder)| holder);
                let state = RankState {
                    epoch: 1,
                    open: true,
                    step: 9,
                    map: MAP,
                    prepared: version,
                    armed: version.zip(step),
                    held: step.filter(|_| holder == Some(rank)),
                };
                let report = RankReport { pace: 1.0, state };
                json_reply(StatusCode::OK, &encode_report("g", rank, RANKS, &report))
            }
            COUNTS_PATH => {
                state.reads += 1;
                let mut counts = vec![state.reads; EXPERTS];
                counts[0] = state.reads * CHOICES;
                json_reply(StatusCode::OK, &encode_counts(9, 1, &counts))
            }
            ORDER_PATH => {
                if let Some((order, map)) = decode_order(rank, body) {
                    state.accepted.push(rank);
                    match order.command {
                        Command::Prepare(_) => state.prepared.push(map),
                        Command::Hold(_) => state.holds.push(order.rank),
                        _ => {}
                    }
                }
                text_reply(StatusCode::OK, String::new())
            }
            // The lists of held experts have the path of the counts, with a query.
            _ => {
                let map = Placement::round_robin(usize::from(RANKS), EXPERTS);
                let mut held: RankExperts = map.ranks[usize::from(rank)].clone();
                if state.spoiled > 0 && rank == 1 {
                    state.spoiled -= 1;
                    held[0] = 91;
                }
                json_reply(StatusCode::OK, &encode_held_experts(1, MAP, &[held]))
            }
        }
    }
}

/// Returns a configuration with a service whose ranks hold experts.
fn draft_with_model() -> Draft {
    let mut draft = draft(1);
    let shape = ExpertShape {
        sets: 1,
        experts: EXPERTS,
        placements: 4,
        spare: 2,
        bytes: 1.0,
        copy_rate: 1e9,
        expert_fraction: 0.9,
        forming_time: Duration::from_millis(100),
    };
    let engine = Engine {
        slots: 4,
        stride: 1,
        step: Duration::from_millis(20),
        sequence: Duration::ZERO,
        context: Duration::ZERO,
        prefill_rate: 1e5,
        chunk: 512,
        kv_capacity: 100_000,
        prompt: 100.0,
        answer: 10.0,
        report_lag: Duration::from_millis(1),
        experts: Some(shape),
    };
    let model =
        Service { name: MODEL.to_string(), engine: Some(engine), ..draft.services[0].clone() };
    draft.services.push(model);
    draft
}

/// Starts a gateway with a service whose ranks hold experts.
async fn start_rig() -> Rig {
    Rig::start_with(&[Behaviour::Answer(200, "fine".to_string())], draft_with_model()).await
}

fn rank_name(rank: u16) -> String {
    format!("rank-{rank}")
}

/// Returns the list entry of a rank.
fn rank_listing(rank: u16, address: SocketAddr) -> Endpoint {
    Endpoint {
        name: rank_name(rank),
        service: MODEL.to_string(),
        address,
        centre: "a".to_string(),
        slots: 4,
        phase: Phase::Ready,
        cold: Duration::ZERO,
        born: 1,
        member: Some(Member { group: "g".to_string(), epoch: 1, rank, size: RANKS, open: true }),
    }
}

/// Lists a group whose ranks share `group`; the senders end the ranks.
async fn start_group(rig: &Rig, group: &FakeGroup) -> Vec<watch::Sender<bool>> {
    let mut ranks = Vec::new();
    for (endpoint, stop) in start_ranks(group).await {
        rig.platform.change(|objects| objects.create(listing_object(&endpoint))).unwrap();
        ranks.push(stop);
    }
    ranks
}

/// Starts all ranks, and returns the list entry of each with the sender that ends it.
async fn start_ranks(group: &FakeGroup) -> Vec<(Endpoint, watch::Sender<bool>)> {
    let mut ranks = Vec::new();
    for rank in 0..RANKS {
        let (address, stop) = group.start_rank(rank).await;
        ranks.push((rank_listing(rank, address), stop));
    }
    ranks
}

/// Waits until the group's state meets a condition, at most 30 s.
async fn wait_until<C>(group: &FakeGroup, condition: C)
where
    C: Fn(&GroupState) -> bool,
{
    let met = async {
        while !condition(&group.0.lock().unwrap()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let _elapsed = tokio::time::timeout(Duration::from_secs(30), met).await;
}

/// Guards against a gateway that ends because one digit in a rank's list of held experts is wrong.
#[tokio::test]
async fn a_spoiled_list_of_held_experts_is_read_again() {
    let group = FakeGroup::default();
    group.0.lock().unwrap().spoiled = 1;
    let rig = start_rig().await;
    let _ranks = start_group(&rig, &group).await;
    // A planner that has ended prepares nothing, and its error shows at the stop.
    wait_until(&group, |state| !state.prepared.is_empty()).await;
    rig.stop().await;
    let state = group.0.lock().unwrap();
    assert_eq!(state.spoiled, 0);
    assert!(state.prepared[0][0].ranks.iter().flatten().all(|expert| *expert < EXPERTS as u16));
}

/// Guards against two planners that hold a step at one rank after the store has lost the first one's lease: the
/// first one's release may still be carried out, and would end the hold of the second one.
#[tokio::test]
async fn a_planner_does_not_hold_at_the_rank_of_one_whose_lease_was_lost() {
    const LOST_HOLDER: u64 = 1;
    let lost = Fence::new(0, LOST_HOLDER);
    let version = Tenure::new(lost, RANKS).issue_version();
    let group = FakeGroup::default();
    group.0.lock().unwrap().switch = Some((version, 20, LOST_HOLDER as u16));
    let rig = start_rig().await;
    let mut copy = rig.platform.snapshot();
    let _ = copy.remove("leases", "expert-maps");
    rig.platform.restore(copy);
    let rig = rig.restart("gateway-2").await;
    let _ranks = start_group(&rig, &group).await;
    wait_until(&group, |state| !state.holds.is_empty()).await;
    rig.stop().await;
    let state = group.0.lock().unwrap();
    assert_eq!(state.holds.first(), Some(&2));
    assert!(!state.holds.contains(&1), "{:?}", state.holds);
}

/// Guards against a map that is switched at all ranks but one, since an entry of another writer names that rank at the
/// address of another one.
#[tokio::test]
async fn a_rank_gets_no_commands_for_another_one() {
    let group = FakeGroup::default();
    let rig = start_rig().await;
    let ranks = start_ranks(&group).await;
    for (endpoint, _) in &ranks {
        rig.platform.change(|objects| objects.create(listing_object(endpoint))).unwrap();
    }
    // From here on the planner knows the map in use; it plans another one after further reads.
    wait_until(&group, |state| state.reads > 0).await;
    let foreign = Endpoint { name: "foreign".to_string(), ..rank_listing(3, ranks[5].0.address) };
    rig.platform.change(|objects| objects.create(listing_object(&foreign))).unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let accepted = group.0.lock().unwrap().accepted.clone();
    assert!(!accepted.contains(&5), "{accepted:?}");
    rig.stop().await;
}

/// Guards against a command that another endpoint carries out, whose address a list entry names for the rank.
#[tokio::test]
async fn a_command_names_the_endpoint_that_it_is_meant_for() {
    let group = FakeGroup::default();
    let rig = start_rig().await;
    let ranks = start_ranks(&group).await;
    for (number, (endpoint, _)) in ranks.iter().enumerate() {
        let name = if number == 3 { "foreign".to_string() } else { endpoint.name.clone() };
        let endpoint = Endpoint { name, ..endpoint.clone() };
        rig.platform.change(|objects| objects.create(listing_object(&endpoint))).unwrap();
    }
    wait_until(&group, |state| state.accepted.len() >= usize::from(RANKS) - 1).await;
    rig.stop().await;
    let state = group.0.lock().unwrap();
    assert!(!state.accepted.is_empty());
    assert!(!state.accepted.contains(&3), "{:?}", state.accepted);
}
