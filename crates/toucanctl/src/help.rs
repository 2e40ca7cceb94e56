//! Help texts.

/// All commands with their arguments and a description.
pub const COMMANDS: &[(&str, &str)] = &[
    (
        "document get [SECTION]",
        "Print the document or one section as the teams wrote it.",
    ),
    (
        "document check FILE...",
        "Check files without a node: one whole document, or one file for each section as SECTION=FILE.",
    ),
    (
        "document edit SECTION (FILE | --set PATH=VALUE... | --unset PATH...)",
        "Change a section from a file (`-` for standard input) or by single values; --dry-run only checks; --whole takes the section out of a whole document.",
    ),
    (
        "document diff SECTION FILE",
        "Show what a file would change in the section in force.",
    ),
    (
        "document history [SECTION] [--limit N]",
        "Show accepted edits, newest first; --diff adds what each changed.",
    ),
    (
        "document blame SECTION",
        "Show the edit that last changed each line.",
    ),
    (
        "document schema",
        "Print the reference of all fields as Markdown.",
    ),
    (
        "organisation list",
        "List organisations with their budgets and keys.",
    ),
    (
        "budget list",
        "List budgets with their terms, as far as the nodes given fold them.",
    ),
    ("budget show BUDGET", "Show a budget and its terms."),
    (
        "budget top-up BUDGET --id ID --tokens N",
        "Add tokens once, however often the command runs.",
    ),
    (
        "budget statement BUDGET [--bills]",
        "Show a statement that adds up, with bills on demand.",
    ),
    (
        "model list",
        "List models with versions, adapters and who may use them.",
    ),
    ("service list", "List services with their targets."),
    ("target list", "List targets as a node sees them."),
    (
        "target drain TARGET [--undo]",
        "Give a target no new work, or take it back.",
    ),
    (
        "fleet status",
        "Show which VM has which version in force and what is stranded where.",
    ),
    (
        "fleet release INCARNATION --vm-is-destroyed",
        "Free what a dead process holds, on your word that it never runs again.",
    ),
    ("state", "Print the state dump of a node."),
    (
        "explain REQUEST-ID --organisation NAME",
        "Show what happened to one request and why.",
    ),
    (
        "explain REQUEST-ID --log FILE...",
        "The same from the logs of gateways; `-` is the standard input.",
    ),
    (
        "config check FILE [--in-force FILE] [--vm-memory-mb MB] [--call-tokens N] [--regions R,R]",
        "Check a configuration of gateways before it is sent, and show what it changes.",
    ),
    (
        "demo [--seconds S] [--json FILE] [--seed N]",
        "Run a small fleet with stand-ins under load and a partition, and check every promise.",
    ),
    (
        "key new KEY-ID",
        "Make a key; prints its secret once, with salt and hash for the document.",
    ),
];

/// Options, exit codes and options of edits.
const OPTIONS: &str = "\
OPTIONS
  --node ADDRESS    IP number and port of a node's operators' interface; may be given several times
                    (TOUCANCTL_NODES: several with commas)
  --key-file FILE   file with the team's key (TOUCANCTL_KEY: the key itself)
  --json            print JSON for programs
  --no-colour       print no colour, as in a pipe or with NO_COLOR set
  --timeout-ms MS   longest wait for an answer (15000)
  --help, --version

OPTIONS OF EDITS
  --note TEXT           why, for the history
  --base VERSION        version that the edit starts from (the one in force)
  --edit-id ID          identifier of the edit (random); the same again asks for the same edit
  --accept-warnings     make the edit in spite of warnings
  --dry-run             check the edit without making it

EXIT CODES
  0 done   1 findings, nothing changed   2 wrong command line   3 lost a race, nothing changed
  4 warnings not accepted, nothing changed   5 key missing, unknown or of another team
  6 not found   7 unavailable, nothing changed   8 unknown whether changed, run it again
";

/// Returns the help text.
pub(crate) fn help() -> String {
    let mut text = "toucanctl: operate a toucanthread fleet\n\nCOMMANDS\n".to_owned();
    for (command, meaning) in COMMANDS {
        text.push_str(&format!("  toucanctl {command}\n      {meaning}\n"));
    }
    text.push('\n');
    text.push_str(OPTIONS);
    text
}

/// Returns the version line.
pub(crate) fn version() -> String {
    format!("toucanctl {}\n", env!("CARGO_PKG_VERSION"))
}
