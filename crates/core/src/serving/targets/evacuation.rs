//! Data centres that operators have evacuated: their targets get no new requests.
//!
//! The rows in the operators' table decide. Instances that read them tell their peers the
//! complete set and the version of the store at which it was read; the latest version counts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{clock::Instant, ids::DataCentreId, serving::target_list::ListVersion};

/// Time for which an evacuation stays in force that is missing in an older copy from which
/// the store has come back.
const LOST_ROW_RETENTION: Duration = Duration::from_secs(120);

/// Most evacuated data centres that are kept. The set is part of every message to peers.
pub const MAX_EVACUATED: usize = 64;

/// Longest name of an evacuated data centre, in bytes.
pub const MAX_NAME_BYTES: usize = 100;

crate::data_types! {
    /// The evacuated data centres at a version of the store.
    #[derive(Default)]
    pub struct EvacuationReport {
        /// Version at which they were read.
        pub version: ListVersion,
        /// The data centres.
        pub evacuated: BTreeSet<DataCentreId>,
    }

    /// Start or end of an evacuation.
    pub struct EvacuationChange {
        /// The data centre.
        pub data_centre: DataCentreId,
        /// Whether it is evacuated from now on.
        pub is_evacuated: bool,
    }
}

/// The evacuated data centres, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    /// Latest state of the rows; none before they were read here or at a peer.
    report: Option<EvacuationReport>,
    /// Data centres whose rows an older copy of the store lacks, and the time until which
    /// they count as evacuated all the same.
    lost_until: BTreeMap<DataCentreId, Instant>,
    /// Latest ends of evacuations.
    ended_at: BTreeMap<DataCentreId, Instant>,
}

impl Evacuations {
    /// Whether the targets of a data centre get no new requests.
    pub fn is_evacuated(&self, data_centre: &DataCentreId, now: Instant) -> bool {
        let report = self.report.as_ref();
        report.is_some_and(|report| report.evacuated.contains(data_centre))
            || self.is_lost(data_centre, now)
    }

    fn is_lost(&self, data_centre: &DataCentreId, now: Instant) -> bool {
        let until = self.lost_until.get(data_centre);
        until.is_some_and(|until| now < *until)
    }

    /// Time at which the latest evacuation of a data centre ended.
    pub fn ended_at(&self, data_centre: &DataCentreId) -> Option<Instant> {
        let lost_until = self.lost_until.get(data_centre).copied();
        self.ended_at.get(data_centre).copied().max(lost_until)
    }

    /// The latest state, for the peers; none before it was read here or at a peer.
    pub fn report(&self) -> Option<&EvacuationReport> {
        self.report.as_ref()
    }

    /// All evacuated data centres.
    pub fn evacuated(&self, now: Instant) -> BTreeSet<DataCentreId> {
        let listed = self.report.iter().flat_map(|report| &report.evacuated);
        let lost = self
            .lost_until
            .keys()
            .filter(|name| self.is_lost(name, now));
        listed.chain(lost).cloned().collect()
    }

    /// Applies the rows that a read of the store has shown: changes since an earlier
    /// version, or all rows if `is_complete`. Each row says whether its data centre is
    /// evacuated. What is older than the known state has no effect.
    pub fn apply(
        &mut self,
        version: ListVersion,
        is_complete: bool,
        rows: &[EvacuationChange],
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let known = self.report.as_ref().filter(|_| !is_complete);
        let mut evacuated = known.map_or_else(BTreeSet::new, |known| known.evacuated.clone());
        for row in rows {
            match row.is_evacuated {
                true if evacuated.len() < MAX_EVACUATED => {
                    evacuated.insert(row.data_centre.clone());
                }
                true => {}
                false => {
                    evacuated.remove(&row.data_centre);
                }
            }
        }
        self.merge(EvacuationReport { version, evacuated }, now)
    }

    /// Applies the state that a peer knows, or that was read here, if it is newer than the
    /// known one. Returns the changes.
    pub fn merge(&mut self, report: EvacuationReport, now: Instant) -> Vec<EvacuationChange> {
        let known = self.report.as_ref();
        if known.is_some_and(|known| report.version <= known.version) {
            return Vec::new();
        }
        let before = self.evacuated(now);
        if let Some(known) = self.report.take()
            && known.version.era < report.version.era
        {
            // The store may have lost rows that were acknowledged.
            let lost = known.evacuated.difference(&report.evacuated);
            for data_centre in lost {
                self.lost_until
                    .insert(data_centre.clone(), now + LOST_ROW_RETENTION);
            }
        }
        for data_centre in &report.evacuated {
            // Its row is there again, so its removal counts.
            self.lost_until.remove(data_centre);
        }
        self.report = Some(report);
        let after = self.evacuated(now);
        let change = |is_evacuated| {
            move |data_centre: &DataCentreId| EvacuationChange {
                data_centre: data_centre.clone(),
                is_evacuated,
            }
        };
        let started = after.difference(&before).map(change(true));
        let ended = before.difference(&after).map(change(false));
        let changes: Vec<EvacuationChange> = started.chain(ended).collect();
        for change in &changes {
            match change.is_evacuated {
                true => self.ended_at.remove(&change.data_centre),
                false => self.ended_at.insert(change.data_centre.clone(), now),
            };
        }
        changes
    }
}
