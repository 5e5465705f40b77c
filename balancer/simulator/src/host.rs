//! Hosts the balancers of a simulation: takes the records of a batch to them and their actions into the reply.
use crate::wire::{self, Batch, Record, Reply, Table};
use balancer_core::{Action, Balancer, Event};
use std::collections::BTreeMap;

/// The balancers of a simulation and the lists that they were sent.
#[derive(Default)]
pub struct Host {
    /// Each with the places of the requests held and of those served among the values of load reports.
    balancers: BTreeMap<u16, (Balancer, [Option<usize>; 2])>,
    tables: BTreeMap<u32, Table>,
    actions: Vec<Action>,
    reply: Reply,
    /// The instance that the reply's records belong to so far.
    answering: Option<u16>,
}

impl Host {
    /// Hands a batch to the balancers and puts the reply together; the message names the record at fault.
    pub fn batch(&mut self, batch: &Batch) -> Result<Vec<u8>, String> {
        let mut target = None;
        self.answering = None;
        for (i, record) in batch.records.iter().enumerate() {
            self.record(batch, record, &mut target)
                .map_err(|e| format!("record {i}: {e}"))?;
        }
        Ok(self.reply.finish(batch.number))
    }

    fn record(
        &mut self,
        batch: &Batch,
        record: &Record,
        target: &mut Option<u16>,
    ) -> Result<(), String> {
        let now = batch.now;
        let instance = || target.ok_or("no instance was named before this record".to_string());
        match record {
            Record::Target(id) => *target = Some(*id),
            Record::Table { number, members } => {
                self.tables.insert(*number, members.clone());
            }
            Record::Configure { seed, setup } => {
                let id = instance()?;
                let deployment = balancer_settings::deployment(&batch.tail[setup.clone()])
                    .map_err(|e| format!("settings of instance {id}: {e}"))?;
                let balancer =
                    Balancer::new(deployment.policy, *seed, now).map_err(|e| e.to_string())?;
                let columns = [deployment.held_column, deployment.served_column];
                self.balancers.insert(id, (balancer, columns));
            }
            Record::Destroy => {
                self.balancers.remove(&instance()?);
            }
            Record::Sync { kind, table } => {
                let news = wire::membership(*kind, self.tables.get(table))
                    .map_err(|e| format!("table {table}: {e}"))?;
                self.event(instance()?, now, Event::EndpointUpdate(news));
            }
            Record::Outcome {
                event,
                upstream,
                report,
            } => {
                let id = instance()?;
                let columns = self
                    .balancers
                    .get(&id)
                    .map_or([None; 2], |&(_, columns)| columns);
                let [held, served] =
                    columns.map(|column| report.get(column?).map(|&v| f64::from(v)));
                if let Some(held) = held {
                    self.event(
                        id,
                        now,
                        Event::Load {
                            upstream: *upstream,
                            held,
                        },
                    );
                }
                if let Some(per_s) = served {
                    self.event(
                        id,
                        now,
                        Event::Served {
                            upstream: *upstream,
                            per_s,
                        },
                    );
                }
                self.event(id, now, event.clone());
            }
            Record::Event(event) => self.event(instance()?, now, event.clone()),
            Record::Skip => {}
        }
        Ok(())
    }

    fn event(&mut self, id: u16, now: f64, event: Event) {
        let Some((balancer, _)) = self.balancers.get_mut(&id) else {
            return;
        };
        balancer.handle(now, event, &mut self.actions);
        if self.actions.is_empty() {
            return;
        }
        if self.answering != Some(id) {
            self.reply.at(id);
            self.answering = Some(id);
        }
        for action in self.actions.drain(..) {
            self.reply.action(&action);
        }
    }
}
