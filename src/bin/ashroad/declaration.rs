//! Subcommands `ashroad template` and `ashroad workspace`: submit, withdraw and show declarations.
//! A declaration is the YAML document of a template or of a workspace.

use std::{fs, path::Path, time::Duration};

use ashroad::{
    clock,
    id::OperationId,
    operator::{
        client::{DeclarationKind, OperatorClient},
        message::{Accepted, SubmitBody, WithdrawBody},
    },
};
use snafu::{OptionExt, ResultExt};
use tokio::time;

use crate::{
    app::{ApiArgs, ChangeArgs, DeclarationAction, DeclarationArgs, SubmitArgs},
    error::{CallSnafu, DeclarationSnafu, Error, NotFoundSnafu, ReadSnafu, Result},
    output,
};

/// Interval in milliseconds between status queries while the command waits for a revision to be in
/// force.
const WAIT_POLL_MS: u64 = 20;

/// Runs `ashroad template`: submits, withdraws, shows or lists templates.
pub async fn run_template(args: DeclarationArgs, json: bool) -> Result<()> {
    run(DeclarationKind::Template, "template", args, json).await
}

/// Runs `ashroad workspace`: submits, withdraws, shows or lists workspaces.
pub async fn run_workspace(args: DeclarationArgs, json: bool) -> Result<()> {
    run(DeclarationKind::Workspace, "workspace", args, json).await
}

async fn run(
    kind: DeclarationKind,
    name: &'static str,
    args: DeclarationArgs,
    json: bool,
) -> Result<()> {
    match args.action {
        DeclarationAction::Submit(args) | DeclarationAction::Amend(args) => {
            submit(kind, args, json).await
        }
        DeclarationAction::Withdraw(args) => {
            let client = client(&args.api)?;
            let body = WithdrawBody {
                name: args.name,
                operation_id: Some(operation_id(&args.change)),
                expect_revision: args.change.expect_revision,
                actor: args.change.actor.clone(),
            };
            let accepted = client.withdraw(kind, &body).await.context(CallSnafu)?;
            wait_and_print(&client, &args.change, &accepted, json).await
        }
        DeclarationAction::Show { api, name: wanted } => {
            let list = client(&api)?.list(kind).await.context(CallSnafu)?;
            let found = list.documents.into_iter().find(|d| d.name == wanted);
            let document = found.context(NotFoundSnafu {
                kind: name,
                name: wanted,
            })?;
            if json {
                output::json(&document);
            } else {
                output::line(document.document.trim_end());
            }
            Ok(())
        }
        DeclarationAction::List(api) => {
            let list = client(&api)?.list(kind).await.context(CallSnafu)?;
            if json {
                output::json(&list);
                return Ok(());
            }
            for document in &list.documents {
                output::line(&format!(
                    "{}  revision {}",
                    document.name, document.revision
                ));
            }
            Ok(())
        }
    }
}

async fn submit(kind: DeclarationKind, args: SubmitArgs, json: bool) -> Result<()> {
    let document = read(&args.file)?;
    let client = client(&args.api)?;
    let body = SubmitBody {
        document,
        operation_id: Some(operation_id(&args.change)),
        expect_revision: args.change.expect_revision,
        actor: args.change.actor.clone(),
        dry_run: args.dry_run,
    };
    let accepted = client.submit(kind, &body).await.context(CallSnafu)?;
    if args.dry_run {
        show(&accepted, "dry run at", json);
        return Ok(());
    }
    wait_and_print(&client, &args.change, &accepted, json).await
}

/// Reads a declaration from a file and checks its size and encoding, so that an unusable file is
/// refused before it is sent.
fn read(path: &Path) -> Result<String> {
    let bytes = fs::read(path).context(ReadSnafu { path })?;
    let checked = ashroad::configuration::template::check_text(&bytes);
    let text = checked.context(DeclarationSnafu { path })?;
    Ok(text.to_owned())
}

fn operation_id(change: &ChangeArgs) -> String {
    let given = change.operation_id.clone();
    given.unwrap_or_else(|| OperationId::random().0)
}

async fn wait_and_print(
    client: &OperatorClient,
    change: &ChangeArgs,
    accepted: &Accepted,
    json: bool,
) -> Result<()> {
    if change.wait {
        wait(client, accepted.revision, change.wait_ms).await?;
    }
    let verb = if change.wait {
        "in force at"
    } else {
        "accepted as"
    };
    show(accepted, verb, json);
    Ok(())
}

/// Waits until the status that the called host returns shows the revision, or a later one, for
/// every registered host. Fails after `wait_ms` milliseconds. A host whose revision the called host
/// does not know counts as behind.
async fn wait(client: &OperatorClient, revision: u64, wait_ms: u64) -> Result<()> {
    let deadline_ms = clock::now_ms() + wait_ms;
    while clock::now_ms() < deadline_ms {
        let status = client.status().await.context(CallSnafu)?;
        let mut hosts = status.hosts.iter();
        if hosts.all(|host| host.revision >= Some(revision)) {
            return Ok(());
        }
        time::sleep(Duration::from_millis(WAIT_POLL_MS)).await;
    }
    Err(Error::NotInForce { revision, wait_ms })
}

fn show(accepted: &Accepted, verb: &str, json: bool) {
    if json {
        output::json(accepted);
        return;
    }
    output::line(&format!("{verb} revision {}", accepted.revision));
    let effect = &accepted.effect;
    let groups = [
        ("added", &effect.services_added),
        ("changed", &effect.services_changed),
        ("withdrawn", &effect.services_withdrawn),
    ];
    for (verb, services) in groups {
        for service in services {
            output::line(&format!("  {verb} {service}"));
        }
    }
    if effect.slots > 0 {
        output::line(&format!(
            "  {} of {} slots move",
            effect.slots_moved, effect.slots
        ));
    }
}

/// Creates a client for the operators' API at the address in the flags, with the token from the
/// token file if one is given.
pub fn client(api: &ApiArgs) -> Result<OperatorClient> {
    let token = match &api.token_file {
        Some(path) => {
            let text = fs::read_to_string(path).context(ReadSnafu { path })?;
            text.lines().next().map(|line| line.trim().to_owned())
        }
        None => None,
    };
    Ok(OperatorClient::new(api.api, token))
}
