//! Runs the balancers of a simulation: passes them the records of a batch and collects their actions in a reply.
use crate::wire::{self, Batch, Record, Reply, Table, UpdateError};
use balancer_core::{Action, Balancer, Event, Millis, SettingsError, UpstreamId};
use balancer_settings::{Deployment, DeploymentError};
use std::collections::BTreeMap;

/// Error of handling a batch.
#[derive(Debug, thiserror::Error)]
#[error("record {record}: {source}")]
pub struct BatchError {
    /// Position of the record that caused it, counted from zero.
    pub record: usize,
    /// The error of that record.
    pub source: RecordError,
}

/// Error of handling a record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The record needs an instance, but no record before it in the batch selected one.
    #[error("no target instance was set before this record")]
    NoTarget,
    /// The settings of a new instance cannot be read.
    #[error("settings of instance {instance}: {source}")]
    Deployment {
        /// The instance.
        instance: u16,
        /// The error of the settings.
        source: DeploymentError,
    },
    /// The balancer refuses the settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An update of the endpoint list cannot be resolved.
    #[error("endpoint update from table {table}: {source}")]
    Update {
        /// The number of the table.
        table: u32,
        /// Why it cannot be resolved.
        source: UpdateError,
    },
}

/// A balancer, and the columns of load reports that it uses.
struct Instance {
    balancer: Balancer,
    /// Column with the requests in flight.
    in_flight_column: Option<usize>,
    /// Column with the requests served per second.
    served_column: Option<usize>,
}

/// The balancers of a simulation and the endpoint lists received for them.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    tables: BTreeMap<u32, Table>,
    actions: Vec<Action>,
    reply: Reply,
    /// The instance that the following records apply to.
    target: Option<u16>,
    /// The instance that the reply's latest records belong to.
    reply_instance: Option<u16>,
}

impl Host {
    /// Passes the records of a batch to the balancers and returns the encoded reply.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid record; the records before it have been handled.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, BatchError> {
        self.target = None;
        self.reply_instance = None;
        for (position, record) in batch.records.iter().enumerate() {
            self.handle_record(batch, record)
                .map_err(|source| BatchError {
                    record: position,
                    source,
                })?;
        }
        Ok(self.reply.finish(batch.number))
    }

    fn target(&self) -> Result<u16, RecordError> {
        self.target.ok_or(RecordError::NoTarget)
    }

    fn handle_record(&mut self, batch: &Batch, record: &Record) -> Result<(), RecordError> {
        match record {
            Record::Target(instance) => self.target = Some(*instance),
            Record::Table { number, endpoints } => {
                self.tables.insert(*number, endpoints.clone());
            }
            Record::Configure { seed, setup } => {
                self.configure(*seed, &batch.tail[setup.clone()], batch.now)?;
            }
            Record::Destroy => {
                self.instances.remove(&self.target()?);
            }
            Record::Sync { kind, table } => {
                let update = wire::endpoint_update(*kind, self.tables.get(table));
                let update = update.map_err(|source| RecordError::Update {
                    table: *table,
                    source,
                })?;
                let event = Event::EndpointUpdate(update);
                self.handle_event(self.target()?, batch.now, event);
            }
            Record::Outcome {
                event,
                upstream,
                report,
            } => {
                let instance = self.target()?;
                self.handle_load_report(instance, batch.now, *upstream, report);
                self.handle_event(instance, batch.now, event.clone());
            }
            Record::Event(event) => {
                self.handle_event(self.target()?, batch.now, event.clone());
            }
            Record::Skip => {}
        }
        Ok(())
    }

    /// Creates the target instance, replacing an earlier one of the same number.
    fn configure(&mut self, seed: u64, setup: &[u8], now: Millis) -> Result<(), RecordError> {
        let id = self.target()?;
        let deployment = Deployment::read(setup).map_err(|source| RecordError::Deployment {
            instance: id,
            source,
        })?;
        let instance = Instance {
            balancer: Balancer::new(deployment.policy, seed, now)?,
            in_flight_column: deployment.in_flight_column,
            served_column: deployment.served_column,
        };
        self.instances.insert(id, instance);
        Ok(())
    }

    fn handle_load_report(&mut self, id: u16, now: Millis, upstream: UpstreamId, report: &[f32]) {
        let Some(instance) = self.instances.get(&id) else {
            return;
        };
        let value = |column: Option<usize>| report.get(column?).map(|&value| f64::from(value));
        let in_flight = value(instance.in_flight_column);
        let served = value(instance.served_column);
        if let Some(in_flight) = in_flight {
            self.handle_event(
                id,
                now,
                Event::Load {
                    upstream,
                    in_flight,
                },
            );
        }
        if let Some(per_s) = served {
            self.handle_event(id, now, Event::Served { upstream, per_s });
        }
    }

    fn handle_event(&mut self, id: u16, now: Millis, event: Event) {
        let Some(instance) = self.instances.get_mut(&id) else {
            return;
        };
        instance.balancer.handle(now, event, &mut self.actions);
        if self.actions.is_empty() {
            return;
        }
        if self.reply_instance != Some(id) {
            self.reply.set_instance(id);
            self.reply_instance = Some(id);
        }
        for action in self.actions.drain(..) {
            self.reply.add(&action);
        }
    }
}
