//! Time to parse a finance section, and to apply a top-up and an edit of one value.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use serde_json::json;
use toucan_config::{
    Assignment, Change, Document, DocumentRecord, EditOutcome, EditRecord, ReplayedDocument,
    Section, SectionTexts, TopUp,
};
use toucan_types::{Offset, Tokens};

/// Numbers of budgets in the benchmarked documents.
const BUDGETS: [usize; 3] = [100, 1000, 10_000];

fn finance_text(budgets: usize) -> String {
    let entries: Vec<_> = (0..budgets)
        .map(|budget| {
            format!(
                "    \"b{budget}\": {{ \"organisation\": \"o\", \"purchased_tokens\": 1000000 }}"
            )
        })
        .collect();
    format!(
        "{{\n  \"organisations\": {{ \"o\": {{}} }},\n  \"budgets\": {{\n{}\n  }}\n}}\n",
        entries.join(",\n")
    )
}

fn edit(edit_id: &str, section: Section, change: Change) -> Vec<u8> {
    let edit = EditRecord {
        edit_id: edit_id.to_owned(),
        section,
        base_version: Default::default(),
        change,
        team: section.team(),
        author: "ann".to_owned(),
        at_ms: 0,
        note: String::new(),
    };
    DocumentRecord::Edit(edit).encode().expect("a short record")
}

fn with_budgets(budgets: usize) -> ReplayedDocument {
    let mut replayed = ReplayedDocument::default();
    let text = finance_text(budgets);
    replayed.apply(
        Offset(0),
        &edit("first", Section::Finance, Change::Text { text }),
    );
    replayed
}

fn bench_document(criterion: &mut Criterion) {
    let top_up = edit(
        "top-up",
        Section::Finance,
        Change::TopUp(TopUp {
            id: "invoice".to_owned(),
            budget: "b7".into(),
            tokens: Tokens(5),
        }),
    );
    let other_section = edit(
        "drain",
        Section::Operations,
        Change::Assign {
            assignments: vec![Assignment {
                path: "operations.data_centres.east".to_owned(),
                value: json!({}),
            }],
        },
    );
    for budgets in BUDGETS {
        let texts = SectionTexts::default().with(Section::Finance, finance_text(budgets));
        criterion.bench_function(&format!("parse/{budgets}"), |b| {
            b.iter(|| Document::parse(black_box(&texts)).expect("valid"));
        });
        let replayed = with_budgets(budgets);
        let snapshot = replayed.snapshot().to_bytes().expect("serialisable");
        println!("restatement/{budgets}: {} bytes", snapshot.len());
        for (name, record) in [("top_up", &top_up), ("other_section", &other_section)] {
            let id = format!("{name}/{budgets}");
            criterion.bench_function(&id, |b| {
                b.iter_batched_ref(
                    || replayed.clone(),
                    |replayed| {
                        let outcome = replayed.apply(replayed.next_offset(), black_box(record));
                        assert!(matches!(outcome, EditOutcome::Accepted { .. }));
                        outcome
                    },
                    criterion::BatchSize::SmallInput,
                );
            });
        }
    }
    println!("top-up record: {} bytes", top_up.len());
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10).measurement_time(std::time::Duration::from_secs(1));
    targets = bench_document
}
criterion_main!(benches);
