//! Random interleavings of threads that share a wallet and a log.
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
const TOTAL_TOKENS: u64 = 1_000;
const COST_TOKENS: u64 = 70;
const RESERVE_TOKENS: u64 = 100;

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
    let records = vec![fund(1, TOTAL_TOKENS)];
    let batch = RecordBatch {
        writer: IncarnationId(0),
        number: 0,
        records,
    };
    Arc::new(Mutex::new(vec![batch.encode().unwrap()]))
}

/// Applies new batches of the log and updates the wallet and the batcher.
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

/// Runs one send, append and read cycle of a node, with lost responses.
fn sync(
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

/// Runs a node that draws, serves requests and settles; returns the tokens that it consumed.
fn serve(log: &Log, incarnation: u64) -> u64 {
    let wallet = Mutex::new(wallet(incarnation, &format!("i-{incarnation}")));
    let mut ledger = Ledger::new(LedgerSettings::default());
    let mut batcher = RecordBatcher::new(settings(), IncarnationId(incarnation + 100));
    let mut consumed = 0;
    for now in 0..12_u64 {
        {
            let mut wallet = wallet.lock().unwrap();
            wallet.draw(&budget(), Tokens(400), now);
            if let Ok(reservation) = wallet.reserve(&budget(), Tokens(RESERVE_TOKENS), now) {
                let id = BillId(u128::from(incarnation * 1_000 + now));
                wallet.settle(reservation, id, Tokens(COST_TOKENS), now);
                consumed += COST_TOKENS;
            }
        }
        sync(log, &mut ledger, &mut batcher, &wallet, now * 3);
        thread::yield_now();
    }
    for now in 12..24 {
        sync(log, &mut ledger, &mut batcher, &wallet, now * 3);
    }
    consumed
}

#[test]
fn two_nodes_and_a_log_that_loses_responses_never_overspend() {
    shuttle::check_random(
        || {
            let log = log_with_fund();
            let nodes = (1..=2).map(|incarnation| {
                let log = log.clone();
                thread::spawn(move || serve(&log, incarnation))
            });
            let nodes: Vec<_> = nodes.collect();
            let consumed: u64 = nodes.into_iter().map(|node| node.join().unwrap()).sum();
            let mut reference = Ledger::new(LedgerSettings::default());
            for (offset, data) in (0..).zip(log.lock().unwrap().iter()) {
                reference.apply(Offset(offset), offset, data).unwrap();
            }
            let account = reference.account(&budget()).unwrap();
            assert!(consumed <= TOTAL_TOKENS);
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
            shared
                .lock()
                .unwrap()
                .draw(&budget(), Tokens(TOTAL_TOKENS), 0);
            for now in 0..20 {
                sync(&log, &mut ledger, &mut batcher, &shared, now * 3);
            }
            let serve = |_| {
                let shared = shared.clone();
                thread::spawn(move || {
                    let mut fenced = false;
                    for now in 0..4 {
                        let mut wallet = shared.lock().unwrap();
                        let outcome = wallet.reserve(&budget(), Tokens(RESERVE_TOKENS), now);
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
                sync(&log, &mut ledger, &mut batcher, &shared, now * 3);
            }
            for server in servers {
                server.join().unwrap();
            }
            assert!(shared.lock().unwrap().is_closed());
            assert_eq!(
                ledger.account(&budget()).unwrap().held_tokens,
                Tokens(TOTAL_TOKENS)
            );
        },
        SCHEDULES,
    );
}
