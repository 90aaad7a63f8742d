//! Requests to the operators' API. Each request tries the control VMs in turn until one of them
//! answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke_wire::resource::{Kind, Listing, Problem, Resource, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::Watch;

/// Timeout for the response to one request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for a connection to one control VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two rounds over all control VMs, and between two polls of the status.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Default time for which a request is retried before it fails.
const DEFAULT_RETRY_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of a request.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No control VM could be reached, or none of them leads.
    #[error("no control VM handled the request; last error: {0}")]
    Unavailable(Box<str>),
    /// The resource has changed since it was read.
    #[error("conflict: {}", .0.detail)]
    Conflict(Box<Problem>),
    /// Control refused the request.
    #[error("{}: {}", .0.code, .0.detail)]
    Refused(Box<Problem>),
    /// The response of control cannot be parsed.
    #[error("malformed response from control: {0}")]
    Malformed(Box<str>),
    /// A revision did not come into force before the timeout.
    #[error("revision {revision} did not come into force within {timeout:?}: {behind}")]
    NotInForce {
        /// Expected revision.
        revision: u64,
        /// Timeout of the wait.
        timeout: Duration,
        /// Daemons that have not acknowledged the revision, with the revision of each.
        behind: Box<str>,
    },
}

/// Condition under which control accepts a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// No condition.
    None,
    /// The resource does not exist.
    Absent,
    /// The resource has this generation.
    Generation(u64),
}

/// Control VM with a vote, and the address of its replica port.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Voter {
    /// Name of the VM.
    pub name: Box<str>,
    /// Socket address of the replica port.
    pub address: Box<str>,
    /// Unique identity of the VM's data folder, which changes with the disk. Empty in a request to
    /// add a voter.
    #[serde(default)]
    pub identity: Box<str>,
}

/// Voting control VMs and their leader.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Members {
    /// Name of the leader, if there is one.
    pub leader: Option<Box<str>>,
    /// Term of the leader.
    pub term: u64,
    /// All voters.
    pub voters: Vec<Voter>,
}

/// Client of the operators' API on several control VMs.
#[derive(Debug, Clone)]
pub struct Client {
    control: Vec<SocketAddr>,
    agent: Agent,
    retry_timeout: Duration,
}

impl Client {
    /// Creates a client from the addresses of the control VMs' API ports.
    #[must_use]
    pub fn new(control: impl IntoIterator<Item = SocketAddr>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_recv_response(Some(RESPONSE_TIMEOUT))
            .build();
        Self {
            control: control.into_iter().collect(),
            agent: config.new_agent(),
            retry_timeout: DEFAULT_RETRY_TIMEOUT,
        }
    }

    /// Sets the time for which a request is retried before it fails.
    #[must_use]
    pub const fn with_retry_timeout(mut self, retry_timeout: Duration) -> Self {
        self.retry_timeout = retry_timeout;
        self
    }

    /// Returns a random idempotency key for one write. Retries with the same key get the same
    /// answer.
    #[must_use]
    pub fn idempotency_key() -> Box<str> {
        format!("{:032x}", rand::random::<u128>()).into()
    }

    /// Returns the latest revision, the revision in force and the state of all daemons.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if control does not answer.
    pub fn status(&self) -> Result<Status, Error> {
        self.request(|agent, base| agent.get(format!("{base}/status")).call())
    }

    /// Returns the voting control VMs and their leader.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if control does not answer.
    pub fn members(&self) -> Result<Members, Error> {
        self.request(|agent, base| agent.get(format!("{base}/members")).call())
    }

    /// Requests a vote for a control VM. The VM gets it once it has replicated all log entries.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if control refuses or does not answer.
    pub fn add_voter(&self, voter: &Voter) -> Result<(), Error> {
        self.send(|agent, base| agent.post(format!("{base}/members")).send_json(voter)).map(drop)
    }

    /// Removes the vote of a control VM.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if control refuses or does not answer.
    pub fn remove_voter(&self, name: &str) -> Result<(), Error> {
        self.send(|agent, base| agent.delete(format!("{base}/members/{name}")).call()).map(drop)
    }

    /// Returns all resources of a kind.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if control does not answer.
    pub fn list(&self, kind: Kind) -> Result<Listing, Error> {
        self.request(|agent, base| agent.get(format!("{base}/{}", path_segment(kind))).call())
    }

    /// Returns one resource.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the resource does not exist or control does not answer.
    pub fn get(&self, kind: Kind, name: &str) -> Result<Resource, Error> {
        self.request(|agent, base| {
            agent.get(format!("{base}/{}/{name}", path_segment(kind))).call()
        })
    }

    /// Writes a resource. The write is idempotent: retries with the same `key` have no further
    /// effect.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Conflict`] if the precondition does not hold, and another [`Error`] if
    /// control refuses or does not answer.
    pub fn put(
        &self,
        kind: Kind,
        resource: &Resource,
        precondition: Precondition,
        key: &str,
    ) -> Result<Resource, Error> {
        self.request(|agent, base| {
            let uri = format!("{base}/{}/{}", path_segment(kind), resource.name);
            let request = agent.put(uri).header("idempotency-key", key);
            match precondition {
                Precondition::None => request,
                Precondition::Absent => request.header("if-none-match", "*"),
                Precondition::Generation(number) => {
                    request.header("if-match", format!("\"{number}\""))
                }
            }
            .send_json(resource)
        })
    }

    /// Removes a resource. Retries with the same `key` have no further effect.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the resource does not exist or control does not answer.
    pub fn delete(&self, kind: Kind, name: &str, key: &str) -> Result<Resource, Error> {
        self.request(|agent, base| {
            let uri = format!("{base}/{}/{name}", path_segment(kind));
            agent.delete(uri).header("idempotency-key", key).call()
        })
    }

    /// Streams the changes after a revision.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if control does not have the changes after the revision or does not answer.
    pub fn watch(&self, after: u64) -> Result<Watch, Error> {
        let response =
            self.send(|agent, base| agent.get(format!("{base}/watch?after={after}")).call())?;
        Ok(Watch::new(response.into_body().into_reader()))
    }

    /// Waits until a revision is in force.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotInForce`] if the revision is not in force within `timeout`, and another
    /// [`Error`] if control does not answer.
    pub fn wait(&self, revision: u64, timeout: Duration) -> Result<Status, Error> {
        let start = Instant::now();
        loop {
            let status = self.status()?;
            if status.in_force >= revision {
                return Ok(status);
            }
            if start.elapsed() > timeout {
                let behind = status.daemons.iter().filter(|daemon| daemon.revision < revision);
                let behind: Vec<_> = behind
                    .map(|daemon| format!("{} is at revision {}", daemon.name, daemon.revision))
                    .collect();
                let behind = behind.join(", ").into();
                return Err(Error::NotInForce { revision, timeout, behind });
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }

    fn request<T: DeserializeOwned>(
        &self,
        call: impl Fn(&Agent, &str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<T, Error> {
        let mut response = self.send(call)?;
        let text = response.body_mut().read_to_string();
        let text = text.map_err(|error| Error::Malformed(error.to_string().into()))?;
        serde_json::from_str(&text).map_err(|error| Error::Malformed(error.to_string().into()))
    }

    /// Sends a request to the control VMs in turn until the leader answers or `retry_timeout` has
    /// passed.
    fn send(
        &self,
        call: impl Fn(&Agent, &str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<Response<Body>, Error> {
        let start = Instant::now();
        let mut last: Box<str> = "no control VM address is configured".into();
        loop {
            for address in &self.control {
                match call(&self.agent, &format!("http://{address}/v1")) {
                    Ok(response) if response.status().is_success() => return Ok(response),
                    Ok(response) => {
                        let problem = parse_problem(response)?;
                        last = format!("{address}: {}", problem.detail).into();
                        match problem.code.as_str() {
                            "not_leader" | "outcome_unknown" | "busy" => {}
                            "conflict" => return Err(Error::Conflict(Box::new(problem))),
                            _ => return Err(Error::Refused(Box::new(problem))),
                        }
                    }
                    Err(error) => last = format!("{address}: {error}").into(),
                }
            }
            if start.elapsed() > self.retry_timeout {
                return Err(Error::Unavailable(last));
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
    }
}

fn parse_problem(mut response: Response<Body>) -> Result<Problem, Error> {
    let status = response.status();
    let text = response.body_mut().read_to_string();
    let text = text.map_err(|error| Error::Malformed(error.to_string().into()))?;
    // Control's HTTP library reports its own errors as plain text.
    Ok(serde_json::from_str(&text).unwrap_or_else(|_| Problem {
        code: status.as_str().to_owned(),
        detail: text,
        current: None,
    }))
}

/// Returns the path segment of a resource kind in the API.
const fn path_segment(kind: Kind) -> &'static str {
    match kind {
        Kind::Service => "services",
        Kind::Domain => "domains",
        Kind::Upstream => "upstreams",
        Kind::Entry => "entries",
        Kind::Route => "routes",
        Kind::Declaration => "declarations",
        Kind::Unspecified => "unspecified",
    }
}
