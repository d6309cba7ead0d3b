//! In which zones a job's tasks may run.

use crate::job::Job;
use model::ZoneName;
use std::collections::BTreeMap;

/// Whether the job's `one_zone` and `spread_over_zones` allow one more of its tasks in a zone.
pub(crate) fn zone_allowed(
    job: &Job,
    zone: &ZoneName,
    tasks_by_zone: &BTreeMap<ZoneName, u32>,
) -> bool {
    let one_zone_allows = !job.spec.one_zone || tasks_by_zone.keys().all(|used| used == zone);
    let spread_allows = !job.spec.spread_over_zones
        || tasks_by_zone.get(zone).copied().unwrap_or(0) < job.spec.max_tasks_per_zone();
    one_zone_allows && spread_allows
}
