//! The replicated state of control: the resources, and the answers to operators' requests.
//!
//! Only [`Registry::apply`] changes a registry. It is deterministic, so that all control VMs that
//! have applied the same commands have the same state.

mod declare;
mod former;

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use hyssopdyke_wire::ledger::{
    Answer, Command, Configuration, Register, Snapshot, Unregister, Write, command,
};
use hyssopdyke_wire::resource::{Kind, Resource, Service, State, resource::Body};

use super::Store;
use super::homes::Homes;
use super::store::kind;

/// Maximum number of answers kept for retried requests.
const MAX_ANSWERS: usize = 10_000;

/// Name of the resource that records the current declaration.
pub const DECLARATION_NAME: &str = "current";

/// Outcome of a command.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The write was accepted; contains the resource after the change, or as of its removal.
    Written(Resource),
    /// The write conflicted with this state; `None` if the resource does not exist.
    Conflict(Option<Resource>),
    /// The resource that the write would change does not exist.
    Missing,
    /// The declaration with this version is current. Unless it is the version of the command, the
    /// command changed nothing.
    Declared(u64),
    /// The command was applied and has no further result.
    Recorded,
}

/// Resources, answers and configuration of control.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    store: Store,
    /// Answers by idempotency key.
    answers: HashMap<Box<str>, Answer>,
    /// Idempotency keys of the answers, oldest first.
    answer_order: VecDeque<Box<str>>,
    configuration: Configuration,
    /// The current declaration as the operator wrote it.
    document: Bytes,
    /// Homes as of the last applied command.
    homes: Homes,
}

impl Registry {
    /// Creates a registry without resources.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the resources.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the configuration of voters as of the last applied command.
    #[must_use]
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the version of the current declaration, and its text as the operator wrote it.
    #[must_use]
    pub fn declaration(&self) -> Option<(u64, &Bytes)> {
        let current = self.store.get(Kind::Declaration, DECLARATION_NAME)?;
        match &current.body {
            Some(Body::Declaration(declaration)) => Some((declaration.version, &self.document)),
            _ => None,
        }
    }

    /// Applies a command and returns its outcome.
    pub fn apply(&mut self, command: Command) -> Outcome {
        let revision = self.store.revision();
        let outcome = self.execute(command);
        if self.store.revision() > revision {
            self.record_home_changes();
        }
        outcome
    }

    fn execute(&mut self, command: Command) -> Outcome {
        match command.body {
            Some(command::Body::Write(write)) => self.write(write),
            Some(command::Body::Register(register)) => self.register(register),
            Some(command::Body::Unregister(unregister)) => self.unregister(&unregister),
            Some(command::Body::Declare(declare)) => self.declare(declare),
            Some(command::Body::Forget(forget)) => self.forget(forget.upto),
            Some(command::Body::Configuration(configuration)) => {
                self.configuration = configuration;
                Outcome::Recorded
            }
            Some(command::Body::Barrier(_)) | None => Outcome::Recorded,
        }
    }

    /// Returns a snapshot of the whole state, as of the log entry with this index and term.
    #[must_use]
    pub fn snapshot(&self, index: u64, term: u64) -> Snapshot {
        let answers = self.answer_order.iter().filter_map(|key| self.answers.get(key));
        Snapshot {
            index,
            term,
            configuration: Some(self.configuration.clone()),
            resources: self.store.iter().cloned().collect(),
            revision: self.store.revision(),
            answers: answers.cloned().collect(),
            floor: self.store.floor(),
            document: self.document.clone(),
        }
    }

    /// Restores a registry from a snapshot.
    #[must_use]
    pub fn restore(snapshot: Snapshot) -> Self {
        let mut registry = Self {
            store: Store::with_floor(snapshot.floor),
            configuration: snapshot.configuration.unwrap_or_default(),
            document: snapshot.document,
            ..Self::default()
        };
        for resource in snapshot.resources {
            registry.store.put(resource);
        }
        registry.store.advance_to(snapshot.revision);
        registry.homes = Homes::new(&registry.store);
        for answer in snapshot.answers {
            registry.store_answer(answer);
        }
        registry
    }

    fn write(&mut self, write: Write) -> Outcome {
        if let Some(answer) = self.answers.get(write.idempotency_key.as_str()) {
            return outcome(answer);
        }
        let outcome = self.change(write.expected, write.resource.unwrap_or_default());
        let (accepted, resource) = match &outcome {
            Outcome::Written(resource) => (true, Some(resource.clone())),
            Outcome::Conflict(current) => (false, current.clone()),
            // Not stored: a missing resource may exist when the request is retried.
            Outcome::Missing | Outcome::Declared(_) | Outcome::Recorded => return outcome,
        };
        if !write.idempotency_key.is_empty() {
            self.store_answer(Answer {
                idempotency_key: write.idempotency_key,
                accepted,
                resource,
            });
        }
        outcome
    }

    fn change(&mut self, expected: Option<u64>, mut resource: Resource) -> Outcome {
        let Some(kind) = kind(&resource) else {
            return Outcome::Missing;
        };
        let current = self.store.get(kind, &resource.name).cloned();
        let generation = current.as_ref().map_or(0, |current| current.generation);
        if expected.is_some_and(|expected| expected != generation) {
            return Outcome::Conflict(current);
        }
        let revision = self.store.revision() + 1;
        match (&mut resource.body, current.as_ref().and_then(|current| current.body.as_ref())) {
            (Some(Body::Service(service)), Some(Body::Service(former))) => {
                (service.epoch, service.home_epoch) = (former.epoch, former.home_epoch);
                service.retired = 0;
            }
            (Some(Body::Service(service)), _) => {
                (service.epoch, service.home_epoch) = (revision, revision);
                service.retired = 0;
            }
            // Routes may have flows at the service.
            (Some(Body::Deleted(_)), Some(Body::Service(_))) if self.is_linked(&resource.name) => {
                self.retire(&resource.name, revision);
                let retired = self.store.get(kind, &resource.name).cloned();
                return Outcome::Written(retired.unwrap_or(resource));
            }
            // An operator may change only the state of an upstream that an agent has registered.
            (Some(Body::Upstream(upstream)), Some(Body::Upstream(former))) => {
                let state = upstream.state;
                upstream.clone_from(former);
                upstream.state = state;
            }
            (Some(Body::Upstream(_) | Body::Entry(_)), _) | (Some(Body::Deleted(_)), None) => {
                return Outcome::Missing;
            }
            _ => {}
        }
        if let Some(Body::Upstream(former)) = current.and_then(|current| current.body)
            && matches!(resource.body, Some(Body::Deleted(_)))
        {
            self.record_member_change(&former.service, revision);
        }
        resource.revision = revision;
        resource.generation = revision;
        self.store.put(resource.clone());
        Outcome::Written(resource)
    }

    fn register(&mut self, register: Register) -> Outcome {
        let Some(mut resource) = register.resource else {
            return Outcome::Recorded;
        };
        let Some(kind) = kind(&resource) else {
            return Outcome::Recorded;
        };
        let revision = self.store.revision() + 1;
        let current = self.store.get(kind, &resource.name).cloned();
        resource.generation = current.as_ref().map_or(revision, |current| current.generation);
        match (&mut resource.body, current.and_then(|current| current.body)) {
            (Some(Body::Upstream(new)), Some(Body::Upstream(former))) => {
                if new.boot == former.boot {
                    return Outcome::Recorded;
                }
                new.incarnation = revision;
                new.away = false;
                new.state = former.state;
                if former.service != new.service {
                    self.record_member_change(&former.service, revision);
                }
                let service = new.service.clone();
                self.record_member_change(&service, revision);
            }
            (Some(Body::Upstream(new)), _) => {
                new.incarnation = revision;
                new.state = State::Active as i32;
                let service = new.service.clone();
                self.record_member_change(&service, revision);
            }
            (Some(Body::Entry(new)), Some(Body::Entry(former))) if new.boot == former.boot => {
                return Outcome::Recorded;
            }
            (Some(Body::Entry(new)), _) => new.incarnation = revision,
            _ => return Outcome::Recorded,
        }
        resource.revision = revision;
        self.store.put(resource);
        Outcome::Recorded
    }

    fn unregister(&mut self, unregister: &Unregister) -> Outcome {
        let Some(current) = self.store.get(unregister.kind(), &unregister.name).cloned() else {
            return Outcome::Recorded;
        };
        let revision = self.store.revision() + 1;
        let body = match current.body {
            Some(Body::Entry(entry)) if entry.boot == unregister.boot => {
                Body::Deleted(Kind::Entry as i32)
            }
            Some(Body::Upstream(upstream)) if upstream.boot == unregister.boot => {
                if upstream.boot != 0 {
                    self.record_member_change(&upstream.service, revision);
                }
                // The resource of a draining upstream is kept, so that the upstream is still
                // draining when its agent registers again, and that of an agent that is expected
                // back, so that no flow of its upstream counts as unknown meanwhile.
                let away = unregister.returns;
                if away || upstream.state() == State::Draining {
                    let (boot, address) = (0, String::new());
                    Body::Upstream(hyssopdyke_wire::resource::Upstream {
                        boot,
                        address,
                        away,
                        ..upstream
                    })
                } else {
                    Body::Deleted(Kind::Upstream as i32)
                }
            }
            _ => return Outcome::Recorded,
        };
        self.store.put(Resource { revision, body: Some(body), ..current });
        Outcome::Recorded
    }

    /// Records a change of a service's members at `revision`.
    fn record_member_change(&mut self, service: &str, revision: u64) {
        self.update_service(service, revision, |body| body.epoch = revision);
    }

    /// Records which groups have other homes since the last applied command.
    fn record_home_changes(&mut self) {
        let homes = Homes::new(&self.store);
        let revision = self.store.revision();
        for service in homes.changed_services(&self.homes) {
            self.update_service(&service, revision, |body| body.home_epoch = revision);
        }
        self.homes = homes;
    }

    fn update_service(&mut self, name: &str, revision: u64, update: impl FnOnce(&mut Service)) {
        let Some(mut resource) = self.store.get(Kind::Service, name).cloned() else {
            return;
        };
        if let Some(Body::Service(body)) = &mut resource.body {
            update(body);
        }
        resource.revision = revision;
        self.store.put(resource);
    }

    /// Stores an answer, and evicts the oldest if there are too many.
    fn store_answer(&mut self, answer: Answer) {
        let key: Box<str> = answer.idempotency_key.as_str().into();
        self.answers.insert(key.clone(), answer);
        self.answer_order.push_back(key);
        if self.answer_order.len() > MAX_ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

fn outcome(answer: &Answer) -> Outcome {
    match (&answer.resource, answer.accepted) {
        (Some(resource), true) => Outcome::Written(resource.clone()),
        (current, _) => Outcome::Conflict(current.clone()),
    }
}
