//! Implementation of the subcommands.

mod edit;
mod explain;
mod file;
mod money;
mod status;
mod table;
mod watch;

use crate::arguments::{self, text};
use crate::client::FleetClient;
use crate::output::{CommandError, OutputFormat, print_columns, print_json};
use clap::ArgMatches;
use stackpost_settings::{FleetSettings, load};
use stackpost_types::KeyHash;
use std::io::Read;
use std::path::PathBuf;
use std::process::ExitCode;

/// Fleet client and output format of a command.
pub(crate) struct Context {
    pub fleet: FleetClient,
    pub output_format: OutputFormat,
}

/// Runs the selected subcommand.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let Some((name, inner)) = matches.subcommand() else {
        return Err(CommandError::Usage("no command".into()));
    };
    match name {
        "key-hash" => return key_hash(),
        "completions" => return completions(inner),
        "machines" => return machines(inner),
        "table" if inner.subcommand_name() == Some("list-file") => return file::list(inner),
        _ => {}
    }
    let context = open(inner)?;
    match name {
        "table" => table::run(&context, inner).await,
        "status" => status::run(&context).await,
        "budgets" => money::budgets(&context).await,
        "bills" => money::bills(&context, inner).await,
        "explain" => explain::run(&context, text(inner, "request")).await,
        "watch" => watch::run(&context, inner.get_one::<u64>("seconds").copied()).await,
        "audit" => money::audit(&context, inner).await,
        other => Err(CommandError::Usage(format!("no command `{other}`"))),
    }
}

fn open(matches: &ArgMatches) -> Result<Context, CommandError> {
    let path = |name: &str| matches.get_one::<PathBuf>(name).cloned().unwrap_or_default();
    let fleet = FleetClient::open(&path("settings"), &path("key-file"))?;
    Ok(Context { fleet, output_format: output_format(matches) })
}

fn output_format(matches: &ArgMatches) -> OutputFormat {
    if text(matches, "output") == "json" { OutputFormat::Json } else { OutputFormat::Text }
}

fn key_hash() -> Result<ExitCode, CommandError> {
    let mut key = String::new();
    std::io::stdin()
        .read_to_string(&mut key)
        .map_err(|error| CommandError::Usage(format!("read the key: {error}")))?;
    println!("{}", KeyHash::of(key.trim()).0);
    Ok(ExitCode::SUCCESS)
}

fn completions(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let shell = matches.get_one::<clap_complete::Shell>("shell").copied();
    let shell = shell.ok_or_else(|| CommandError::Usage("no shell".into()))?;
    clap_complete::generate(shell, &mut arguments::command(), "stackpost", &mut std::io::stdout());
    Ok(ExitCode::SUCCESS)
}

fn machines(matches: &ArgMatches) -> Result<ExitCode, CommandError> {
    let path = matches.get_one::<PathBuf>("settings").cloned().unwrap_or_default();
    let settings: FleetSettings =
        load(&path).map_err(|error| CommandError::Usage(error.to_string()))?;
    if output_format(matches) == OutputFormat::Json {
        print_json(&settings.machines)?;
        return Ok(ExitCode::SUCCESS);
    }
    let rows: Vec<Vec<String>> = settings
        .machines
        .iter()
        .map(|entry| {
            let router = entry.router.as_ref().map_or("-".into(), |router| router.api.to_string());
            let control =
                entry.control.as_ref().map_or("-".into(), |control| control.admin.to_string());
            vec![entry.name.to_string(), entry.zone.to_string(), router, control]
        })
        .collect();
    print_columns(&["machine", "zone", "router", "control"], &rows);
    Ok(ExitCode::SUCCESS)
}
