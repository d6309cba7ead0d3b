//! Zone alarms: zones in which a machine has recently left a liveness probe unanswered.

use model::{Timestamp, ZoneName};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long an alarm lasts.
const ZONE_ALARM_DURATION: Duration = Duration::from_secs(6);

/// The time at which the last alarm of each zone was raised.
#[derive(Debug, Default)]
pub(crate) struct ZoneAlarms {
    raised_at: BTreeMap<ZoneName, Timestamp>,
}

impl ZoneAlarms {
    /// Raises the alarm of a zone. An alarm that is still active is not extended.
    pub(crate) fn raise(&mut self, zone: &ZoneName, now: Timestamp) {
        let raised_at = self.raised_at.entry(zone.clone()).or_insert(now);
        if now.duration_since(*raised_at) >= ZONE_ALARM_DURATION {
            *raised_at = now;
        }
    }

    /// Whether the zone has an alarm at present.
    pub(crate) fn is_active(&self, zone: &ZoneName, now: Timestamp) -> bool {
        self.raised_at
            .get(zone)
            .is_some_and(|raised_at| now.duration_since(*raised_at) < ZONE_ALARM_DURATION)
    }
}
