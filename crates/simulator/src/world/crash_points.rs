//! Crash points: a controller crashes just before an effect that others could observe.

use std::collections::HashMap;

/// Counts the observable effects of a controller until the one before which it crashes.
#[derive(Debug)]
struct CrashPoint {
    effects_seen: u64,
    crash_at_effect: u64,
}

/// The pending crash point of each controller that has one.
#[derive(Debug, Default)]
pub(super) struct CrashPoints(HashMap<usize, CrashPoint>);

impl CrashPoints {
    /// Lets a controller crash before its nth observable effect from now on.
    pub(super) fn set(&mut self, controller: usize, nth: u64) {
        let point = CrashPoint {
            effects_seen: 0,
            crash_at_effect: nth,
        };
        self.0.insert(controller, point);
    }

    /// Whether a controller has a crash point.
    pub(super) fn is_set(&self, controller: usize) -> bool {
        self.0.contains_key(&controller)
    }

    /// Counts an observable effect of a controller. Returns true, and removes the crash point, if the controller
    /// crashes before this effect.
    pub(super) fn reaches_crash(&mut self, controller: usize) -> bool {
        let Some(point) = self.0.get_mut(&controller) else {
            return false;
        };
        point.effects_seen += 1;
        if point.effects_seen < point.crash_at_effect {
            return false;
        }
        self.0.remove(&controller);
        true
    }
}
