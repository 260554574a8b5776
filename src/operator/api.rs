//! Endpoints of the operators' API. Reads need no token. Changes need the operators' token.

use std::{fs, net::SocketAddr, sync::Arc};

use dropshot::{
    ApiDescription, ConfigDropshot, ErrorStatusCode, HttpError, HttpResponseOk, HttpServer, Query,
    RequestContext, ServerBuilder, TypedBody, endpoint,
};
use http::header;
use snafu::ResultExt;

use super::{
    dry_run,
    message::{
        Accepted, AuditEntry, AuditPage, AuditQuery, DocumentBody, DocumentList, Draining,
        HostStatus, OwnerBody, OwnerQuery, ServerStatus, ServiceStatus, StatusBody, SubmitBody,
        WithdrawBody,
    },
};
use crate::{
    clock,
    configuration::DOCUMENT_BYTES_MAX,
    host::{CommitError, CommitRequest, Error as HostError, Host, OperatorsSnafu, TokenSnafu},
    id::{HostKey, OperationId, Revision, ServerKey},
    logging,
    routing::key,
    state::{self, Change, Document, LogEntry, ServerEntry, State},
};

/// Number of bytes by which a request body may exceed twice the maximum size of a document, for the
/// JSON fields around the document.
const BODY_EXTRA_BYTES: usize = 512 * 1024;

/// Context that dropshot passes to every endpoint: the host that serves the API, and the operators'
/// token if the settings name one.
#[derive(Debug)]
pub struct Context {
    host: Arc<Host>,
    token: Option<String>,
}

/// Handle of the running HTTP server of the operators' API of one host.
#[derive(Debug)]
pub struct OperatorServer {
    /// Address on which the server listens. If the settings have port 0, the address contains the
    /// port that the operating system chose.
    pub address: SocketAddr,
    server: Server,
}

struct Server(HttpServer<Context>);

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl OperatorServer {
    /// Stops the server after the requests in flight have finished.
    pub async fn stop(self) {
        if let Err(error) = self.server.0.close().await {
            log::warn!("the operators' API stopped with an error: {error}");
        }
    }
}

/// Starts the operators' API of a host on the address in its settings. Fails if the token file
/// cannot be read or has no token, or if the address cannot be bound.
pub async fn start(host: Arc<Host>) -> Result<OperatorServer, HostError> {
    let token = match &host.settings.operators.token_file {
        Some(path) => Some(read_token(path)?),
        None => None,
    };
    let config = ConfigDropshot {
        bind_address: host.settings.operators.listen,
        default_request_body_max_bytes: DOCUMENT_BYTES_MAX * 2 + BODY_EXTRA_BYTES,
        ..ConfigDropshot::default()
    };
    let context = Context { host, token };
    let api = api_description().map_err(|message| HostError::Operators { message })?;
    let server = ServerBuilder::new(api, context, logging::slog_bridge())
        .config(config)
        .start()
        .map_err(|error| HostError::Operators {
            message: error.to_string(),
        })?;
    Ok(OperatorServer {
        address: server.local_addr(),
        server: Server(server),
    })
}

/// Reads the operators' token from the first line of a file. Fails if the line is empty.
fn read_token(path: &std::path::Path) -> Result<String, HostError> {
    let text = fs::read_to_string(path).context(TokenSnafu { path })?;
    let token = text.lines().next().unwrap_or_default().trim().to_owned();
    if token.is_empty() {
        let message = format!("{}: the first line has no token", path.display());
        return OperatorsSnafu { message }.fail();
    }
    Ok(token)
}

fn api_description() -> Result<ApiDescription<Context>, String> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(get_status),
        api.register(get_owner),
        api.register(get_audit),
        api.register(get_templates),
        api.register(get_workspaces),
        api.register(submit_template),
        api.register(submit_workspace),
        api.register(withdraw_template),
        api.register(withdraw_workspace),
        api.register(drain_host),
    ];
    for result in registered {
        result.map_err(|error| error.to_string())?;
    }
    Ok(api)
}

type ApiResult<T> = Result<HttpResponseOk<T>, HttpError>;

fn error(status: ErrorStatusCode, message: String) -> HttpError {
    HttpError {
        status_code: status,
        error_code: None,
        external_message: message.clone(),
        internal_message: message,
        headers: None,
    }
}

#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(context: RequestContext<Context>) -> ApiResult<StatusBody> {
    let host = &context.context().host;
    let state = host.view.state();
    Ok(HttpResponseOk(StatusBody {
        host: host.settings.name.clone(),
        revision: state.revision.0,
        configuration: state.configuration.0,
        fresh: host.view.is_up_to_date(),
        staleness_ms: host.view.staleness_ms(),
        leading: host.leading(),
        term: host.leader_term(),
        registry_settled: state.registry.is_change_complete(),
        hosts: host_statuses(host, &state),
        servers: server_statuses(&state),
        services: service_statuses(&state),
    }))
}

fn host_statuses(host: &Host, state: &State) -> Vec<HostStatus> {
    let own = host.key();
    let now_ms = clock::now_ms();
    let status = |(key, entry): (HostKey, &state::HostEntry)| {
        let heard = host.view.peer_revision(key);
        let is_own = Some(key) == own;
        let own_age_ms = host.view.applied_age_ms(state.revision);
        let since = heard.map(|heard| now_ms.saturating_sub(heard.since_ms));
        let last = heard.map(|heard| now_ms.saturating_sub(heard.heard_ms));
        HostStatus {
            name: entry.name.clone(),
            availability_zone: entry.availability_zone.clone(),
            state: lowercase_name(&entry.state),
            revision: if is_own {
                Some(state.revision.0)
            } else {
                heard.map(|heard| heard.revision.0)
            },
            since_ms: if is_own { own_age_ms } else { since },
            heard_ms: if is_own { Some(0) } else { last },
        }
    };
    state.registered_hosts().map(status).collect()
}

fn server_statuses(state: &State) -> Vec<ServerStatus> {
    let mut owned = vec![0; state.servers.len()];
    for (_, service) in state.active_services() {
        for owner in service.slots.iter().filter_map(|slot| slot.owner) {
            owned[owner.0 as usize] += 1;
        }
    }
    let status = |(entry, slots): (&ServerEntry, u64)| ServerStatus {
        address: entry.address.to_string(),
        availability_zone: entry.availability_zone.clone(),
        state: lowercase_name(&entry.state),
        draining: entry.draining,
        slots,
    };
    state.servers.iter().zip(owned).map(status).collect()
}

fn service_statuses(state: &State) -> Vec<ServiceStatus> {
    let mut statuses = Vec::new();
    for (_, service) in state.active_services() {
        let slots = &service.slots;
        statuses.push(ServiceStatus {
            name: service.spec.name.clone(),
            slots: slots.len() as u64,
            settled: slots.iter().filter(|s| s.stable_owner().is_some()).count() as u64,
            moving: slots.iter().filter(|s| s.next.is_some()).count() as u64,
        });
    }
    statuses
}

/// Returns the name of an enum variant in lower case, as the responses of the API contain the name.
fn lowercase_name(state: &impl std::fmt::Debug) -> String {
    format!("{state:?}").to_lowercase()
}

#[endpoint { method = GET, path = "/v1/owner" }]
async fn get_owner(
    context: RequestContext<Context>,
    query: Query<OwnerQuery>,
) -> ApiResult<OwnerBody> {
    let query = query.into_inner();
    let state = context.context().host.view.state();
    let service = state.service_key(&query.service);
    let service = service.and_then(|key| state.service(key));
    let Some(service) = service.filter(|service| service.active) else {
        let message = format!("there is no service named {}", query.service);
        return Err(error(ErrorStatusCode::NOT_FOUND, message));
    };
    let slot = key::slot(&query.key, service.spec.slots);
    let entry = service.slots.get(slot.0 as usize).copied();
    let entry = entry.unwrap_or_default();
    let address = |server: Option<ServerKey>| {
        let server = server.and_then(|server| state.server(server));
        server.map(|server| server.address.to_string())
    };
    Ok(HttpResponseOk(OwnerBody {
        slot: slot.0,
        epoch: entry.epoch.0,
        owner: address(entry.owner),
        next: address(entry.next),
    }))
}

#[endpoint { method = GET, path = "/v1/audit" }]
async fn get_audit(
    context: RequestContext<Context>,
    query: Query<AuditQuery>,
) -> ApiResult<AuditPage> {
    let after = Revision(query.into_inner().after);
    let entries = context.context().host.audit(after).await;
    let entries =
        entries.map_err(|e| error(ErrorStatusCode::SERVICE_UNAVAILABLE, e.to_string()))?;
    let entries = entries.iter().map(audit_entry).collect();
    Ok(HttpResponseOk(AuditPage { entries }))
}

fn audit_entry(entry: &LogEntry) -> AuditEntry {
    AuditEntry {
        revision: entry.revision.0,
        at_unix_ms: entry.at_unix_ms,
        actor: entry.actor.clone(),
        operation_id: entry.operation_id.to_string(),
        change: serde_json::to_string(&entry.change).unwrap_or_default(),
    }
}

#[endpoint { method = GET, path = "/v1/templates" }]
async fn get_templates(context: RequestContext<Context>) -> ApiResult<DocumentList> {
    let state = context.context().host.view.state();
    Ok(HttpResponseOk(documents(&state, state.templates.iter())))
}

#[endpoint { method = GET, path = "/v1/workspaces" }]
async fn get_workspaces(context: RequestContext<Context>) -> ApiResult<DocumentList> {
    let state = context.context().host.view.state();
    Ok(HttpResponseOk(documents(&state, state.workspaces.iter())))
}

fn documents<'a>(
    state: &State,
    declared: impl Iterator<Item = (&'a String, &'a Document)>,
) -> DocumentList {
    let body = |(name, document): (&String, &Document)| DocumentBody {
        name: name.clone(),
        revision: document.revision.0,
        document: document.text.clone(),
    };
    DocumentList {
        configuration: state.configuration.0,
        documents: declared.map(body).collect(),
    }
}

#[endpoint { method = POST, path = "/v1/templates/submit" }]
async fn submit_template(
    context: RequestContext<Context>,
    body: TypedBody<SubmitBody>,
) -> ApiResult<Accepted> {
    let body = body.into_inner();
    let document = body.document.clone();
    submit(&context, body, Change::TemplateSubmitted { document }).await
}

#[endpoint { method = POST, path = "/v1/workspaces/submit" }]
async fn submit_workspace(
    context: RequestContext<Context>,
    body: TypedBody<SubmitBody>,
) -> ApiResult<Accepted> {
    let body = body.into_inner();
    let document = body.document.clone();
    submit(&context, body, Change::WorkspaceSubmitted { document }).await
}

#[endpoint { method = POST, path = "/v1/templates/withdraw" }]
async fn withdraw_template(
    context: RequestContext<Context>,
    body: TypedBody<WithdrawBody>,
) -> ApiResult<Accepted> {
    let body = body.into_inner();
    let name = body.name.clone();
    submit(
        &context,
        withdrawal(body),
        Change::TemplateWithdrawn { name },
    )
    .await
}

#[endpoint { method = POST, path = "/v1/workspaces/withdraw" }]
async fn withdraw_workspace(
    context: RequestContext<Context>,
    body: TypedBody<WithdrawBody>,
) -> ApiResult<Accepted> {
    let body = body.into_inner();
    let name = body.name.clone();
    submit(
        &context,
        withdrawal(body),
        Change::WorkspaceWithdrawn { name },
    )
    .await
}

/// Begins the planned stop of the host that receives the request. The host responds at once, before
/// its requests in flight have finished.
#[endpoint { method = POST, path = "/v1/host/drain" }]
async fn drain_host(context: RequestContext<Context>) -> ApiResult<Draining> {
    authorize(&context)?;
    let host = &context.context().host;
    host.request_stop();
    Ok(HttpResponseOk(Draining {
        host: host.settings.name.clone(),
    }))
}

fn withdrawal(body: WithdrawBody) -> SubmitBody {
    SubmitBody {
        document: String::new(),
        operation_id: body.operation_id,
        expect_revision: body.expect_revision,
        actor: body.actor,
        dry_run: false,
    }
}

async fn submit(
    context: &RequestContext<Context>,
    body: SubmitBody,
    change: Change,
) -> ApiResult<Accepted> {
    authorize(context)?;
    let host = &context.context().host;
    let before = host.view.state();
    if body.dry_run {
        let effect = dry_run_effect(&before, &change).map_err(|e| refusal(&e))?;
        return Ok(HttpResponseOk(Accepted {
            revision: before.revision.0,
            effect,
        }));
    }
    let effect = dry_run_effect(&before, &change).unwrap_or_default();
    let operation_id = body.operation_id.map(OperationId);
    let request = CommitRequest {
        operation_id: operation_id.unwrap_or_else(OperationId::random),
        actor: body.actor.unwrap_or_else(|| "operator".to_owned()),
        expect_revision: body.expect_revision.map(Revision),
        change,
    };
    match host.commit(request).await {
        Ok(revision) => Ok(HttpResponseOk(Accepted {
            revision: revision.0,
            effect,
        })),
        Err(failure) => Err(commit_error(host, failure).await),
    }
}

/// Computes the effect of a change by applying the change to a copy of the state. Fails with the
/// error with which the state would refuse the change itself.
fn dry_run_effect(before: &State, change: &Change) -> state::Result<super::message::Effect> {
    let mut after = before.clone();
    after.apply_dry_run(change.clone())?;
    Ok(dry_run::effect(before, &after))
}

/// Checks the bearer token of a request for a change or a planned stop. If the settings of the host
/// name no token file, every such request is refused.
fn authorize(context: &RequestContext<Context>) -> Result<(), HttpError> {
    let Some(token) = &context.context().token else {
        let message = "changes are refused: the host's settings name no token_file";
        return Err(error(ErrorStatusCode::FORBIDDEN, message.to_owned()));
    };
    let sent = context.request.headers().get(header::AUTHORIZATION);
    let sent = sent.and_then(|value| value.to_str().ok());
    let sent = sent.and_then(|value| value.strip_prefix("Bearer "));
    if !sent.is_some_and(|sent| constant_time_eq(sent.as_bytes(), token.as_bytes())) {
        let message = "changes need the operators' token";
        return Err(error(ErrorStatusCode::UNAUTHORIZED, message.to_owned()));
    }
    Ok(())
}

/// Compares two byte strings in a time that does not depend on where they differ, so that the
/// duration does not reveal a correct prefix of the token.
fn constant_time_eq(one: &[u8], other: &[u8]) -> bool {
    let differ = one.iter().zip(other).fold(0, |all, (a, b)| all | (a ^ b));
    one.len() == other.len() && differ == 0
}

/// Returns the HTTP error for a change that the state refuses.
fn refusal(failure: &state::Error) -> HttpError {
    let status = match failure {
        state::Error::Declaration { .. } => ErrorStatusCode::UNPROCESSABLE_ENTITY,
        state::Error::Unknown { .. } => ErrorStatusCode::NOT_FOUND,
        _ => ErrorStatusCode::CONFLICT,
    };
    error(status, failure.to_string())
}

async fn commit_error(host: &Host, failure: CommitError) -> HttpError {
    match failure {
        CommitError::Refused { source } => refusal(&source),
        CommitError::ConfigurationChanged { expected, found } => {
            let other = host.other_change(found).await;
            let message = format!(
                "{}; the other change: {other}",
                CommitError::ConfigurationChanged { expected, found }
            );
            error(ErrorStatusCode::CONFLICT, message)
        }
        other => error(ErrorStatusCode::SERVICE_UNAVAILABLE, other.to_string()),
    }
}

impl Host {
    /// Reads the entries after a revision from the change log, which is the audit trail.
    async fn audit(&self, after: Revision) -> Result<Vec<LogEntry>, state::LogError> {
        self.log.tail(after).await
    }

    /// Describes the change that was committed at `revision`, for the error message to an operator
    /// whose own change conflicts with the committed change.
    async fn other_change(&self, revision: Revision) -> String {
        let before = Revision(revision.0.saturating_sub(1));
        let entries = self.log.tail(before).await.unwrap_or_default();
        match entries.first() {
            Some(entry) => format!(
                "revision {revision} by {}: {}",
                entry.actor,
                serde_json::to_string(&entry.change).unwrap_or_default()
            ),
            None => format!("revision {revision}"),
        }
    }
}
