//! Sizes of draws and how the ledger grants them.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use support::{Stream, budget};
use test_case::test_case;
use toucan_ledger::{AdaptiveDraw, DrawPolicy, DrawView, EvenSplit, ReserveError};
use toucan_types::Tokens;

const BRIDGE_MS: u64 = 60_000;

/// Returns the state of a mostly unspent budget on one of four equal nodes; it spends 100 tokens/s.
fn view() -> DrawView {
    DrawView {
        max_request_tokens: Tokens(200),
        rate_tokens_per_s: 100.0,
        long_rate_tokens_per_s: 100.0,
        fleet_rate_tokens_per_s: 400.0,
        purchased_tokens: Tokens(1_000_000),
        remaining_tokens: Tokens(900_000),
        holder_count: 4,
        nodes: 4,
        bridge_ms: BRIDGE_MS,
        ..DrawView::default()
    }
}

fn draw(view: &DrawView) -> u64 {
    AdaptiveDraw::default().decide(view).draw_tokens.0
}

#[test]
fn a_longer_bridge_time_increases_the_draw() {
    assert_eq!(draw(&view()), 15_000);
    assert_eq!(
        draw(&DrawView {
            bridge_ms: 2 * BRIDGE_MS,
            ..view()
        }),
        30_000
    );
}

#[test]
fn a_draw_is_limited_to_the_nodes_share_of_the_unspent_tokens() {
    let nearly_spent = DrawView {
        spent_tokens: Tokens(990_000),
        ..view()
    };
    assert_eq!(draw(&nearly_spent), 10_000 * 8 / 10 / 4);
}

#[test_case(0, 500; "while the log is read back")]
#[test_case(10_000, 0; "not while nothing is read back")]
fn a_grant_too_small_for_a_request_is_returned(staleness_ms: u64, returned: u64) {
    let view = DrawView {
        spent_tokens: Tokens(999_500),
        available_tokens: Tokens(500),
        staleness_ms,
        ..view()
    };
    assert_eq!(
        AdaptiveDraw::default().decide(&view).return_tokens.0,
        returned
    );
}

#[test]
fn an_idle_grant_is_returned() {
    let idle = DrawView {
        available_tokens: Tokens(700),
        idle_ms: 3_600_000,
        ..view()
    };
    assert_eq!(
        AdaptiveDraw::default().decide(&idle).return_tokens,
        Tokens(700)
    );
}

#[test]
fn an_idle_grant_is_kept_while_the_offset_does_not_advance() {
    let mut stream = Stream::new(1_000);
    let mut holder = stream.announced_wallet(1, "i-1", 600);
    let tick = |holder: &mut toucan_ledger::Wallet, now_ms| {
        holder.tick(&AdaptiveDraw::default(), 2, |_| BRIDGE_MS, now_ms);
        holder.available(&budget())
    };
    stream.now_ms += 3_600_000;
    stream.read_back(&mut holder);
    assert_eq!(
        tick(&mut holder, stream.now_ms),
        Tokens(600),
        "the offset has not advanced"
    );
    stream.append(vec![support::fund(2, 2_000)]);
    stream.read_back(&mut holder);
    assert_eq!(tick(&mut holder, stream.now_ms), Tokens::ZERO);
}

#[test]
fn a_draw_below_its_minimum_is_denied_and_takes_no_tokens() {
    let mut stream = Stream::new(1_000);
    let mut first = stream.announced_wallet(1, "i-1", 700);
    let mut second = stream.announced_wallet(2, "i-2", 0);
    second.record_demand(&budget(), Tokens(400), stream.now_ms);
    second.tick(&EvenSplit, 2, |_| BRIDGE_MS, stream.now_ms);
    stream.sync(&mut second);
    assert_eq!(second.available(&budget()), Tokens::ZERO);
    assert_eq!(
        stream.ledger.account(&budget()).unwrap().remaining_tokens,
        Tokens(300)
    );
    // Another node holds unspent tokens: the caller is not told that the budget is spent.
    let refusal = second.refusal(&budget(), Tokens(400));
    assert_eq!(
        refusal,
        ReserveError::NoGrant {
            missing_tokens: Tokens(400)
        }
    );

    let reservation = first
        .reserve(&budget(), Tokens(700), stream.now_ms)
        .unwrap();
    first.settle(
        reservation,
        toucan_types::BillId(1),
        Tokens(700),
        stream.now_ms,
    );
    stream.sync(&mut first);
    let update = stream
        .ledger
        .update(second.incarnation(), &[budget()])
        .unwrap();
    second.update(&update, stream.now_ms);
    let refusal = second.refusal(&budget(), Tokens(400));
    assert_eq!(
        refusal,
        ReserveError::Spent {
            unspent_tokens: Tokens(300)
        }
    );
}
