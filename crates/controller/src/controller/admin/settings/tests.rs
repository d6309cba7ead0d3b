//! Limits of the operators' settings.

use super::*;
use serde_json::json;

#[test]
fn settings_are_checked_and_name_the_field() {
    assert_eq!(
        Tuning::try_from(&TuningRecord::default()),
        Ok(Tuning::default())
    );
    let bad = TuningRecord {
        max_backoff_s: 0.0,
        ..TuningRecord::default()
    };
    let error = Tuning::try_from(&bad).expect_err("too small");
    assert_eq!(error.field, "max_backoff_s");
    assert!(error.to_string().contains("max_backoff_s"));
    let unknown = json!({ "lease_s": 3.0 });
    assert!(TuningRecord::decode(&unknown)
        .expect_err("none")
        .to_string()
        .contains("lease_s"));
}
