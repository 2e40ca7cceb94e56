//! Effects of failures at full size.

use super::full_size::{
    BILL_WINDOW_S, BRIDGE_S, BUDGETS, DATA_CENTRES, GENERATED_TOKENS_PER_S, NODES, REQUESTS_PER_S,
    SHARDS, VMS_LOST_PER_DAY, VMS_REPLACED_PER_DAY,
};
use super::page::Slopes;

/// Returns the table of the tokens that failures hold and of the replay time of a new VM.
pub(crate) fn failures(slopes: &Slopes<'_>) -> Option<String> {
    let bill_us = slopes.get("fold_cpu_per_bill")?.slope;
    let budget_us = slopes.get("fold_cpu_per_funded_budget")?.slope;
    let node_tokens = GENERATED_TOKENS_PER_S / NODES * BRIDGE_S;
    let nodes_of_data_centre = NODES / DATA_CENTRES;
    let mut table = String::from("| matter | figure |\n|---|---|\n");
    let mut row = |matter: &str, figure: String| {
        table.push_str(&format!("| {matter} | {figure} |\n"));
    };
    row(
        "generated tokens that a node's grants cover",
        format!("{:.2} million for {BRIDGE_S:.0} s", node_tokens / 1e6),
    );
    row(
        "held a day by lost VMs until the VM list says that they are gone",
        format!("{:.1} million", VMS_LOST_PER_DAY * node_tokens / 1e6),
    );
    row(
        "moved a day by planned replacements, returned by their farewells",
        format!("{:.0} million", VMS_REPLACED_PER_DAY * node_tokens / 1e6),
    );
    row(
        "held by a lost data centre",
        format!(
            "{:.0} million, {:.1} s of the fleet's generation",
            nodes_of_data_centre * node_tokens / 1e6,
            nodes_of_data_centre * node_tokens / GENERATED_TOKENS_PER_S
        ),
    );
    for shards in SHARDS {
        let bills = REQUESTS_PER_S * BILL_WINDOW_S / shards;
        let replay_s = (bills * bill_us + BUDGETS / shards * budget_us) / 1e6;
        row(
            &format!("folding of a whole window by a fresh gatherer, {shards:.0} streams"),
            format!("{replay_s:.2} s of one core"),
        );
    }
    Some(table)
}
