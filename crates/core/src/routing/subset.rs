//! Which engines an instance watches.

use std::collections::BTreeMap;

use crate::{
    ids::{DataCentreId, EngineId, InstanceId, ModelId},
    routing::hash,
};

/// Engines of one model that an instance watches at most.
pub const MAX_SUBSET_ENGINES: usize = 32;

/// Share of them that are taken from the instance's own data centre first.
const NEAR_SHARE: f64 = 0.5;

crate::data_types! {
    /// An engine as far as the choice of a subset needs it.
    pub struct SubsetCandidate {
        /// Its name.
        pub id: EngineId,
        /// Model that it serves.
        pub model: ModelId,
        /// Where it stands.
        pub data_centre: DataCentreId,
    }
}

/// Chooses the engines that an instance watches and routes to.
///
/// Each pair of instance and engine has a rank that all processes agree on. An
/// instance takes the engines with its lowest ranks, half of them from its own
/// data centre, so each engine is watched by about as many instances as any
/// other, and a change of the fleet changes few choices. Fleets of up to
/// [`MAX_WATCHED`] engines are watched whole.
///
/// # Example
///
/// ```
/// use cyclamengauge_core::{ids, routing};
///
/// let engine = |i| routing::SubsetCandidate {
///     id: ids::EngineId::new(format!("e{i}")),
///     model: ids::ModelId::new("m"),
///     data_centre: ids::DataCentreId::new("dc1"),
/// };
/// let engines: Vec<_> = (0..100).map(engine).collect();
/// let watched = routing::choose_subset(&ids::InstanceId::new("i1"), &ids::DataCentreId::new("dc1"), &engines);
/// assert_eq!(watched.len(), routing::MAX_SUBSET_ENGINES);
/// ```
pub fn choose_subset(
    instance: &InstanceId,
    data_centre: &DataCentreId,
    engines: &[SubsetCandidate],
) -> Vec<EngineId> {
    let mut by_model: BTreeMap<&ModelId, Vec<&SubsetCandidate>> = BTreeMap::new();
    for engine in engines {
        by_model.entry(&engine.model).or_default().push(engine);
    }
    let mut chosen = Vec::new();
    for mut candidates in by_model.into_values() {
        candidates.sort_by_key(|engine| rank(instance, &engine.id));
        chosen.extend(choose(data_centre, &candidates));
    }
    chosen
}

fn choose(data_centre: &DataCentreId, ranked: &[&SubsetCandidate]) -> Vec<EngineId> {
    let near_places = (MAX_SUBSET_ENGINES as f64 * NEAR_SHARE) as usize;
    let near = ranked.iter().filter(|e| &e.data_centre == data_centre);
    let mut chosen: Vec<EngineId> = near.take(near_places).map(|e| e.id.clone()).collect();
    for engine in ranked {
        if chosen.len() >= MAX_SUBSET_ENGINES {
            break;
        }
        if !chosen.contains(&engine.id) {
            chosen.push(engine.id.clone());
        }
    }
    chosen
}

fn rank(instance: &InstanceId, engine: &EngineId) -> u64 {
    hash::fmix64(hash::fnv1a(instance.as_str()) ^ hash::fnv1a(engine.as_str()))
}
