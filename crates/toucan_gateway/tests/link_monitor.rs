//! Tests of whether failed connects are blamed on targets or on the link of the gateway.

use std::net::SocketAddrV4;

use toucan_gateway::{
    config::TargetEntry,
    overload::{ConnectResult, LinkMonitor},
    placement::{CallOutcome, TargetTable},
};
use toucan_types::{DataCentreName, ServiceName, SoftwareVersion, TargetName};

/// Monitor with the targets of a deployment, five in each data centre.
#[derive(Default)]
struct Fixture {
    monitor: LinkMonitor,
}

fn name(data_centre: &str, at: usize) -> TargetName {
    TargetName::from(format!("{data_centre}-{at}").as_str())
}

fn entry(data_centre: &str, at: usize) -> TargetEntry {
    TargetEntry {
        name: name(data_centre, at),
        service: ServiceName::from("s"),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        data_centre: DataCentreName::from(data_centre),
        software_version: SoftwareVersion::from("v1"),
        slots: 64,
        draining: false,
        cold_ms: 0,
        started_at_unix_ms: 1,
    }
}

impl Fixture {
    fn connect(
        &mut self,
        data_centre: &str,
        at: usize,
        result: ConnectResult,
        took_ms: u64,
        now_ms: u64,
    ) -> bool {
        let target = name(data_centre, at);
        let data_centre = DataCentreName::from(data_centre);
        self.monitor
            .record_connect(&target, &data_centre, result, took_ms, now_ms)
    }

    fn time_out(&mut self, data_centre: &str, at: usize, now_ms: u64) -> bool {
        let timeout_ms = self.monitor.connect_timeout_ms(10_000, now_ms);
        self.connect(
            data_centre,
            at,
            ConnectResult::TimedOut,
            timeout_ms,
            now_ms + timeout_ms,
        )
    }

    fn respond(&mut self, data_centre: &str, at: usize, took_ms: u64, now_ms: u64) {
        let target = name(data_centre, at);
        let data_centre = DataCentreName::from(data_centre);
        self.monitor
            .record_response(&target, &data_centre, took_ms, now_ms);
    }

    fn with_saturated_link() -> Self {
        let mut fixture = Self::default();
        for at in 0..3 {
            fixture.time_out("a", at, 100);
            fixture.time_out("b", at, 100);
        }
        assert!(fixture.monitor.is_local_fault());
        fixture
    }
}

/// Fails if a saturated link makes a gateway avoid targets, or give up before a SYN is retransmitted.
#[test]
fn timeouts_at_targets_of_all_data_centres_are_blamed_on_the_link() {
    let mut fixture = Fixture::default();
    for at in 0..2 {
        fixture.respond("a", at, 40, 100);
    }
    let mut table = TargetTable::default();
    for at in 0..5 {
        for data_centre in ["a", "b", "c"] {
            table.register(entry(data_centre, at), 0);
        }
    }
    let mut blamed_on_targets = 0;
    for at in 0..5 {
        for data_centre in ["a", "b", "c"] {
            let now_ms = 4_000 + at as u64 * 100;
            let is_local = fixture.time_out(data_centre, at, now_ms);
            blamed_on_targets += u32::from(!is_local);
            let outcome = if is_local {
                CallOutcome::LocalFault
            } else {
                CallOutcome::NotConnected
            };
            table.record_outcome(&name(data_centre, at), outcome, now_ms);
            table.excuse_failed_connects(&fixture.monitor.take_excused());
        }
    }
    assert_eq!(blamed_on_targets, 3);
    assert_eq!(fixture.monitor.connect_timeout_ms(10_000, 4_500), 1_400);
    // A connect does not outlast the call.
    assert_eq!(fixture.monitor.connect_timeout_ms(600, 4_500), 600);
    for target in table.iter() {
        assert!(!table.is_avoided(target, 4_500), "{:?}", target.entry.name);
        assert!(target.failures.failure_rate() < 1e-9, "{target:?}");
    }
}

/// Fails if a data centre that is cut off is no longer avoided, whatever is known of the others.
#[test]
fn timeouts_at_targets_of_a_cut_off_data_centre_are_blamed_on_them() {
    for others_are_in_use in [false, true] {
        let mut fixture = Fixture::default();
        for round in 0..5 {
            let now_ms = 1_000 + 300 * round;
            if others_are_in_use {
                fixture.connect("b", 0, ConnectResult::Connected, 3, now_ms);
                fixture.respond("c", 0, 80, now_ms);
            }
            for at in 0..5 {
                assert!(!fixture.time_out("a", at, now_ms), "{others_are_in_use}");
            }
        }
    }
}

/// Fails if a gateway of a data centre that is cut off takes the two others for its own link.
#[test]
fn own_data_centre_in_reach_shows_that_the_link_works() {
    let mut fixture = Fixture::default();
    // Calls go over connections that stay open, and engines are too busy for a quick first event.
    fixture.respond("a", 0, 60, 1_000);
    for at in 0..5 {
        let now_ms = 5_000 + 100 * at as u64;
        fixture.respond("a", at, 900, now_ms);
        assert!(!fixture.time_out("b", at, now_ms));
        assert!(!fixture.time_out("c", at, now_ms));
    }
}

/// Fails if targets whose processes died are taken for a fault of the link.
#[test]
fn refused_connects_and_quick_answers_of_most_targets_clear_the_link() {
    let mut fixture = Fixture::with_saturated_link();
    fixture.connect("a", 3, ConnectResult::Refused, 2, 400);
    assert!(!fixture.monitor.is_local_fault());

    let mut fixture = Fixture::with_saturated_link();
    for at in 3..5 {
        fixture.respond("a", at, 100, 400);
        fixture.respond("b", at, 100, 400);
    }
    assert!(!fixture.monitor.is_local_fault());
    assert_eq!(fixture.monitor.connect_timeout_ms(10_000, 400), 250);
}

/// Fails if silent targets attract all calls, because the failures of the link excuse theirs without end.
#[test]
fn target_that_stays_silent_while_others_answer_is_blamed() {
    let mut fixture = Fixture::with_saturated_link();
    assert!(fixture.time_out("a", 4, 400));
    fixture.connect("a", 0, ConnectResult::Connected, 900, 2_000);
    fixture.connect("b", 0, ConnectResult::Connected, 900, 2_000);
    for at in 1..4 {
        fixture.time_out("b", at, 1_000);
        fixture.time_out("a", at, 1_000);
    }
    assert!(fixture.monitor.is_local_fault());
    assert!(!fixture.time_out("a", 4, 2_100));
}

/// Fails if a verdict outlives its evidence, for example after all calls have stopped.
#[test]
fn link_is_no_longer_blamed_once_the_evidence_is_old() {
    let mut fixture = Fixture::with_saturated_link();
    assert_eq!(fixture.monitor.connect_timeout_ms(10_000, 3_351), 250);
    assert!(!fixture.monitor.is_local_fault());
}
