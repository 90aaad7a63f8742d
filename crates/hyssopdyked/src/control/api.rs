//! The HTTP API for operators: resources as JSON, with watches.

use std::convert::Infallible;
use std::sync::Arc;

use axum::body::{Body, Bytes};
use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use hyssopdyke::version::{Cursor, Outcome};
use hyssopdyke_wire::ledger::{Voter, Write, command};
use hyssopdyke_wire::resource::{Kind, Listing, Page, Resource, Status, resource};
use serde::{Deserialize, Serialize};

use super::handle::Handle;
use super::leases::Leases;
use super::problem::Problem;
use super::validate;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Size in bytes after which no further revision is added to a page of a watch.
const PAGE_BYTES: usize = 64 << 10;

/// Header whose value identifies a write: a retry with the same value gets the first response.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Maximum length of an idempotency key in characters.
const MAX_IDEMPOTENCY_KEY_LENGTH: usize = 128;

#[derive(Clone)]
struct Api {
    handle: Handle,
    leases: Arc<Leases>,
}

/// Query parameters of a watch.
#[derive(Debug)]
#[derive(Deserialize)]
struct WatchQuery {
    /// Revision after which the watch starts.
    #[serde(default)]
    after: u64,
}

/// A control VM that is or becomes a voter.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Member {
    name: Box<str>,
    address: Box<str>,
    /// Identity of the data folder in hexadecimal. Only in responses: the leader gets the identity
    /// from the VM itself.
    #[serde(default)]
    identity: Box<str>,
}

/// The voting control VMs and their leader.
#[derive(Debug)]
#[derive(Serialize)]
struct Members {
    leader: Option<Box<str>>,
    term: u64,
    voters: Vec<Member>,
}

/// Returns the routes of the API.
pub(super) fn router(handle: Handle, leases: Arc<Leases>) -> Router {
    Router::new()
        .route("/v1/status", get(status))
        .route("/v1/watch", get(watch))
        .route("/v1/members", get(list_members).post(admit_member))
        .route("/v1/members/{name}", post(admit_member).delete(remove_member))
        .route("/v1/{kind}", get(list))
        .route("/v1/{kind}/{name}", get(read).put(write).delete(delete))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(Api { handle, leases })
}

async fn status(State(api): State<Api>) -> Result<Json<Status>, Problem> {
    api.handle.confirm_leadership().await?;
    let registry = api.handle.registry().await;
    Ok(Json(api.leases.status(registry.store())))
}

async fn list(
    State(api): State<Api>,
    Path(kind): Path<Box<str>>,
) -> Result<Json<Listing>, Problem> {
    let kind = parse_kind(&kind)?;
    api.handle.confirm_leadership().await?;
    let registry = api.handle.registry().await;
    let resources = registry.store().list(kind).cloned().collect();
    Ok(Json(Listing { revision: registry.store().revision(), resources }))
}

async fn read(
    State(api): State<Api>,
    Path((kind, name)): Path<(Box<str>, Box<str>)>,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    api.handle.confirm_leadership().await?;
    let registry = api.handle.registry().await;
    let resource = registry.store().get(kind, &name).ok_or(Problem::NotFound)?;
    Ok(with_etag(StatusCode::OK, resource.clone()))
}

async fn write(
    State(api): State<Api>,
    Path((kind, name)): Path<(Box<str>, Box<str>)>,
    headers: HeaderMap,
    Json(mut resource): Json<Resource>,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    validate::check_name(&name)?;
    resource.name = name.into();
    {
        let registry = api.handle.registry().await;
        match (kind, &resource.body) {
            (Kind::Service, Some(resource::Body::Service(service))) => {
                validate::check_service(registry.store(), &resource.name, service)?;
            }
            (Kind::Domain, Some(resource::Body::Domain(_)))
            | (Kind::Upstream, Some(resource::Body::Upstream(_))) => {}
            (Kind::Entry | Kind::Route | Kind::Declaration, _) => {
                return Err(validate::Error::ReadOnly(kind_name(kind)).into());
            }
            _ => return Err(validate::Error::WrongKind(kind_name(kind)).into()),
        }
    }
    propose_write(&api, &headers, resource).await
}

async fn delete(
    State(api): State<Api>,
    Path((kind, name)): Path<(Box<str>, Box<str>)>,
    headers: HeaderMap,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    if matches!(kind, Kind::Entry | Kind::Route | Kind::Declaration) {
        return Err(validate::Error::ReadOnly(kind_name(kind)).into());
    }
    if kind == Kind::Service {
        validate::check_unused(api.handle.registry().await.store(), &name)?;
    }
    let body = Some(resource::Body::Deleted(kind as i32));
    let resource = Resource { name: name.into(), body, ..Resource::default() };
    propose_write(&api, &headers, resource).await
}

async fn propose_write(
    api: &Api,
    headers: &HeaderMap,
    resource: Resource,
) -> Result<Response, Problem> {
    let write = Write {
        idempotency_key: idempotency_key(headers)?,
        expected: expected_generation(headers)?,
        resource: Some(resource),
    };
    match api.handle.propose(command::Body::Write(write)).await? {
        Outcome::Written(resource) => Ok(with_etag(StatusCode::OK, resource)),
        Outcome::Conflict(current) => Err(Problem::Conflict(current.map(Box::new))),
        Outcome::Missing | Outcome::Declared(_) | Outcome::Recorded => Err(Problem::NotFound),
    }
}

/// Streams pages of changes, one JSON document per line.
///
/// A slow reader occupies no memory here: a page is built from the current state once the reader
/// has received the previous page.
async fn watch(
    State(api): State<Api>,
    Query(query): Query<WatchQuery>,
) -> Result<Response, Problem> {
    api.handle.confirm_leadership().await?;
    let start = Cursor::at(query.after);
    let first = api.handle.registry().await.store().changes_since(start, PAGE_BYTES);
    if first.reset && query.after != 0 {
        return Err(Problem::Gone(query.after));
    }
    let revisions = api.handle.revision.clone();
    let pages = futures_util::stream::unfold(
        (api, revisions, Some(first), start),
        async |(api, mut revisions, mut first, mut cursor)| {
            loop {
                let page = match first.take() {
                    Some(page) => page,
                    None => api.handle.registry().await.store().changes_since(cursor, PAGE_BYTES),
                };
                if page.reset && cursor.after != 0 {
                    return None;
                }
                if page.upto > cursor.after {
                    cursor = cursor.following(&page);
                    return Some((
                        Ok::<_, Infallible>(encode_page(&page)),
                        (api, revisions, None, cursor),
                    ));
                }
                revisions.wait_for(|revision| *revision > cursor.after).await.ok()?;
            }
        },
    );
    let body = Body::from_stream(pages);
    Ok(([(header::CONTENT_TYPE, "application/x-ndjson")], body).into_response())
}

fn encode_page(page: &Page) -> Bytes {
    // Pages consist of generated types, which always serialize to JSON.
    let mut bytes = serde_json::to_vec(page).unwrap_or_default();
    bytes.push(b'\n');
    bytes.into()
}

async fn list_members(State(api): State<Api>) -> Result<Json<Members>, Problem> {
    api.handle.confirm_leadership().await?;
    let leadership = api.handle.leadership.borrow().clone();
    let registry = api.handle.registry().await;
    let voters = registry.configuration().voters.iter();
    let voters = voters.map(|voter| Member {
        name: voter.name.as_str().into(),
        address: voter.address.as_str().into(),
        identity: format!("{:016x}", voter.identity).into(),
    });
    let voters = voters.collect();
    Ok(Json(Members { leader: leadership.leader, term: leadership.term, voters }))
}

async fn admit_member(
    State(api): State<Api>,
    Json(member): Json<Member>,
) -> Result<StatusCode, Problem> {
    validate::check_member(&member.name, &member.address)?;
    let voter = Voter { name: member.name.into(), identity: 0, address: member.address.into() };
    api.handle.admit_voter(voter).await?;
    Ok(StatusCode::ACCEPTED)
}

async fn remove_member(
    State(api): State<Api>,
    Path(name): Path<Box<str>>,
) -> Result<StatusCode, Problem> {
    api.handle.remove_voter(name).await?;
    Ok(StatusCode::ACCEPTED)
}

fn with_etag(status: StatusCode, resource: Resource) -> Response {
    let tag = format!("\"{}\"", resource.generation);
    (status, [(header::ETAG, tag)], Json(resource)).into_response()
}

fn idempotency_key(headers: &HeaderMap) -> Result<String, Problem> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Err(Problem::Header(IDEMPOTENCY_KEY, "is required on every write"));
    };
    match value.to_str() {
        Ok(key) if (1..=MAX_IDEMPOTENCY_KEY_LENGTH).contains(&key.len()) => Ok(key.to_owned()),
        _ => Err(Problem::Header(IDEMPOTENCY_KEY, "must be 1 to 128 printable characters")),
    }
}

/// Returns the generation that a write expects; 0 if the resource must not exist.
fn expected_generation(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    if headers.get(header::IF_NONE_MATCH).is_some_and(|value| value == "*") {
        return Ok(Some(0));
    }
    let Some(value) = headers.get(header::IF_MATCH) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    let number =
        text.parse().map_err(|_| Problem::Header("if-match", "must be a generation number"))?;
    Ok(Some(number))
}

fn parse_kind(text: &str) -> Result<Kind, Problem> {
    Ok(match text {
        "services" => Kind::Service,
        "domains" => Kind::Domain,
        "upstreams" => Kind::Upstream,
        "entries" => Kind::Entry,
        "routes" => Kind::Route,
        "declarations" => Kind::Declaration,
        _ => return Err(Problem::UnknownKind(text.into())),
    })
}

const fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Service => "service",
        Kind::Domain => "domain",
        Kind::Upstream => "upstream",
        Kind::Entry => "entry",
        Kind::Route => "route",
        Kind::Declaration => "declaration",
        Kind::Unspecified => "unspecified",
    }
}
