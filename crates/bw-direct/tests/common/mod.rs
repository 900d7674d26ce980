//! News of gateways, as their peers receive them.

use std::net::SocketAddr;

use bw_direct::peers::News;
use bw_direct::peers::PeerAddress;
use bw_member::PeerState;
use bw_model::Incarnation;
use bw_model::Position;
use bw_model::Version;

/// Returns the addresses of a gateway.
pub fn address(instance: &str) -> PeerAddress {
    let socket = SocketAddr::from(([127, 0, 0, 1], 1));
    PeerAddress {
        instance: instance.to_string(),
        centre: "a".to_string(),
        callers: socket,
        news: socket,
    }
}

/// Returns news of a gateway that is ready, or that leaves.
pub fn news(instance: &str, incarnation: u64, seq: u64, leaving: bool) -> News {
    let state = PeerState {
        instance: instance.to_string(),
        incarnation: Incarnation(incarnation),
        seq,
        leaving,
        version: Version(1),
    };
    News {
        state,
        address: address(instance),
        stamp: 1,
        ready: !leaving,
        proof: None,
        store: None,
        listing: Position::default(),
        duty: None,
        paces: Vec::new(),
        works: Vec::new(),
        suspects: Vec::new(),
        others: Vec::new(),
    }
}
