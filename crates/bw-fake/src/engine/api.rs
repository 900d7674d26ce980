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

use super::chat::stream_event;
use super::chat::whole_answer;
use super::chat::ChatRequest;
use super::group::Group;
use super::group::Tokens;
use crate::service::Runs;

const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// Routes of rank `rank` of `group`; only rank 0 takes requests.
pub fn rank_routes(group: &Group, rank: usize, runs: &Runs) -> Router {
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
        async move { take_order(&group, rank, request).await }
    };
    let router = Router::new()
        .get("/health", health)
        .get("/experts/state", state)
        .get("/experts/map", map)
        .post("/experts/order", order);
    if rank == 0 {
        gate_routes(router, group, runs)
    } else {
        router
    }
}

fn gate_routes(router: Router, group: &Group, runs: &Runs) -> Router {
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
    let runs = runs.clone();
    let chat = move |request: Request| {
        let group = shared.clone();
        let runs = runs.clone();
        async move { complete(&group, &runs, request).await }
    };
    router.get("/load", load).get("/experts/demand", demand).post("/v1/chat/completions", chat)
}

fn health_reply(group: &Group) -> Response {
    if group.is_dead() {
        text_reply(StatusCode::SERVICE_UNAVAILABLE, "dead".to_string())
    } else {
        text_reply(StatusCode::OK, "ok".to_string())
    }
}

async fn take_order(group: &Group, rank: usize, mut request: Request) -> Result<Response> {
    let body = match read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await {
        Ok(body) => body,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let order: EngineOrder = match serde_json::from_slice(&body) {
        Ok(order) => order,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let taken = group.order(rank, order).await;
    Ok(json_reply(StatusCode::OK, &json!({ "taken": taken })))
}

async fn complete(group: &Group, runs: &Runs, mut request: Request) -> Result<Response> {
    let body = match read_body(request.incoming()?, BODY_BYTES_MAX, BODY_LIMIT).await {
        Ok(body) => body,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let chat: ChatRequest = match serde_json::from_slice(&body) {
        Ok(chat) => chat,
        Err(error) => return Ok(text_reply(StatusCode::BAD_REQUEST, error.to_string())),
    };
    let prompt = chat.prompt();
    runs.note(&format!("chat {prompt}"));
    let Some(tokens) = group.submit(&chat) else {
        // A process that died has no answer to give: the connection is cut.
        return Ok(cut_off());
    };
    let id = format!("chatcmpl-{:016x}", bw_model::hash::fingerprint("id", "", prompt.as_bytes()));
    if chat.stream {
        Ok(stream_answer(id, chat, tokens))
    } else {
        Ok(collect_answer(id, chat, tokens).await)
    }
}

/// A reply that breaks off, as the connection of a dead process does.
fn cut_off() -> Response {
    let cut = futures::stream::once(async { Err::<String, _>(std::io::Error::other("dead")) });
    Response::stream(cut)
}

async fn collect_answer(id: String, chat: ChatRequest, mut tokens: Tokens) -> Response {
    let mut content = String::new();
    let mut count = 0;
    while let Some(token) = tokens.recv().await {
        content.push_str(&token);
        count += 1;
    }
    if count < chat.max_tokens {
        return cut_off();
    }
    json_reply(StatusCode::OK, &whole_answer(&id, &chat, content.trim_end()))
}

fn stream_answer(id: String, chat: ChatRequest, tokens: Tokens) -> Response {
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
    let kind = viz::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(viz::header::CONTENT_TYPE, kind);
    response
}
