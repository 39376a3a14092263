//! What a response depends on.

use std::net::SocketAddr;

use cyclamengauge_core::ids::{EngineId, ServiceId};

/// A target to connect to.
#[derive(Clone, Debug)]
pub struct TargetAddress {
    /// Service of the target.
    pub service: ServiceId,
    /// Id of the target.
    pub target: EngineId,
    /// Listen address.
    pub address: SocketAddr,
}

/// What a response depends on.
#[derive(Clone, Debug)]
pub struct Awaited {
    /// The target.
    pub target: TargetAddress,
    /// Address of the peer that makes the attempt; none for an attempt of this instance.
    pub peer: Option<SocketAddr>,
}
