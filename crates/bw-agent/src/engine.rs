//! The engine's interface for expert maps.

use std::net::SocketAddr;
use std::time::Duration;

use bw_expert::EngineOrder;
use bw_expert::EngineState;
use bw_expert::ExpertMap;
use bw_http::Client;
use bw_http::ClientError;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::Deserialize;

const STATE_LIMIT: Duration = Duration::from_millis(1_000);
const ORDER_LIMIT: Duration = Duration::from_millis(2_000);
const LOAD_LIMIT: Duration = Duration::from_secs(300);

/// One rank of an engine.
#[derive(Clone)]
pub struct Engine {
    client: Client,
    base: String,
}

#[derive(Deserialize)]
struct OrderReply {
    taken: bool,
}

impl Engine {
    /// The engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), base: format!("http://{address}") }
    }

    /// The rank's state.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn state(&self) -> Result<EngineState, ClientError> {
        self.get("/experts/state").await
    }

    /// The map in force.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn map(&self) -> Result<Option<ExpertMap>, ClientError> {
        self.get("/experts/map").await
    }

    /// Tokens of each expert of each layer since the last call.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn demand(&self) -> Result<Vec<Vec<u32>>, ClientError> {
        self.get("/experts/demand").await
    }

    /// Gives an order; false when the engine does not take it.
    ///
    /// # Errors
    /// [`ClientError`].
    pub async fn order(&self, order: &EngineOrder) -> Result<bool, ClientError> {
        let limit = match order {
            EngineOrder::Load(_) => LOAD_LIMIT,
            _ => ORDER_LIMIT,
        };
        let url = format!("{}/experts/order", self.base);
        let reply = self.client.call(Method::POST, &url, Some(order), limit).await?;
        parse::<OrderReply>(reply.status, &reply.body).map(|reply| reply.taken)
    }

    async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let reply = self.client.get(&format!("{}{path}", self.base), STATE_LIMIT).await?;
        parse(reply.status, &reply.body)
    }
}

fn parse<T>(status: u16, body: &[u8]) -> Result<T, ClientError>
where
    T: DeserializeOwned,
{
    if status != 200 {
        return Err(ClientError::InvalidReply(format!("status {status}")));
    }
    serde_json::from_slice(body).map_err(|error| ClientError::InvalidReply(error.to_string()))
}
