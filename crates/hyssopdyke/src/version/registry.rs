//! The state that control keeps: the resources, and the answers that were given to operators.
//!
//! A registry changes only by [`Registry::apply`], which is deterministic, so that every control
//! VM that has applied the same commands holds the same state.

use std::collections::{BTreeSet, HashMap, VecDeque};

use bytes::Bytes;
use hyssopdyke_wire::ledger::{
    Answer, Command, Configuration, Declare, Register, Snapshot, Unregister, Write, command,
};
use hyssopdyke_wire::resource::{Declaration, Kind, Resource, Route, State, resource::Body};

use super::store::{Key, kind};
use super::{Groups, Store};

/// Answers that are kept for repeated requests.
const ANSWERS: usize = 10_000;

/// Name of the resource that tells which declaration is held.
pub const DECLARATION_NAME: &str = "current";

/// What a command did.
#[derive(Debug, Clone, PartialEq)]
pub enum Outcome {
    /// The write was taken; this is the resource as of now, or as of its removal.
    Written(Resource),
    /// The write lost against this state; `None` if there is no such resource.
    Conflict(Option<Resource>),
    /// The resource that the write would change does not exist.
    Missing,
    /// The declaration of this version is held now; it was before where it is not the one applied.
    Declared(u64),
    /// The lease of the process is on record, or is gone.
    Recorded,
}

/// Resources and answers.
#[derive(Debug, Clone, Default)]
pub struct Registry {
    store: Store,
    answers: HashMap<Box<str>, Answer>,
    answer_order: VecDeque<Box<str>>,
    configuration: Configuration,
    document: Bytes,
}

impl Registry {
    /// A registry without resources.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The resources.
    #[must_use]
    pub const fn store(&self) -> &Store {
        &self.store
    }

    /// The control VMs that vote, as of the last applied command.
    #[must_use]
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The declaration that is held, as the operator wrote it, with its version.
    #[must_use]
    pub fn declaration(&self) -> Option<(u64, &Bytes)> {
        let held = self.store.get(Kind::Declaration, DECLARATION_NAME)?;
        match &held.body {
            Some(Body::Declaration(declaration)) => Some((declaration.version, &self.document)),
            _ => None,
        }
    }

    /// Applies a command.
    pub fn apply(&mut self, command: Command) -> Outcome {
        match command.body {
            Some(command::Body::Write(write)) => self.write(write),
            Some(command::Body::Register(register)) => self.register(register),
            Some(command::Body::Unregister(unregister)) => self.unregister(&unregister),
            Some(command::Body::Declare(declare)) => self.declare(declare),
            Some(command::Body::Configuration(configuration)) => {
                self.configuration = configuration;
                Outcome::Recorded
            }
            Some(command::Body::Barrier(_)) | None => Outcome::Recorded,
        }
    }

    /// All state, as of a place in the log.
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

    /// The state of a snapshot.
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
        for answer in snapshot.answers {
            registry.remember(answer);
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
            // A missing resource may exist when the request is repeated.
            Outcome::Missing | Outcome::Declared(_) | Outcome::Recorded => return outcome,
        };
        if !write.idempotency_key.is_empty() {
            self.remember(Answer { idempotency_key: write.idempotency_key, accepted, resource });
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
                service.epoch = former.epoch;
            }
            (Some(Body::Service(service)), _) => service.epoch = revision,
            // Of what an agent announced, an operator changes only the state.
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
            self.touch(&former.service, revision);
        }
        resource.revision = revision;
        resource.generation = revision;
        self.store.put(resource.clone());
        Outcome::Written(resource)
    }

    /// Puts a declaration in force as one change, unless one of its version or a higher is held.
    fn declare(&mut self, declare: Declare) -> Outcome {
        if let Some((held, _)) = self.declaration()
            && declare.version <= held
        {
            return Outcome::Declared(held);
        }
        let revision = self.store.revision() + 1;
        let before = Groups::new(&self.store);
        let mut named: BTreeSet<Key> = BTreeSet::new();
        for resource in declare.resources {
            let Some(kind) = kind(&resource) else { continue };
            named.insert((kind, resource.name.as_str().into()));
            self.replace(kind, resource, revision);
        }
        for kind in [Kind::Service, Kind::Route] {
            let present =
                self.store.list(kind).map(|resource| (kind, resource.name.as_str().into()));
            let dropped: Vec<Key> = present.filter(|key| !named.contains(key)).collect();
            for (kind, name) in dropped {
                let body = Some(Body::Deleted(kind as i32));
                let name = name.into();
                self.store.put(Resource { name, revision, generation: revision, body });
            }
        }
        let after = Groups::new(&self.store);
        for service in after.changed_services(&before) {
            self.touch(&service, revision);
        }
        let body = Declaration { version: declare.version, idle_ms: declare.idle_ms };
        self.store.put(Resource {
            name: DECLARATION_NAME.to_owned(),
            revision,
            generation: revision,
            body: Some(Body::Declaration(body)),
        });
        self.document = declare.document;
        Outcome::Declared(declare.version)
    }

    /// Puts a declared resource in place of the one of its name, if it differs from that.
    fn replace(&mut self, kind: Kind, mut resource: Resource, revision: u64) {
        let former = self.store.get(kind, &resource.name).and_then(|held| held.body.as_ref());
        if let Some(Body::Service(service)) = &mut resource.body {
            service.epoch = match former {
                Some(Body::Service(former)) => former.epoch,
                _ => revision,
            };
        }
        if let (Some(Body::Route(route)), Some(Body::Route(former))) = (&mut resource.body, former)
        {
            route.former = former_services(route, former);
        }
        if former == resource.body.as_ref() {
            return;
        }
        (resource.revision, resource.generation) = (revision, revision);
        self.store.put(resource);
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
                new.state = former.state;
                if former.service != new.service {
                    self.touch(&former.service, revision);
                }
                let service = new.service.clone();
                self.touch(&service, revision);
            }
            (Some(Body::Upstream(new)), _) => {
                new.incarnation = revision;
                new.state = State::Active as i32;
                let service = new.service.clone();
                self.touch(&service, revision);
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
                self.touch(&upstream.service, revision);
                // An upstream that drains still drains when its agent returns.
                if upstream.state() == State::Draining {
                    let (boot, address) = (0, String::new());
                    Body::Upstream(hyssopdyke_wire::resource::Upstream {
                        boot,
                        address,
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

    /// Notes a change of a service's members.
    fn touch(&mut self, service: &str, revision: u64) {
        let Some(mut resource) = self.store.get(Kind::Service, service).cloned() else {
            return;
        };
        if let Some(Body::Service(body)) = &mut resource.body {
            body.epoch = revision;
        }
        resource.revision = revision;
        self.store.put(resource);
    }

    fn remember(&mut self, answer: Answer) {
        let key: Box<str> = answer.idempotency_key.as_str().into();
        self.answers.insert(key.clone(), answer);
        self.answer_order.push_back(key);
        if self.answer_order.len() > ANSWERS
            && let Some(oldest) = self.answer_order.pop_front()
        {
            self.answers.remove(&oldest);
        }
    }
}

/// Services that a route has had, without those that it has now.
fn former_services(route: &Route, former: &Route) -> Vec<String> {
    let splits = former.splits.iter().map(|split| &split.service);
    let had: BTreeSet<&String> = splits.chain(&former.former).collect();
    let has = |service: &str| route.splits.iter().any(|split| split.service == service);
    had.into_iter().filter(|service| !has(service)).cloned().collect()
}

fn outcome(answer: &Answer) -> Outcome {
    match (&answer.resource, answer.accepted) {
        (Some(resource), true) => Outcome::Written(resource.clone()),
        (current, _) => Outcome::Conflict(current.clone()),
    }
}
