//! Tests of the relays (blocked, silent) and of the addresses and lag of the VM list.

use std::time::Duration;

use crate::support::get;
use http::StatusCode;
use toucan_platform::formats::{LogStreamState, VmKind, VmList, VmState};
use toucan_standins::{Link, LinkState, LogStandin, Platform, PlatformSettings};

const STREAM_PATH: &str = "/streams/document";

#[tokio::test]
async fn a_blocked_link_holds_data_back_until_it_is_open() {
    let log = LogStandin::start(1).await.unwrap();
    let link = Link::start(log.address()).await.unwrap();
    link.set_state(LinkState::Blocked);
    let address = link.address();
    let mut call = tokio::spawn(async move { get::<LogStreamState>(address, STREAM_PATH).await });
    let early = tokio::time::timeout(Duration::from_millis(50), &mut call).await;
    assert!(early.is_err());
    link.set_state(LinkState::Open);
    assert_eq!(call.await.unwrap().0, StatusCode::OK);
}

#[tokio::test]
async fn silenced_connections_stay_silent_while_new_ones_work() {
    let log = LogStandin::start(1).await.unwrap();
    let link = Link::start(log.address()).await.unwrap();
    link.set_state(LinkState::Blocked);
    let address = link.address();
    let mut old = tokio::spawn(async move { get::<LogStreamState>(address, STREAM_PATH).await });
    while link.connections() == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    link.silence_connections();
    link.set_state(LinkState::Open);
    let (status, _) = get::<LogStreamState>(address, STREAM_PATH).await;
    assert_eq!(status, StatusCode::OK);
    let silent = tokio::time::timeout(Duration::from_millis(50), &mut old).await;
    assert!(silent.is_err());
}

#[tokio::test]
async fn each_data_centre_sees_its_own_relay_and_the_list_lags() {
    let settings = PlatformSettings {
        vm_list_lag_ms: 0,
        ..PlatformSettings::default()
    };
    let platform = Platform::start(settings).await.unwrap();
    let peer = platform.log.address();
    platform
        .add_vm(VmKind::Router, "dc-a", "vm-1", "vm-1-first", None, peer)
        .await
        .unwrap();
    let mut addresses = Vec::new();
    for data_centre in platform.data_centres() {
        let (_, list): (_, VmList) = get(data_centre.vm_list.address(), "/vms").await;
        addresses.push(list.vms[0].address.clone());
    }
    assert_ne!(addresses[0], addresses[1]);
    platform.vm_list.set_lag_ms(60_000);
    platform.remove_vm("vm-1-first");
    let view = platform.data_centres()[0].vm_list.address();
    let (_, list): (_, VmList) = get(view, "/vms").await;
    assert!(list.vms.is_empty(), "a minute ago the VM was not there");
    platform.vm_list.set_lag_ms(0);
    let (_, list): (_, VmList) = get(view, "/vms").await;
    assert_eq!(list.vms[0].state, VmState::Gone);
}
