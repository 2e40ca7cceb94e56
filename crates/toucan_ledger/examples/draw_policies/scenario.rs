//! Scenarios of the comparison: traffic, budgets, partitions, top-ups.

/// Number of data centres.
pub const DATA_CENTRES: usize = 3;
/// Number of nodes of one data centre.
pub const NODES_PER_DATA_CENTRE: usize = 3;
/// Number of all nodes.
pub const NODES: usize = DATA_CENTRES * NODES_PER_DATA_CENTRE;

/// Time at the start of a run that is left out of the counts, in milliseconds.
pub const WARM_UP_MS: u64 = 120_000;

/// Traffic, budgets and faults of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    /// Purchased tokens of each budget.
    pub budgets: Vec<u64>,
    /// Requests per second of each budget at each node.
    pub rates_per_s: Vec<[f64; NODES]>,
    /// Data centre, factor on its rates, and start and end of a burst in milliseconds.
    pub burst: Option<(usize, f64, u64, u64)>,
    /// Data centre that is partitioned from the log, and start and end in milliseconds.
    pub partition: Option<(usize, u64, u64)>,
    /// Budget, time in milliseconds and tokens of a top-up.
    pub top_up: Option<(usize, u64, u64)>,
    /// Length of an outage that grants should cover, in milliseconds.
    pub bridge_ms: u64,
    /// Length of the run, in milliseconds.
    pub length_ms: u64,
}

/// Mean cost of one request in the fleet, in tokens.
pub const MEAN_COST_TOKENS: u64 = 400;

/// Splits a rate evenly over all nodes.
fn even(rate_per_s: f64) -> [f64; NODES] {
    [rate_per_s / NODES as f64; NODES]
}

/// Splits a rate over all nodes, each with half the rate of the node before it.
fn skewed(rate_per_s: f64) -> [f64; NODES] {
    let weights: [f64; NODES] = std::array::from_fn(|node| 0.5_f64.powi(node as i32));
    let sum: f64 = weights.iter().sum();
    weights.map(|weight| rate_per_s * weight / sum)
}

fn base(name: &'static str) -> Scenario {
    Scenario {
        name,
        budgets: vec![60_000_000, 5_000_000, 2_000_000],
        rates_per_s: vec![even(30.0), skewed(2.0), even(0.5)],
        burst: None,
        partition: None,
        top_up: None,
        bridge_ms: 60_000,
        length_ms: 420_000,
    }
}

fn partitioned(name: &'static str, length_ms: u64) -> Scenario {
    let from = WARM_UP_MS + 60_000;
    Scenario {
        partition: Some((1, from, from + length_ms)),
        bridge_ms: length_ms * 3 / 2,
        length_ms: from + length_ms + 60_000,
        ..base(name)
    }
}

/// Returns a budget that covers the warm-up and `seconds` of traffic after it.
fn tokens_for(rate_per_s: f64, seconds: u64) -> u64 {
    (rate_per_s * MEAN_COST_TOKENS as f64) as u64 * (seconds + WARM_UP_MS / 1000)
}

/// Returns all scenarios of the comparison.
pub fn all() -> Vec<Scenario> {
    let exhausted_budgets = vec![
        tokens_for(30.0, 120),
        tokens_for(2.0, 120),
        tokens_for(0.5, 120),
    ];
    let from = WARM_UP_MS + 60_000;
    vec![
        Scenario {
            budgets: vec![60_000_000, 5_000_000, 2_000_000],
            rates_per_s: vec![skewed(40.0), skewed(2.0), skewed(0.5)],
            ..base("skewed, connected")
        },
        Scenario {
            burst: Some((2, 10.0, from, from + 10_000)),
            ..base("burst x10 for 10 s")
        },
        partitioned("cut off 10 s", 10_000),
        partitioned("cut off 60 s", 60_000),
        Scenario {
            rates_per_s: vec![skewed(30.0), skewed(2.0), skewed(0.5)],
            ..partitioned("cut off 60 s, skewed", 60_000)
        },
        Scenario {
            burst: Some((1, 2.0, from, from + 60_000)),
            ..partitioned("cut off 60 s, twice the load", 60_000)
        },
        partitioned("cut off 5 min", 300_000),
        partitioned("cut off 15 min", 900_000),
        Scenario {
            budgets: exhausted_budgets.clone(),
            ..base("runs dry, connected")
        },
        Scenario {
            budgets: exhausted_budgets.clone(),
            rates_per_s: vec![skewed(30.0), skewed(2.0), skewed(0.5)],
            ..base("runs dry, skewed")
        },
        Scenario {
            budgets: exhausted_budgets.clone(),
            ..partitioned("runs dry, cut off 60 s", 60_000)
        },
        Scenario {
            budgets: exhausted_budgets,
            top_up: Some((0, from + 20_000, 20_000_000)),
            ..partitioned("top-up while cut off 2 min", 120_000)
        },
    ]
}
