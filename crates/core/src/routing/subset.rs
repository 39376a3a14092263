//! The subset of engines that an instance monitors and routes to.

use std::collections::BTreeMap;

use crate::{
    ids::{DataCentreId, EngineId, InstanceId, ModelId},
    routing::hash,
};

/// Maximum number of engines of one model in an instance's subset.
pub const MAX_SUBSET_ENGINES: usize = 32;

/// Share of a subset that is chosen first, from the engines in the instance's own data
/// centre.
const LOCAL_SHARE: f64 = 0.5;

crate::data_types! {
    /// Properties of an engine that decide whether it is in a subset.
    pub struct SubsetCandidate {
        /// Name of the engine.
        pub id: EngineId,
        /// Model that the engine serves.
        pub model: ModelId,
        /// Data centre of the engine.
        pub data_centre: DataCentreId,
    }
}

/// Chooses the engines that an instance monitors and routes to.
///
/// Each pair of instance and engine has a hash rank that is the same in all processes.
/// An instance chooses the engines with the lowest ranks, half of them from its own
/// data centre. Each engine is therefore in the subsets of about as many instances as
/// any other, and a change of the fleet changes few subsets. If a model has at most
/// [`MAX_SUBSET_ENGINES`] engines, the subset contains all of them.
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
/// let subset = routing::choose_subset(&ids::InstanceId::new("i1"), &ids::DataCentreId::new("dc1"), &engines);
/// assert_eq!(subset.len(), routing::MAX_SUBSET_ENGINES);
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
    let mut subset = Vec::new();
    for mut candidates in by_model.into_values() {
        candidates.sort_by_key(|engine| rank(instance, &engine.id));
        subset.extend(choose_ranked(data_centre, &candidates));
    }
    subset
}

fn choose_ranked(data_centre: &DataCentreId, ranked: &[&SubsetCandidate]) -> Vec<EngineId> {
    let local_limit = (MAX_SUBSET_ENGINES as f64 * LOCAL_SHARE) as usize;
    let local = ranked.iter().filter(|e| &e.data_centre == data_centre);
    let mut chosen: Vec<EngineId> = local.take(local_limit).map(|e| e.id.clone()).collect();
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
