//! Prints the tables of `docs/document.md`.

fn main() {
    print!("{}", toucan_config::reference_tables());
}
