//! A lower total binds as soon as it is known.

use toucan_gateway::budget::{
    DrawSettings, GatewayProcess, GrantTable, GrantWriter, OrganisationSnapshot, ReserveError,
    Wallet,
};
use toucan_types::{DocumentVersion, OrganisationName, Tokens, VmName};

fn view(version: u64, prepaid: u64) -> OrganisationSnapshot {
    OrganisationSnapshot {
        config_version: DocumentVersion(version),
        prepaid: Tokens(prepaid),
        waiting: Tokens(500),
        processes: 1,
        others_rate_per_s: 0,
        remaining_accept_ms: None,
    }
}

#[test]
fn nothing_is_reserved_while_more_is_granted_than_the_new_total() {
    let organisation = OrganisationName::from("o");
    let writer = GrantWriter::new(GatewayProcess {
        vm: VmName::from("vm"),
        start_id: 1,
    });
    let mut book = GrantTable::default();
    let mut wallet = Wallet::default();
    let settings = DrawSettings::default();
    let write = |book: &mut GrantTable, wallet: &mut Wallet, view: &OrganisationSnapshot| {
        let record = writer.decide(&organisation, book, wallet, view, &settings, 0);
        if let Some(record) = record {
            book.apply(writer.key(&organisation), Some(record));
        }
        writer.sync_wallet(&organisation, book, wallet);
    };
    write(&mut book, &mut wallet, &view(1, 1_000));
    wallet.reserve(Tokens(400)).expect("500 were waited for");

    write(&mut book, &mut wallet, &view(2, 300));
    assert_eq!(wallet.reserve(Tokens(1)), Err(ReserveError::Frozen));
    assert_eq!(
        book.granted(&organisation),
        Tokens(400),
        "idle tokens go back"
    );

    wallet.settle(Tokens(400), Tokens(100), true);
    write(&mut book, &mut wallet, &view(2, 300));
    write(&mut book, &mut wallet, &view(2, 300));
    assert_eq!(book.granted(&organisation), Tokens(300));
    wallet.reserve(Tokens(200)).expect("200 of 300 are left");
    assert!(wallet.reserve(Tokens(1)).is_err());
}

#[test]
fn a_newer_configuration_of_another_process_goes_first() {
    let organisation = OrganisationName::from("o");
    let newer = GrantWriter::new(GatewayProcess {
        vm: VmName::from("a"),
        start_id: 1,
    });
    let mut book = GrantTable::default();
    let mut wallet = Wallet::default();
    let settings = DrawSettings::default();
    let record = newer
        .decide(
            &organisation,
            &book,
            &mut wallet,
            &view(7, 600),
            &settings,
            0,
        )
        .expect("500 are waited for");
    book.apply(newer.key(&organisation), Some(record));

    let configured = (DocumentVersion(6), Tokens(1_000));
    let (version, prepaid) = book.prepaid(&organisation, configured);
    assert_eq!((version, prepaid), (DocumentVersion(7), Tokens(600)));
}
