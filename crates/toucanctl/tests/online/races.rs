//! Edits through several nodes, and with log faults.

use toucanctl::Exit;

use super::operated_fleet::OperatedFleet;

#[test]
fn exactly_one_of_concurrent_edits_wins() {
    let fleet = OperatedFleet::with_document(&["a", "a", "b"]);
    for round in 1..=5 {
        let base = round.to_string();
        let reports = std::thread::scope(|scope| {
            let editors: Vec<_> = (0..3)
                .map(|node| {
                    let (fleet, base) = (&fleet, base.as_str());
                    scope.spawn(move || {
                        let set = format!("finance.organisations.guild.bridge_ms={node}");
                        let edit = ["document", "edit", "finance", "--set", &set, "--base", base];
                        fleet.ctl_at(&[node], &edit, "finance")
                    })
                })
                .collect();
            let reports = editors
                .into_iter()
                .map(|editor| editor.join().expect("no panic"));
            reports.collect::<Vec<_>>()
        });
        let won = reports
            .iter()
            .filter(|report| report.code == Exit::Done)
            .count();
        let lost = reports
            .iter()
            .filter(|report| report.code == Exit::LostRace)
            .count();
        assert_eq!((won, lost), (1, 2), "{reports:?}");
    }
    fleet.wait_until(|fleet| (0..3).all(|node| fleet.version(node, "finance") == 6));
    let text = |node| fleet.ctl_at(&[node], &["document", "get"], "finance").out;
    assert_eq!(text(0), text(1));
    assert_eq!(text(0), text(2));
}

#[test]
fn lost_append_response_is_resolved_by_reading_the_log() {
    let fleet = OperatedFleet::with_document(&["a"]);
    fleet.platform.log.set_response_loss_permille(1000);
    let set = "finance.organisations.guild.bridge_ms=7";
    let edit = [
        "document",
        "edit",
        "finance",
        "--set",
        set,
        "--edit-id",
        "e1",
    ];
    assert_eq!(fleet.ctl_ok(&edit, "finance"), "in force as version 2\n");
    // The same edit again, as by an editor who got no response.
    assert_eq!(fleet.ctl_ok(&edit, "finance"), "in force as version 2\n");
    assert_eq!(fleet.version(0, "finance"), 2);
}

#[test]
fn edit_without_the_log_changes_nothing() {
    let fleet = OperatedFleet::with_document(&["a"]);
    fleet.platform.log.set_down(true);
    let set = "finance.organisations.guild.bridge_ms=7";
    let report = fleet.ctl(&["document", "edit", "finance", "--set", set], "finance");
    assert_eq!(report.code, Exit::Unavailable, "{report:?}");
    fleet.platform.log.set_down(false);
    fleet.ctl_ok(&["document", "edit", "finance", "--set", set], "finance");
    assert_eq!(fleet.version(0, "finance"), 2);
}

#[test]
fn edit_reaches_a_data_centre_without_platform_access() {
    let fleet = OperatedFleet::with_document(&["a", "b"]);
    fleet.platform.set_platform_partition("b", true);
    let set = "finance.organisations.guild.bridge_ms=7";
    let edit = ["document", "edit", "finance", "--set", set];
    assert_eq!(fleet.ctl_at(&[0], &edit, "finance").code, Exit::Done);
    fleet.wait_until(|fleet| fleet.version(1, "finance") == 2);
    fleet.platform.set_platform_partition("b", false);
    assert_eq!(fleet.ctl_at(&[1], &edit, "finance").code, Exit::Done);
    fleet.wait_until(|fleet| (0..2).all(|node| fleet.version(node, "finance") == 3));
}
