//! Tests that a lowered prepaid total takes effect as soon as it is known.

use toucan_gateway::budget::{
    DrawSettings, GatewayProcess, GrantTable, GrantWriter, OrganisationSnapshot, ReserveError,
    Wallet,
};
use toucan_types::{DocumentVersion, OrganisationName, Tokens, VmName};

fn snapshot(version: u64, prepaid: u64) -> OrganisationSnapshot {
    OrganisationSnapshot {
        may_draw: true,
        config_version: DocumentVersion(version),
        prepaid: Tokens(prepaid),
        waiting: Tokens(500),
        is_holder: true,
        holders: 1,
        others_rate_per_s: 0,
        remaining_accept_ms: None,
    }
}

#[test]
fn reservations_fail_while_more_is_granted_than_the_lowered_total() {
    let organisation = OrganisationName::from("o");
    let writer = GrantWriter::new(GatewayProcess {
        vm: VmName::from("vm"),
        start_id: 1,
    });
    let mut grants = GrantTable::default();
    let mut wallet = Wallet::default();
    let settings = DrawSettings::default();
    let write = |grants: &mut GrantTable, wallet: &mut Wallet, snapshot: &OrganisationSnapshot| {
        let record = writer.decide(&organisation, grants, wallet, snapshot, &settings, 0);
        if let Some(record) = record {
            grants.apply(writer.key(&organisation), Some(record));
        }
        writer.sync_wallet(&organisation, grants, wallet, snapshot);
    };
    write(&mut grants, &mut wallet, &snapshot(1, 1_000));
    wallet
        .reserve(Tokens(400))
        .expect("500 tokens were drawn for waiting calls");

    write(&mut grants, &mut wallet, &snapshot(2, 300));
    assert_eq!(wallet.reserve(Tokens(1)), Err(ReserveError::Frozen));
    assert_eq!(
        grants.granted(&organisation),
        Tokens(400),
        "idle tokens are returned"
    );

    wallet.settle(Tokens(400), Tokens(100), true);
    write(&mut grants, &mut wallet, &snapshot(2, 300));
    write(&mut grants, &mut wallet, &snapshot(2, 300));
    assert_eq!(grants.granted(&organisation), Tokens(300));
    wallet.reserve(Tokens(200)).expect("200 of 300 are left");
    assert!(wallet.reserve(Tokens(1)).is_err());
}

#[test]
fn newer_configuration_of_another_process_takes_precedence() {
    let organisation = OrganisationName::from("o");
    let writer = GrantWriter::new(GatewayProcess {
        vm: VmName::from("a"),
        start_id: 1,
    });
    let mut grants = GrantTable::default();
    let mut wallet = Wallet::default();
    let settings = DrawSettings::default();
    let record = writer
        .decide(
            &organisation,
            &grants,
            &mut wallet,
            &snapshot(7, 600),
            &settings,
            0,
        )
        .expect("500 tokens are drawn for waiting calls");
    grants.apply(writer.key(&organisation), Some(record));

    let configured = (DocumentVersion(6), Tokens(1_000));
    let (version, prepaid) = grants.prepaid(&organisation, configured);
    assert_eq!((version, prepaid), (DocumentVersion(7), Tokens(600)));
}
