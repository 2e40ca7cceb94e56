//! Memory, traffic and processor time of each role at full size.

use super::full_size::{
    BILL_WINDOW_S, BRIDGE_S, BUDGETS, DATA_CENTRES, DAY_S, EDITS_PER_DAY, INCARNATION_WINDOW_DAYS,
    LOG_APPENDS_PER_S, NODE_BYTES_PER_S, NODE_CPU_PERCENT, NODE_MEMORY_BYTES, NODES, PREFIX_BLOCKS,
    REQUESTS_PER_S, SHARDS, VMS_REPLACED_PER_DAY, WORKERS,
};
use super::page::Slopes;

/// Bytes per mebibyte.
const MIB: f64 = 1_048_576.0;
/// Length of base64 text per byte.
const BASE64: f64 = 4.0 / 3.0;
/// Microseconds of processor time per second that equal one percent of a core.
const US_PER_CPU_PERCENT: f64 = 10_000.0;

/// Returns the table of a batcher, which replays its stream, for several numbers of streams.
pub(crate) fn batcher(slopes: &Slopes<'_>) -> Option<String> {
    let budget_bytes = slopes.get("fold_memory_per_budget")?.slope;
    let bill_bytes = slopes.get("fold_memory_per_bill")?.slope;
    let incarnation_bytes = slopes.get("fold_memory_per_incarnation")?.slope;
    let bill_us = slopes.get("fold_cpu_per_bill")?.slope;
    let append_bytes = slopes.get("log_bytes_per_bill")?;
    let mut table = String::from(
        "| streams | budgets in each | memory, MiB | of it bills | read from the log, B/s | folding, % of a core | s between appends of a gatherer |\n|---|---|---|---|---|---|---|\n",
    );
    for shards in SHARDS {
        let budgets = BUDGETS / shards;
        let bills_memory = REQUESTS_PER_S * BILL_WINDOW_S / shards * bill_bytes;
        let incarnations = NODES + VMS_REPLACED_PER_DAY * INCARNATION_WINDOW_DAYS;
        let memory = budgets * budget_bytes + bills_memory + incarnations * incarnation_bytes;
        let bills_per_s = REQUESTS_PER_S / shards;
        let appends_per_s = LOG_APPENDS_PER_S / shards;
        let read_bytes_per_s =
            (bills_per_s * append_bytes.slope + appends_per_s * append_bytes.intercept) * BASE64;
        let interval_s = shards * DATA_CENTRES / LOG_APPENDS_PER_S;
        table.push_str(&format!(
            "| {shards:.0} | {budgets:.0} | {}{:.1} | {:.1} | {}{read_bytes_per_s:.0} | {:.3} | {interval_s:.2} |\n",
            over_limit_mark(memory > NODE_MEMORY_BYTES),
            memory / MIB,
            bills_memory / MIB,
            over_limit_mark(read_bytes_per_s > NODE_BYTES_PER_S),
            bills_per_s * bill_us / US_PER_CPU_PERCENT,
        ));
    }
    Some(table)
}

/// Returns the table of the state that every node holds.
pub(crate) fn every_node(slopes: &Slopes<'_>) -> Option<String> {
    let requests_per_s = REQUESTS_PER_S / NODES;
    let held = requests_per_s * BRIDGE_S;
    let wallet_memory = slopes.get("wallet_memory_per_budget")?.slope * held;
    let wallet_us = slopes.get("wallet_cpu_per_request")?.value_at(held) * requests_per_s;
    let choice_us = slopes.get("router_cpu_per_choice")?.value_at(WORKERS) * requests_per_s;
    let target_memory = slopes.get("router_memory_per_target")?.slope * WORKERS;
    let prefix_memory = slopes.get("router_memory_per_prefix_block")?.slope * PREFIX_BLOCKS;
    let document = slopes.get("document_memory_per_budget")?;
    let document_memory = document.value_at(BUDGETS);
    let text = slopes.get("document_text_per_budget")?.value_at(BUDGETS);
    let edit_us = slopes.get("document_cpu_per_edit")?.value_at(BUDGETS);
    let edits_us = edit_us * EDITS_PER_DAY / DAY_S;
    let mut table =
        String::from("| role | memory, MiB | % of a core | from |\n|---|---|---|---|\n");
    let mut row = |role: &str, memory: f64, us: f64, from: &str| {
        let percent = us / US_PER_CPU_PERCENT;
        table.push_str(&format!(
            "| {role} | {}{:.1} | {}{percent:.4} | {from} |\n",
            over_limit_mark(memory > NODE_MEMORY_BYTES),
            memory / MIB,
            over_limit_mark(percent > NODE_CPU_PERCENT),
        ));
    };
    row(
        &format!("wallet: {held:.0} budgets held, {requests_per_s:.1} requests/s"),
        wallet_memory,
        wallet_us,
        "`wallet_memory_per_budget`, `wallet_cpu_per_request`",
    );
    row(
        &format!("targets: {WORKERS:.0} workers"),
        target_memory,
        choice_us,
        "`router_memory_per_target`, `router_cpu_per_choice`",
    );
    row(
        &format!("prefixes: {PREFIX_BLOCKS:.0} blocks, the limit"),
        prefix_memory,
        0.0,
        "`router_memory_per_prefix_block`",
    );
    row(
        &format!(
            "document: {BUDGETS:.0} budgets, {:.1} MiB of text",
            text / MIB
        ),
        document_memory,
        edits_us,
        "`document_memory_per_budget`, `document_cpu_per_edit`, `document_text_per_budget`",
    );
    table.push_str(&format!(
        "\nOne edit of the finance section takes {:.2} s of one core on every node.\n",
        edit_us / 1_000_000.0
    ));
    Some(table)
}

/// Returns the table of what a node spends on control as the fleet grows, if it was measured.
pub(crate) fn membership(slopes: &Slopes<'_>) -> Option<String> {
    let bytes = slopes.get("node_control_bytes_per_s")?;
    let cpu = slopes.get("node_cpu_permille")?;
    let memory = slopes.get("node_memory_bytes")?;
    let per_data_centre = NODES / DATA_CENTRES;
    let mut table = String::from(
        "| nodes | control, B/s a node | % of a core a node | memory, MiB a node |\n|---|---|---|---|\n",
    );
    for nodes in [8.0, per_data_centre, NODES] {
        table.push_str(&format!(
            "| {nodes:.0} | {}{:.0} | {}{:.2} | {}{:.1} |\n",
            over_limit_mark(bytes.value_at(nodes) > NODE_BYTES_PER_S),
            bytes.value_at(nodes),
            over_limit_mark(cpu.value_at(nodes) / 10.0 > NODE_CPU_PERCENT),
            cpu.value_at(nodes) / 10.0,
            over_limit_mark(memory.value_at(nodes) > NODE_MEMORY_BYTES),
            memory.value_at(nodes) / MIB,
        ));
    }
    Some(table)
}

/// Returns the mark for a value over its limit.
fn over_limit_mark(over: bool) -> &'static str {
    if over { "**over** " } else { "" }
}
