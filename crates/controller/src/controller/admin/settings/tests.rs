//! Validation of the run-time settings.

use super::*;
use serde_json::json;

#[test]
fn invalid_settings_are_rejected_with_the_name_of_the_field() {
    assert_eq!(
        Tuning::try_from(&TuningRecord::default()),
        Ok(Tuning::default())
    );
    let below_initial_backoff = TuningRecord {
        max_backoff_s: 0.0,
        ..TuningRecord::default()
    };
    let error = Tuning::try_from(&below_initial_backoff)
        .expect_err("max_backoff_s is below initial_backoff_s");
    assert_eq!(error.field, "max_backoff_s");
    assert!(error.to_string().contains("max_backoff_s"));
    let unknown_field = json!({ "lease_s": 3.0 });
    assert!(TuningRecord::decode(&unknown_field)
        .expect_err("lease_s is not a run-time setting")
        .to_string()
        .contains("lease_s"));
}
