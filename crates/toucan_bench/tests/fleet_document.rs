//! The documents of all profiles are in force after their records are applied.

use test_case::test_case;
use toucan_bench::{FleetDocument, FleetProfile};
use toucan_config::{EditOutcome, ReplayedDocument};
use toucan_types::Offset;

#[test_case("demo")]
#[test_case("co-operative")]
#[test_case("forge")]
fn profile_document_is_accepted(name: &str) {
    let profile = FleetProfile::from_name(name).expect("a known profile");
    let mut replayed = ReplayedDocument::default();
    for (offset, record) in FleetDocument::new(&profile)
        .records(1_000)
        .iter()
        .enumerate()
    {
        let outcome = replayed.apply(Offset(offset as u64), record);
        assert!(
            matches!(outcome, EditOutcome::Accepted { .. }),
            "{outcome:?}"
        );
    }
    let caller = replayed.document().caller_by_key_id("member-0").cloned();
    assert_eq!(
        caller.map(|caller| caller.budget.to_string()).as_deref(),
        Some("member-0-main")
    );
}
