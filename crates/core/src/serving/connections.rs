//! Which client connection is closed when there are too many.
//!
//! Connections count for the account of their latest request, and before the first one for
//! the address of their client. The account or address with the most connections gives one
//! up: the one that is without a request the longest. A connection with a request in
//! progress is never closed for another one.

use std::{collections::BTreeMap, net::IpAddr};

use crate::{clock::Instant, ids::AccountId};

/// A client connection, as far as the choice depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connection {
    /// Account of the latest request.
    pub account: Option<AccountId>,
    /// Address of the client.
    pub address: IpAddr,
    /// Time since which no request is in progress; none while one is.
    pub idle_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group<'a> {
    Account(&'a AccountId),
    Address(IpAddr),
}

impl Connection {
    fn group(&self) -> Group<'_> {
        match &self.account {
            Some(account) => Group::Account(account),
            None => Group::Address(self.address),
        }
    }
}

/// Chooses the connection to close for a new one, as an index into `connections`; none if
/// the new one is to be refused.
pub fn choose_to_close(connections: &[Connection]) -> Option<usize> {
    let mut counts: BTreeMap<Group<'_>, usize> = BTreeMap::new();
    for connection in connections {
        *counts.entry(connection.group()).or_default() += 1;
    }
    let idle = connections.iter().enumerate();
    let idle = idle.filter_map(|(index, connection)| {
        let idle_since = connection.idle_since?;
        let count = counts[&connection.group()];
        Some((std::cmp::Reverse(count), idle_since, index))
    });
    idle.min().map(|(_, _, index)| index)
}
