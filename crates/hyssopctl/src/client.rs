//! Requests to the operators' API, which go to one control VM after another.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hyssopdyke_wire::resource::{Kind, Listing, Problem, Resource, Status};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::Watch;

/// Time for one request.
const REQUEST: Duration = Duration::from_secs(5);

/// Time for connecting to one control VM.
const CONNECT: Duration = Duration::from_secs(1);

/// Pause before all control VMs are asked again.
const RETRY: Duration = Duration::from_millis(100);

/// Time for which control VMs are asked before a request fails.
const PATIENCE: Duration = Duration::from_secs(15);

/// Why a request failed.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Error {
    /// No control VM could be reached, or none leads.
    #[error("no control VM answers: {0}")]
    Unavailable(Box<str>),
    /// The resource has changed since it was read.
    #[error("conflict: {}", .0.detail)]
    Conflict(Box<Problem>),
    /// Control refused the request.
    #[error("{}: {}", .0.code, .0.detail)]
    Refused(Box<Problem>),
    /// Control sent something that is no answer.
    #[error("malformed answer: {0}")]
    Malformed(Box<str>),
    /// A change was not in force in time.
    #[error("revision {revision} is not in force within {timeout:?}; {behind}")]
    NotInForce {
        /// Revision that was waited for.
        revision: u64,
        /// Time that was waited.
        timeout: Duration,
        /// Daemons that have not acknowledged it.
        behind: Box<str>,
    },
}

/// What must hold for a write to be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// Nothing.
    None,
    /// The resource does not exist.
    Absent,
    /// The resource is of this generation.
    Generation(u64),
}

/// A control VM with the address of its replica port.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Voter {
    /// Name of the VM.
    pub name: Box<str>,
    /// Socket address.
    pub address: Box<str>,
    /// Identity of its data folder, which another disk does not have; empty for a VM that is to
    /// be given a vote.
    #[serde(default)]
    pub identity: Box<str>,
}

/// The control VMs that vote, and who leads them.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Members {
    /// Name of the leader.
    pub leader: Option<Box<str>>,
    /// Term of the leader.
    pub term: u64,
    /// All voters, by name.
    pub voters: Vec<Voter>,
}

/// Client of several control VMs.
#[derive(Debug, Clone)]
pub struct Client {
    control: Vec<SocketAddr>,
    agent: Agent,
    retry_timeout: Duration,
}

impl Client {
    /// A client of control VMs, by the addresses of their API ports.
    #[must_use]
    pub fn new(control: impl IntoIterator<Item = SocketAddr>) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT))
            .timeout_recv_response(Some(REQUEST))
            .build();
        Self {
            control: control.into_iter().collect(),
            agent: config.new_agent(),
            retry_timeout: PATIENCE,
        }
    }

    /// Asks control VMs for `retry_timeout` before a request fails.
    #[must_use]
    pub const fn with_retry_timeout(mut self, retry_timeout: Duration) -> Self {
        self.retry_timeout = retry_timeout;
        self
    }

    /// A key for one write, under which its repeats get the same answer.
    #[must_use]
    pub fn idempotency_key() -> Box<str> {
        format!("{:032x}", rand::random::<u128>()).into()
    }

    /// Which revision is in force.
    ///
    /// # Errors
    ///
    /// An [`Error`] if control does not answer.
    pub fn status(&self) -> Result<Status, Error> {
        self.request(|agent, base| agent.get(format!("{base}/status")).call())
    }

    /// The control VMs.
    ///
    /// # Errors
    ///
    /// An [`Error`] if control does not answer.
    pub fn members(&self) -> Result<Members, Error> {
        self.request(|agent, base| agent.get(format!("{base}/members")).call())
    }

    /// Gives a control VM a vote, once it has all entries.
    ///
    /// # Errors
    ///
    /// An [`Error`] if control refuses or does not answer.
    pub fn add_voter(&self, voter: &Voter) -> Result<(), Error> {
        self.send(|agent, base| agent.post(format!("{base}/members")).send_json(voter)).map(drop)
    }

    /// Takes a control VM's vote.
    ///
    /// # Errors
    ///
    /// An [`Error`] if control refuses or does not answer.
    pub fn remove_voter(&self, name: &str) -> Result<(), Error> {
        self.send(|agent, base| agent.delete(format!("{base}/members/{name}")).call()).map(drop)
    }

    /// All resources of a kind.
    ///
    /// # Errors
    ///
    /// An [`Error`] if control does not answer.
    pub fn list(&self, kind: Kind) -> Result<Listing, Error> {
        self.request(|agent, base| agent.get(format!("{base}/{}", plural(kind))).call())
    }

    /// One resource.
    ///
    /// # Errors
    ///
    /// An [`Error`] if there is none or control does not answer.
    pub fn get(&self, kind: Kind, name: &str) -> Result<Resource, Error> {
        self.request(|agent, base| agent.get(format!("{base}/{}/{name}", plural(kind))).call())
    }

    /// Writes a resource; repeats with the same key change nothing more.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] if the precondition does not hold, another [`Error`] otherwise.
    pub fn put(
        &self,
        kind: Kind,
        resource: &Resource,
        precondition: Precondition,
        key: &str,
    ) -> Result<Resource, Error> {
        self.request(|agent, base| {
            let uri = format!("{base}/{}/{}", plural(kind), resource.name);
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

    /// Removes a resource.
    ///
    /// # Errors
    ///
    /// An [`Error`] if there is none or control does not answer.
    pub fn delete(&self, kind: Kind, name: &str, key: &str) -> Result<Resource, Error> {
        self.request(|agent, base| {
            let uri = format!("{base}/{}/{name}", plural(kind));
            agent.delete(uri).header("idempotency-key", key).call()
        })
    }

    /// Changes from a revision on, as they are made.
    ///
    /// # Errors
    ///
    /// An [`Error`] if the revision is too old or control does not answer.
    pub fn watch(&self, after: u64) -> Result<Watch, Error> {
        let response =
            self.send(|agent, base| agent.get(format!("{base}/watch?after={after}")).call())?;
        Ok(Watch::new(response.into_body().into_reader()))
    }

    /// Waits until a revision is in force.
    ///
    /// # Errors
    ///
    /// [`Error::NotInForce`] if it is not within `timeout`.
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
            std::thread::sleep(RETRY);
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

    /// Asks one control VM after another until one answers for the system.
    fn send(
        &self,
        call: impl Fn(&Agent, &str) -> Result<Response<Body>, ureq::Error>,
    ) -> Result<Response<Body>, Error> {
        let start = Instant::now();
        let mut last: Box<str> = "no address is known".into();
        loop {
            for address in &self.control {
                match call(&self.agent, &format!("http://{address}/v1")) {
                    Ok(response) if response.status().is_success() => return Ok(response),
                    Ok(response) => {
                        let problem = problem(response)?;
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
            std::thread::sleep(RETRY);
        }
    }
}

fn problem(mut response: Response<Body>) -> Result<Problem, Error> {
    let status = response.status();
    let text = response.body_mut().read_to_string();
    let text = text.map_err(|error| Error::Malformed(error.to_string().into()))?;
    // The HTTP library itself answers with plain text.
    Ok(serde_json::from_str(&text).unwrap_or_else(|_| Problem {
        code: status.as_str().to_owned(),
        detail: text,
        current: None,
    }))
}

/// A kind's place in the API.
const fn plural(kind: Kind) -> &'static str {
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
