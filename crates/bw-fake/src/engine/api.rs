//! HTTP interface of one engine rank.

use std::time::Duration;

use bw_expert::EngineOrder;
use bw_http::json_reply;
use bw_http::read_body;
use bw_http::text_reply;
use futures::StreamExt;
use serde_json::json;
use viz::Request;
use viz::RequestExt;
use viz::Response;
use viz::ResponseExt;
use viz::Result;
use viz::Router;
use viz::StatusCode;

use super::chat::completion_body;
use super::chat::stream_event;
use super::chat::ChatRequest;
use super::group::Group;
use super::group::Tokens;
use crate::service::RunCounter;

const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// Returns the routes of rank `rank` of `group`; only rank 0 accepts inference requests.
pub fn rank_routes(group: &Group, rank: usize, run_counter: &RunCounter) -> Router {
    let shared = group.clone();
    let health = move |_: Request| {
        let group = shared.clone();
        async move { Ok(health_reply(&group)) }
    };
    let shared = group.clone();
    let state = move |_: Request| {
        let group = shared.clone();
        async move { Ok(json_reply(StatusCode::OK, &group.rank_state(rank))) }
    };
    let shared = group.clone();
    let map = move |_: Request| {
        let group = shared.clone();
        async move { Ok(json_reply(StatusCode::OK, &group.map(rank))) }
    };
    let shared = group.clone();
    let order = move |request: Request| {
        let group = shared.clone();
        async move { handle_order(&group, rank, request).await }
    };
    let router = Router::new()
        .get("/health", health)
        .get("/experts/state", state)
        .get("/experts/map", map)
        .post("/experts/order", order);
    if rank == 0 {
        gate_routes(router, group, run_counter)
    } else {
        router
    }
}

fn gate_routes(router: Router, group: &Group, run_counter: &RunCounter) -> Router {
    let shared = group.clone();
    let load = move |_: Request| {
        let group = shared.clone();
        async move { Ok(json_reply(StatusCode::OK, &group.load())) }
    };
    let shared = group.clone();
    let demand = move |_: Request| {
        let group = shared.clone();
        async move { Ok(json_reply(StatusCode::OK, &group.take_demand())) }
    };
    let shared = group.clone();
    let run_counter = run_counter.clone();
    let chat = move |request: Request| {
        let group = shared.clone();
        let run_counter = run_counter.clone();
        async move { handle_chat(&group, &run_counter, request).await }
    };
    router.get("/load", load).get("/experts/demand", demand).post("/v1/chat/completions", chat)
}

fn health_reply(group: &Group) -> Response {
    if group.is_down() {
        text_reply(StatusCode::SERVICE_UNAVAILABLE, "dead".to_string())
    } else {
        text_reply(StatusCode::OK, "ok".to_string())
    }
}

async fn handle_order(group: &Group, rank: usize, mut request: Request) -> Result<Response> {
    let body = match read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await {
        Ok(body) => body,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let order: EngineOrder = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let accepted = group.apply_order(rank, order).await;
    Ok(json_reply(StatusCode::OK, &json!({ "taken": accepted })))
}

async fn handle_chat(
    group: &Group,
    run_counter: &RunCounter,
    mut request: Request,
) -> Result<Response> {
    let body = match read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await {
        Ok(body) => body,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let prompt = chat.prompt();
    run_counter.record(&format!("chat {prompt}"));
    let Some(tokens) = group.submit(&chat) else {
        // A crashed process sends no answer: the connection breaks off.
        return Ok(aborted_response());
    };
    let id = format!("chatcmpl-{:016x}", bw_model::hash::fingerprint("id", "", prompt.as_bytes()));
    if chat.stream {
        Ok(streamed_response(id, chat, tokens))
    } else {
        Ok(full_response(id, chat, tokens).await)
    }
}

/// Returns a reply whose body fails, as when the process crashes and its connection breaks off.
fn aborted_response() -> Response {
    let aborted = futures::stream::once(async { Err::<String, _>(std::io::Error::other("dead")) });
    Response::stream(aborted)
}

async fn full_response(id: String, chat: ChatRequest, mut tokens: Tokens) -> Response {
    let mut content = String::new();
    let mut count = 0;
    while let Some(token) = tokens.recv().await {
        content.push_str(&token);
        count += 1;
    }
    if count < chat.max_tokens {
        return aborted_response();
    }
    json_reply(StatusCode::OK, &completion_body(&id, &chat, content.trim_end()))
}

fn streamed_response(id: String, chat: ChatRequest, tokens: Tokens) -> Response {
    let events = futures::stream::unfold((tokens, 0, false), move |(mut tokens, count, done)| {
        let (id, model, total) = (id.clone(), chat.model.clone(), chat.max_tokens);
        async move {
            if done {
                return None;
            }
            match tokens.recv().await {
                Some(token) => {
                    let event = stream_event(&id, &model, Some(&token), None);
                    Some((Ok(event), (tokens, count + 1, false)))
                }
                None if count >= total => {
                    let end = stream_event(&id, &model, None, Some("length"));
                    Some((Ok(end + "data: [DONE]\n\n"), (tokens, count, true)))
                }
                None => Some((Err(std::io::Error::other("dead")), (tokens, count, true))),
            }
        }
    });
    let mut response = Response::stream(events.boxed());
    let content_type = viz::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(viz::header::CONTENT_TYPE, content_type);
    response
}
