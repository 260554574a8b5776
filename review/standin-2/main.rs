//! Stand-ins of the users' platform for the scripts of the review. Usage: `standin NAME FOLDER`, where
//! NAME is a script and FOLDER the place of its record. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the script could not run. With `TROUBLE=0` the disruption is left out.

mod caller;
mod forgotten_history;
mod host;
mod http;
mod json;
mod keyed_server;
mod record;
mod removed_entry;
mod server;
mod silent_connections;
mod store;
mod surplus_answer;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let mut arguments = env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let code = match &*name {
        "silent-connections" => silent_connections::run(&folder, has_trouble),
        "forgotten-history" => forgotten_history::run(&folder, has_trouble),
        "removed-entry" => removed_entry::run(&folder, has_trouble),
        "surplus-answer" => surplus_answer::run(&folder, has_trouble),
        _ => {
            eprintln!("unknown script '{name}'");
            2
        }
    };
    exit(code);
}
