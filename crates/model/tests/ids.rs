//! Text form of ids.

use model::{JobId, TaskId};

#[test]
fn ids_have_one_canonical_form() {
    assert_eq!(JobId::parse("j-000412"), Some(JobId(412)));
    assert_eq!(JobId(412).to_string(), "j-000412");
    assert_eq!(JobId::parse("j-1000000"), Some(JobId(1_000_000)));
    for invalid in [
        "",
        "j-",
        "j-12",
        "j-0000412",
        "k-000412",
        "j-00041x",
        "j-+00412",
        "j-000412/1",
    ] {
        assert_eq!(JobId::parse(invalid), None, "{invalid}");
    }
    assert_eq!(
        TaskId::parse("j-000412/3"),
        Some(TaskId {
            job: JobId(412),
            index: 3
        })
    );
    assert_eq!(TaskId::parse("j-000412/"), None);
}
