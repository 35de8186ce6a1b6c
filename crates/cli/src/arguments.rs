//! Definition of the command line.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use std::path::PathBuf;

/// The command with all subcommands.
pub fn command() -> Command {
    Command::new("stackpost")
        .about("Shows and changes a stackpost fleet")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_arguments())
        .subcommand(table())
        .subcommand(
            Command::new("status")
                .about("The fleet at a glance, and what could not be reached")
                .after_help("Example:\n  stackpost --settings fleet.jsonc status"),
        )
        .subcommand(Command::new("budgets").about("Budgets, their shares per zone and bills"))
        .subcommand(bills())
        .subcommand(
            Command::new("explain")
                .about("Why a request went where it went, waited, or was refused")
                .arg(required("request", "The request's id, as in the x-request-id header")),
        )
        .subcommand(
            Command::new("watch").about("Follows decisions live, until interrupted").arg(
                Arg::new("seconds")
                    .long("seconds")
                    .value_parser(value_parser!(u64))
                    .help("Stop after so many seconds"),
            ),
        )
        .subcommand(audit())
        .subcommand(
            Command::new("key-hash").about(
                "Reads a key from the standard input and prints the hash that the table stores",
            ),
        )
        .subcommand(Command::new("machines").about("Lists the machines of the settings file"))
        .subcommand(completions())
        .after_help(
            "Exit codes: 0 done; 1 fleet not reached or refused; 2 wrong arguments or files; \
             3 another edit came first; 4 accepted, but not yet in force everywhere.",
        )
}

fn global_arguments() -> [Arg; 3] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .global(true)
            .default_value("fleet.jsonc")
            .value_parser(value_parser!(PathBuf))
            .help("Settings of the fleet"),
        Arg::new("key-file")
            .long("key-file")
            .value_name("FILE")
            .global(true)
            .default_value("operator.key")
            .value_parser(value_parser!(PathBuf))
            .help("File with the operator's key"),
        Arg::new("output")
            .long("output")
            .global(true)
            .default_value("text")
            .value_parser(["text", "json"])
            .help("Form of the output"),
    ]
}

fn required(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).required(true).help(help)
}

fn table() -> Command {
    let file = || {
        required("file", "JSON with comments: a list of {table, name, row}")
            .value_parser(value_parser!(PathBuf))
    };
    let no_wait = Arg::new("no-wait")
        .long("no-wait")
        .action(ArgAction::SetTrue)
        .help("Do not wait until the edit is in force in every zone");
    Command::new("table")
        .about("Shows and edits the table")
        .subcommand_required(true)
        .subcommand(
            Command::new("show")
                .about("Shows rows")
                .arg(Arg::new("table").help("Only this kind of row"))
                .arg(Arg::new("name").help("Only this row"))
                .after_help("Example:\n  stackpost table show budget"),
        )
        .subcommand(
            Command::new("set")
                .about("Changes fields of a row")
                .arg(required("table", "The kind of row"))
                .arg(required("name", "The row"))
                .arg(
                    Arg::new("fields")
                        .required(true)
                        .num_args(1..)
                        .value_name("FIELD=VALUE")
                        .help("Values are JSON; text needs no quotes"),
                )
                .arg(
                    Arg::new("based-on")
                        .long("based-on")
                        .value_parser(value_parser!(u64))
                        .help("Version of the row the edit is based on; default: the newest"),
                )
                .arg(no_wait.clone())
                .after_help("Example:\n  stackpost table set budget ferries limit=900000"),
        )
        .subcommand(
            Command::new("delete")
                .about("Deletes a row that nothing uses")
                .arg(required("table", "The kind of row"))
                .arg(required("name", "The row"))
                .arg(no_wait),
        )
        .subcommand(
            Command::new("import")
                .about("Writes every row of a file that differs from the table")
                .arg(file()),
        )
        .subcommand(Command::new("diff").about("Compares a file with the table").arg(file()))
        .subcommand(
            Command::new("export").about("Prints all rows").arg(
                Arg::new("format")
                    .long("format")
                    .default_value("json")
                    .value_parser(["json", "csv"])
                    .help("JSON can be imported again"),
            ),
        )
        .subcommand(
            Command::new("list-file")
                .about("Lists the back ends of a file: name, kind, address, fence check")
                .arg(file()),
        )
}

fn bills() -> Command {
    Command::new("bills")
        .about("Bills that control replicas have stored")
        .arg(Arg::new("tenant").long("tenant").help("Only this tenant's"))
        .arg(Arg::new("request").long("request").help("Only this request's"))
}

fn audit() -> Command {
    Command::new("audit")
        .about("Who changed what, newest first")
        .arg(Arg::new("row").long("row").help("Only this row, such as budget/ferries"))
        .arg(
            Arg::new("count")
                .long("count")
                .default_value("20")
                .value_parser(value_parser!(u64))
                .help("Records at the most"),
        )
}

fn completions() -> Command {
    Command::new("completions")
        .about("Prints a completion script")
        .arg(required("shell", "The shell").value_parser(value_parser!(clap_complete::Shell)))
}

/// Value of a text argument; empty if the argument is absent.
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}
