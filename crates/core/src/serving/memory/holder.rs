//! Holders of memory and their rank when room is short.

use std::net::{IpAddr, SocketAddr};

use crate::ids::AccountId;

/// Bytes of a client connection and of the head of its request.
const CLIENT_OVERHEAD_BYTES: u64 = 16 * 1024;

/// Bytes of a connection to a target and of the head of its response.
const TARGET_OVERHEAD_BYTES: u64 = 24 * 1024;

/// What memory is held for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Body of a request of which nothing has been sent to a target.
    ClientBody {
        /// Account of the client; none before it is known, or on a public route.
        account: Option<AccountId>,
        /// Address of the client.
        address: Option<SocketAddr>,
    },
    /// Response that a client has not taken yet.
    ClientResponse {
        /// Account of the client.
        account: Option<AccountId>,
        /// Address of the client.
        address: Option<SocketAddr>,
        /// Whether a target may have run the request.
        may_have_run: bool,
        /// Whether the request can be repeated after it has run.
        is_repeatable: bool,
    },
    /// Response that a target sends.
    TargetResponse {
        /// Whether a target may have run the request.
        may_have_run: bool,
        /// Whether the request can be repeated after it has run.
        is_repeatable: bool,
    },
}

/// Order in which holders give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// A client body without progress.
    StalledClientBody,
    /// A client body that arrives.
    ClientBody,
    /// The response of a request that may be repeated, or that has not run.
    Repeatable,
    /// The response of a request that may have run and can't be repeated.
    MayHaveRun,
}

/// Clients that are counted together when room is short.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ClientGroup {
    /// Clients of one account.
    Account(AccountId),
    /// Clients without an account at one address.
    Address(IpAddr),
    /// Clients of which neither is known.
    Unknown,
}

impl Holder {
    /// Bytes that are counted besides buffers.
    pub fn overhead_bytes(&self) -> u64 {
        match self {
            Self::ClientBody { .. } => CLIENT_OVERHEAD_BYTES,
            Self::ClientResponse { .. } => 0,
            Self::TargetResponse { .. } => TARGET_OVERHEAD_BYTES,
        }
    }

    /// Rank when room is short.
    pub fn rank(&self, is_stalled: bool) -> Rank {
        match self {
            Self::ClientBody { .. } if is_stalled => Rank::StalledClientBody,
            Self::ClientBody { .. } => Rank::ClientBody,
            Self::ClientResponse {
                may_have_run,
                is_repeatable,
                ..
            }
            | Self::TargetResponse {
                may_have_run,
                is_repeatable,
            } => match *may_have_run && !*is_repeatable {
                true => Rank::MayHaveRun,
                false => Rank::Repeatable,
            },
        }
    }

    /// Clients that the holder is counted with; none for other holders.
    pub fn client_group(&self) -> Option<ClientGroup> {
        let Self::ClientBody { account, address } = self else {
            return None;
        };
        Some(match (account, address) {
            (Some(account), _) => ClientGroup::Account(account.clone()),
            (None, Some(address)) => ClientGroup::Address(address.ip()),
            (None, None) => ClientGroup::Unknown,
        })
    }
}
