//! Commands against a running fleet.

use toucanctl::Exit;

use super::operated_fleet::{FINANCE, OperatedFleet, write_file};

#[test]
fn edits_keep_comments_and_record_their_author() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let path = "finance.organisations.guild.bridge_ms=60000";
    let edit = [
        "document", "edit", "finance", "--set", path, "--note", "shorter",
    ];
    assert_eq!(fleet.ctl_ok(&edit, "finance"), "in force as version 2\n");
    let text = fleet.ctl_ok(&["document", "get", "finance"], "models");
    assert!(
        text.contains("// Customers.") && text.contains("60000"),
        "{text}"
    );
    let history = fleet.ctl_ok(&["document", "history", "finance"], "models");
    assert!(
        history.contains("ann of finance") && history.contains("shorter"),
        "{history}"
    );
    let diff = fleet.ctl_ok(&["document", "history", "finance", "--diff"], "models");
    assert!(diff.contains("+") && diff.contains("bridge_ms"), "{diff}");
    let blame = fleet.ctl_ok(&["document", "blame", "finance"], "models");
    assert!(
        blame
            .lines()
            .any(|line| line.contains("2") && line.contains("60000")),
        "{blame}"
    );
}

#[test]
fn refusals_have_their_exit_codes() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let set = |path: &'static str| ["document", "edit", "finance", "--set", path];
    let bridge = set("finance.organisations.guild.bridge_ms=1");
    assert_eq!(fleet.ctl(&bridge, "models").code, Exit::Unauthorised);
    assert_eq!(fleet.ctl(&bridge, "nobody").code, Exit::Unauthorised);
    let nobody = set("finance.budgets.guild-main.organisation=nobody");
    let refused = fleet.ctl(&nobody, "finance");
    assert_eq!(refused.code, Exit::Findings);
    assert!(
        refused
            .err
            .contains("`nobody` is not in finance.organisations"),
        "{refused:?}"
    );
    let stale = [bridge.as_slice(), &["--base", "0"]].concat();
    let lost = fleet.ctl(&stale, "finance");
    assert_eq!(lost.code, Exit::LostRace, "{lost:?}");
    assert!(lost.out.contains("bridge_ms"), "{lost:?}");
    let cut = set("finance.budgets.guild-main.purchased_tokens=10");
    let warned = fleet.ctl(&cut, "finance");
    assert_eq!(warned.code, Exit::Warnings);
    assert!(
        warned.err.contains("cut from 1000 to 10 tokens"),
        "{warned:?}"
    );
    let dry = [cut.as_slice(), &["--dry-run"]].concat();
    assert_eq!(fleet.ctl(&dry, "finance").code, Exit::Done);
    let accepted = [cut.as_slice(), &["--accept-warnings"]].concat();
    assert_eq!(
        fleet.ctl_ok(&accepted, "finance"),
        "in force as version 2\n"
    );
    let typo = set("finance.organisations.guild.brigde_ms=1");
    assert_eq!(fleet.ctl(&typo, "finance").code, Exit::Warnings);
    let unknown = ["budget", "show", "nonesuch"];
    assert_eq!(fleet.ctl(&unknown, "finance").code, Exit::NotFound);
    let explain = ["explain", "r-1", "--organisation", "guild"];
    assert_eq!(fleet.ctl(&explain, "finance").code, Exit::NotFound);
}

#[test]
fn top_up_is_idempotent_and_the_statement_balances() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let top_up = [
        "budget",
        "top-up",
        "guild-main",
        "--id",
        "invoice-1",
        "--tokens",
        "500",
    ];
    assert_eq!(fleet.ctl_ok(&top_up, "finance"), "in force as version 2\n");
    assert_eq!(
        fleet.ctl_ok(&top_up, "finance"),
        "applied before; nothing was changed\n"
    );
    fleet.wait_until(|fleet| {
        let statement = fleet.ctl(&["budget", "statement", "guild-main"], "finance");
        statement.out.contains("= purchased   1 500\n")
    });
    let statement = fleet.ctl_ok(
        &["budget", "statement", "guild-main", "--bills", "--json"],
        "finance",
    );
    let value: serde_json::Value = serde_json::from_str(&statement).expect("JSON");
    assert_eq!(value["terms"]["purchased_tokens"], 1500);
    assert_eq!(value["bills"], serde_json::json!([]));
    let shown = fleet.ctl_ok(&["budget", "show", "guild-main"], "finance");
    assert!(shown.contains("1 500"), "{shown}");
}

#[test]
fn explain_shows_steps_and_bill_of_a_request() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let service = fleet.add_service();
    let call = |id: &str| fleet.call_service(0, "/standing", id);
    fleet.wait_until(|_| call("r-1").status == 200);
    assert_eq!(call("r-2").status, 200);
    assert!(service.runs().len() >= 2);
    let explain = ["explain", "r-2", "--organisation", "guild"];
    // The bill is appended to the log shortly after the response is sent.
    fleet.wait_until(|fleet| {
        let text = fleet.ctl(&explain, "models").out;
        text.contains("billed 5 tokens to guild-main")
    });
    let text = fleet.ctl_ok(&explain, "models");
    for step in ["received", "admitted", "ended"] {
        assert!(text.contains(step), "{text}");
    }
    let bills = fleet.ctl_ok(&["budget", "statement", "guild-main", "--bills"], "models");
    assert!(
        bills.lines().filter(|line| line.ends_with(" 5")).count() >= 2,
        "{bills}"
    );
    let denied = fleet.call_service(0, "/elsewhere", "");
    assert_eq!(denied.status, 200, "an id is given to a call without one");
    let budgets = fleet.ctl_ok(&["budget", "list"], "models");
    assert!(budgets.contains("guild-main"), "{budgets}");
}

#[test]
fn release_requires_confirmation_and_the_operations_key() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let release = ["fleet", "release", "00000000000000aa"];
    assert_eq!(fleet.ctl(&release, "operations").code, Exit::Usage);
    let sure = [release.as_slice(), &["--vm-is-destroyed"]].concat();
    assert_eq!(fleet.ctl(&sure, "finance").code, Exit::Unauthorised);
    let nothing = fleet.ctl_ok(&sure, "operations");
    assert_eq!(nothing, "release written for 0 shards at 1 nodes\n");
}

#[test]
fn list_commands_show_the_document_and_the_fleet() {
    let fleet = OperatedFleet::with_document(&["a", "a"]);
    let organisations = fleet.ctl_ok(&["organisation", "list"], "finance");
    assert!(organisations.contains("guild-main"), "{organisations}");
    let services = fleet.ctl_ok(&["service", "list"], "finance");
    assert!(services.contains("register  plain"), "{services}");
    assert_eq!(
        fleet.ctl_ok(&["model", "list"], "finance").lines().count(),
        1
    );
    fleet.wait_until(|fleet| {
        let targets = fleet.ctl(&["target", "list"], "operations");
        targets.out.contains("127.0.0.1:9")
    });
    fleet.ctl_ok(&["target", "drain", "r1"], "operations");
    fleet.wait_until(|fleet| {
        let targets = fleet.ctl(&["target", "list"], "operations").out;
        targets
            .lines()
            .any(|line| line.starts_with("r1") && line.contains("yes"))
    });
    assert_eq!(
        fleet.ctl(&["target", "drain", "r1"], "finance").code,
        Exit::Unauthorised
    );
    fleet.ctl_ok(&["target", "drain", "r1", "--undo"], "operations");
    fleet.wait_until(|fleet| {
        let status = fleet.ctl(&["fleet", "status", "--json"], "operations").out;
        let value: serde_json::Value = serde_json::from_str(&status).unwrap_or_default();
        let vms = value["vms"].as_array().cloned().unwrap_or_default();
        vms.len() == 2 && vms.iter().all(|vm| vm["versions"]["operations"] == 4)
    });
    let state = fleet.ctl_ok(&["state"], "finance");
    assert!(state.contains("\"membership\""), "{state}");
}

#[test]
fn diff_compares_a_file_with_the_section_in_force() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let changed = write_file("changed.jsonc", &FINANCE.replace("1000", "2000"));
    let diff = fleet.ctl_ok(&["document", "diff", "finance", &changed], "finance");
    assert!(diff.contains(
        "-    \"guild-main\": { \"organisation\": \"guild\", \"purchased_tokens\": 1000"
    ));
    assert!(!diff.contains('\u{1b}'));
}

#[test]
fn bootstrap_keys_are_disabled_by_the_first_key_of_their_team() {
    let fleet = OperatedFleet::with_document(&["a"]);
    let new = fleet.ctl_ok(&["key", "new", "bob", "--json"], "finance");
    let key: serde_json::Value = serde_json::from_str(&new).expect("JSON");
    let entry = serde_json::json!({
        "team": "finance", "author": "bob", "salt": key["salt"], "hash": key["hash"],
    });
    let set = format!("operations.team_keys.bob={entry}");
    fleet.ctl_ok(
        &["document", "edit", "operations", "--set", &set],
        "operations",
    );
    assert_eq!(
        fleet.ctl(&["document", "get"], "finance").code,
        Exit::Unauthorised
    );
    fleet.ctl_ok(&["document", "get"], "models");
}
