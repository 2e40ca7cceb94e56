//! Threads that share a wallet and a log, in many interleavings.
#![allow(clippy::unwrap_used, reason = "a failed test may panic")]

mod support;

use shuttle::rand::{Rng, thread_rng};
use shuttle::sync::{Arc, Mutex};
use shuttle::thread;
use support::{budget, fund, wallet};
use toucan_ledger::{
    AppendOutcome, FenceEvidence, Ledger, LedgerRecord, LedgerSettings, RecordBatch, RecordBatcher,
    RecordBatcherSettings, ReserveError, Wallet,
};
use toucan_types::{BillId, IncarnationId, Offset, Tokens};

const SCHEDULES: usize = 500;
const TOTAL: u64 = 1_000;
const COST: u64 = 70;
const RESERVE: u64 = 100;

type Log = Arc<Mutex<Vec<Vec<u8>>>>;

fn settings() -> RecordBatcherSettings {
    RecordBatcherSettings {
        append_interval_ms: 0,
        unknown_wait_ms: 1,
        reappend_after_ms: 2,
        ..RecordBatcherSettings::default()
    }
}

fn log_with_fund() -> Log {
    let records = vec![fund(1, TOTAL)];
    let batch = RecordBatch {
        writer: IncarnationId(0),
        number: 0,
        records,
    };
    Arc::new(Mutex::new(vec![batch.encode().unwrap()]))
}

/// Folds what is new in the log and tells the wallet and the batcher.
fn read(
    log: &Log,
    ledger: &mut Ledger,
    batcher: &mut RecordBatcher,
    wallet: &Mutex<Wallet>,
    now: u64,
) {
    loop {
        let offset = ledger.next_offset();
        let data = log.lock().unwrap().get(offset.0 as usize).cloned();
        let Some(data) = data else { break };
        ledger.apply(offset, offset.0, &data).unwrap();
        batcher.read_back(&RecordBatch::decode(&data).unwrap(), ledger, now);
    }
    let mut wallet = wallet.lock().unwrap();
    if let Some(update) = ledger.full_update(wallet.incarnation()) {
        wallet.update(&update, now);
    }
}

/// One turn of a node's duty towards the log, with answers that get lost.
fn pump(
    log: &Log,
    ledger: &mut Ledger,
    batcher: &mut RecordBatcher,
    wallet: &Mutex<Wallet>,
    now: u64,
) {
    let (incarnation, read_back, records) = {
        let mut wallet = wallet.lock().unwrap();
        wallet.flush();
        let read_back = wallet.outbox().read_back_up_to();
        (
            wallet.incarnation(),
            read_back,
            wallet.outbox_mut().take_unsent(100),
        )
    };
    batcher.collect(incarnation, read_back, records).unwrap();
    if let Some(batch) = batcher.next_batch(now) {
        let outcome = match thread_rng().gen_range(0..3) {
            0 => AppendOutcome::Unknown,
            _ => AppendOutcome::Appended,
        };
        let lost = outcome == AppendOutcome::Unknown && thread_rng().gen_range(0..2) == 0;
        if !lost {
            log.lock().unwrap().push(batch.encode().unwrap());
        }
        batcher.appended(batch.number, outcome, now);
    }
    read(log, ledger, batcher, wallet, now);
}

/// A node that draws, serves a few requests and settles; returns what it consumed.
fn serve(log: &Log, incarnation: u64) -> u64 {
    let wallet = Mutex::new(wallet(incarnation, &format!("i-{incarnation}")));
    let mut ledger = Ledger::new(LedgerSettings::default());
    let mut batcher = RecordBatcher::new(settings(), IncarnationId(incarnation + 100));
    let mut consumed = 0;
    for now in 0..12_u64 {
        {
            let mut wallet = wallet.lock().unwrap();
            wallet.draw(&budget(), Tokens(400), now);
            if let Ok(reservation) = wallet.reserve(&budget(), Tokens(RESERVE), now) {
                let id = BillId(u128::from(incarnation * 1_000 + now));
                wallet.settle(reservation, id, Tokens(COST), now);
                consumed += COST;
            }
        }
        pump(log, &mut ledger, &mut batcher, &wallet, now * 3);
        thread::yield_now();
    }
    for now in 12..24 {
        pump(log, &mut ledger, &mut batcher, &wallet, now * 3);
    }
    consumed
}

#[test]
fn two_nodes_and_a_log_that_loses_answers_never_overspend() {
    shuttle::check_random(
        || {
            let log = log_with_fund();
            let nodes = (1..=2).map(|incarnation| {
                let log = log.clone();
                thread::spawn(move || serve(&log, incarnation))
            });
            let nodes: Vec<_> = nodes.collect();
            let consumed: u64 = nodes.into_iter().map(|node| node.join().unwrap()).sum();
            let mut truth = Ledger::new(LedgerSettings::default());
            for (offset, data) in (0..).zip(log.lock().unwrap().iter()) {
                truth.apply(Offset(offset), offset, data).unwrap();
            }
            let account = truth.account(&budget()).unwrap();
            assert!(consumed <= TOTAL);
            assert!(account.spent_tokens.0 <= consumed);
        },
        SCHEDULES,
    );
}

#[test]
fn nothing_is_admitted_after_the_wallet_has_read_its_fence() {
    shuttle::check_random(
        || {
            let log = log_with_fund();
            let shared = Arc::new(Mutex::new(wallet(1, "i-1")));
            let mut ledger = Ledger::new(LedgerSettings::default());
            let mut batcher = RecordBatcher::new(settings(), IncarnationId(100));
            shared.lock().unwrap().draw(&budget(), Tokens(TOTAL), 0);
            for now in 0..20 {
                pump(&log, &mut ledger, &mut batcher, &shared, now * 3);
            }
            let serve = |_| {
                let shared = shared.clone();
                thread::spawn(move || {
                    let mut fenced = false;
                    for now in 0..4 {
                        let mut wallet = shared.lock().unwrap();
                        let outcome = wallet.reserve(&budget(), Tokens(RESERVE), now);
                        assert!(!(fenced && outcome.is_ok()), "admitted after the fence");
                        assert_eq!(outcome == Err(ReserveError::Fenced), wallet.is_closed());
                        fenced = wallet.is_closed();
                        if let Ok(reservation) = outcome {
                            wallet.cancel(reservation);
                        }
                        drop(wallet);
                        thread::yield_now();
                    }
                })
            };
            let servers: Vec<_> = (0..2).map(serve).collect();
            let fence = LedgerRecord::Fence {
                incarnation: IncarnationId(1),
                evidence: FenceEvidence::Operator,
            };
            batcher.submit(fence).unwrap();
            for now in 20..30 {
                pump(&log, &mut ledger, &mut batcher, &shared, now * 3);
            }
            for server in servers {
                server.join().unwrap();
            }
            assert!(shared.lock().unwrap().is_closed());
            assert_eq!(
                ledger.account(&budget()).unwrap().held_tokens,
                Tokens(TOTAL)
            );
        },
        SCHEDULES,
    );
}
