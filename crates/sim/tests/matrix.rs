//! The fault matrix: every fault at every step, and random pairs of faults.

mod support;

use stackpost_sim::{Defect, Fault, Step};
use support::{Cell, in_parallel, run_cell};

/// Offset added to all seeds, for longer manual searches; CI sets none.
fn seed_offset() -> u64 {
    let offset = std::env::var("STACKPOST_SEED_OFFSET").ok();
    offset.and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Every fault at every step.
fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for (row, fault) in Fault::ALL.into_iter().enumerate() {
        for (column, step) in Step::ALL.into_iter().enumerate() {
            let seed = seed_offset() + (row * Step::ALL.len() + column) as u64;
            cells.push(Cell { fault, step, second: None, seed });
        }
    }
    cells
}

#[test]
fn every_fault_at_every_step_keeps_all_invariants() {
    let cells = cells();
    let outcomes = in_parallel(&cells, |cell| run_cell(*cell, Defect::default(), false));
    let mut report = String::new();
    for (cell, outcome) in cells.iter().zip(&outcomes) {
        if !outcome.injected {
            report.push_str(&format!("fault not injected: {cell:?}\n"));
        }
        for violation in &outcome.violations {
            report.push_str(&format!("{cell:?}: {violation}\n"));
        }
    }
    assert!(report.is_empty(), "{report}");
    if seed_offset() == 0 {
        compare_with_docs(&table(&cells));
    }
}

/// The matrix as a Markdown table. It marks every cell as passed, so it must be called only after
/// all cells have passed.
fn table(cells: &[Cell]) -> String {
    let mut text = String::from("Steps, by column:\n\n");
    for (number, step) in Step::ALL.iter().enumerate() {
        text.push_str(&format!("{}. {step:?}\n", number + 1));
    }
    let numbers: Vec<String> = (1..=Step::ALL.len()).map(|number| number.to_string()).collect();
    text.push_str(&format!("\n| fault | {} |\n", numbers.join(" | ")));
    text.push_str(&format!("|---|{}\n", "---|".repeat(Step::ALL.len())));
    for (row, fault) in Fault::ALL.iter().enumerate() {
        let of_row = &cells[row * Step::ALL.len()..(row + 1) * Step::ALL.len()];
        let mark = if fault.may_lose_both_copies() { "p\u{b9}" } else { "p" };
        let marks: Vec<&str> = of_row.iter().map(|_| mark).collect();
        text.push_str(&format!("| {fault:?} | {} |\n", marks.join(" | ")));
    }
    text
}

/// Compares the table with the one in docs/FAULTS.md; `STACKPOST_UPDATE=1` rewrites it.
fn compare_with_docs(table: &str) {
    const BEGIN: &str = "<!-- matrix: written by crates/sim/tests/matrix.rs -->\n";
    const END: &str = "<!-- end of matrix -->";
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/FAULTS.md");
    let page = std::fs::read_to_string(path).expect("docs/FAULTS.md can be read");
    let (before, rest) =
        page.split_once(BEGIN).expect("docs/FAULTS.md has the marker before the matrix");
    let (current, after) =
        rest.split_once(END).expect("docs/FAULTS.md has the marker after the matrix");
    if std::env::var_os("STACKPOST_UPDATE").is_some() {
        std::fs::write(path, format!("{before}{BEGIN}{table}{END}{after}"))
            .expect("docs/FAULTS.md is writable");
    } else {
        assert!(current == table, "docs/FAULTS.md is out of date: STACKPOST_UPDATE=1 rewrites it");
    }
}

/// Number of fault pairs, drawn by seed; limited by the time available in CI.
const PAIRS: u64 = 400;

#[test]
fn pairs_of_faults_keep_all_invariants() {
    let draw = |number: u64| {
        let seed = number + seed_offset();
        let pick = |salt: u64, count: usize| {
            let digest = stackpost_types::Digest::of(&[&seed.to_le_bytes(), &salt.to_le_bytes()]);
            (digest.to_u64() % count as u64) as usize
        };
        Cell {
            fault: Fault::ALL[pick(1, Fault::ALL.len())],
            step: Step::ALL[pick(2, Step::ALL.len())],
            second: Some(Fault::ALL[pick(3, Fault::ALL.len())]),
            seed: 10_000 + seed,
        }
    };
    // Losing two of three data folders at once loses the majority: see docs/FAULTS.md.
    let survivable =
        |cell: &Cell| (cell.fault, cell.second) != (Fault::DiskLost, Some(Fault::DiskLost));
    let cells: Vec<Cell> = (0..PAIRS).map(draw).filter(survivable).collect();
    let outcomes = in_parallel(&cells, |cell| run_cell(*cell, Defect::default(), false));
    let mut report = String::new();
    for (cell, outcome) in cells.iter().zip(&outcomes) {
        for violation in &outcome.violations {
            report.push_str(&format!("{cell:?}: {violation}\n"));
        }
    }
    assert!(report.is_empty(), "{report}");
}
