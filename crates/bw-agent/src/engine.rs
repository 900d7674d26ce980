//! Client of the engine's HTTP interface for expert maps.

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

const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time for loading the weights of a map.
const LOAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Client of the engine process of one rank.
#[derive(Clone)]
pub struct Engine {
    client: Client,
    base_url: String,
}

#[derive(Deserialize)]
struct EngineReply {
    taken: bool,
}

impl Engine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), base_url: format!("http://{address}") }
    }

    /// Reads the rank's state.
    ///
    /// # Errors
    /// Returns a [`ClientError`] if the engine does not answer in time or as expected.
    pub async fn state(&self) -> Result<EngineState, ClientError> {
        self.get("/experts/state").await
    }

    /// Reads the map in force.
    ///
    /// # Errors
    /// Returns a [`ClientError`] if the engine does not answer in time or as expected.
    pub async fn map(&self) -> Result<Option<ExpertMap>, ClientError> {
        self.get("/experts/map").await
    }

    /// Reads how many tokens each expert of each layer has processed since the last call.
    ///
    /// # Errors
    /// Returns a [`ClientError`] if the engine does not answer in time or as expected.
    pub async fn demand(&self) -> Result<Vec<Vec<u32>>, ClientError> {
        self.get("/experts/demand").await
    }

    /// Sends an order. Returns false if the engine rejects it.
    ///
    /// # Errors
    /// Returns a [`ClientError`] if the engine does not answer in time or as expected.
    pub async fn order(&self, order: &EngineOrder) -> Result<bool, ClientError> {
        let timeout = match order {
            EngineOrder::Load(_) => LOAD_TIMEOUT,
            _ => ORDER_TIMEOUT,
        };
        let url = format!("{}/experts/order", self.base_url);
        let reply = self.client.call(Method::POST, &url, Some(order), timeout).await?;
        parse::<EngineReply>(reply.status, &reply.body).map(|reply| reply.taken)
    }

    async fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let reply = self.client.get(&format!("{}{path}", self.base_url), QUERY_TIMEOUT).await?;
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
