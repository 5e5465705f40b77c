//! What of this balancer outlives it: the number of its start, the last good list of upstreams, and what its decisions
//! have learned.
use crate::listing::{Listing, Names, Roster};
use crate::options;
use balancer_core::{Learned, Millis, Settings};
use balancer_settings::Deployment;
use balancer_snapshots::store::{inspect, Opened, StoreError};
use balancer_snapshots::writer::Written;
use balancer_snapshots::{unix_ms, FaultFile, Found, Kind, Owner, Record, SnapshotWriter, Store};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::Duration;

/// A disk that has not answered after this is done without: the start does not wait for it.
const START_WAIT: Duration = Duration::from_millis(500);
/// A clock may have gone back by this much without what was written then counting as of the future.
const CLOCK_BACK: Duration = Duration::from_secs(60);
/// Time for what is on its way to the disk when the program ends.
pub(crate) const LAST_WRITE: Duration = Duration::from_millis(200);

/// Random bits below the time in the number of a start: two starts in one millisecond, on a clock that went back and with
/// a folder that was lost, still get different ones.
const RANDOM_BITS: u32 = 20;

/// What is kept from now on.
pub(crate) struct Recovery {
    writer: SnapshotWriter,
    roster: Roster,
    /// A fingerprint of all settings of the decisions: what they learned under others says nothing.
    policy: u32,
    /// How often what was learned is kept.
    every: Duration,
}

/// Which start of the balancer this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Start {
    /// How many there were, this one included; begins anew with a folder that was lost.
    pub count: u64,
    /// A number that no other start of this balancer has: more than all that its folder knows of, and, where that was
    /// lost, made of the time and of chance.
    pub incarnation: u64,
}

impl Start {
    /// One that nothing is kept of: its number is made of the time and of chance.
    pub(crate) fn unkept() -> Start {
        Start::after(None, unix_ms(), rand::thread_rng().gen())
    }

    /// The start after what a folder has kept, if it has, at this time by the clock.
    fn after(kept: Option<&str>, now_ms: f64, chance: u64) -> Start {
        // Version 0.1 kept the count alone.
        let count = |text: &str| {
            text.parse().ok().map(|count| Start {
                count,
                incarnation: 0,
            })
        };
        let before = kept.and_then(|text| serde_json::from_str(text).ok().or_else(|| count(text)));
        let Start { count, incarnation } = before.unwrap_or(Start {
            count: 0,
            incarnation: 0,
        });
        let timed =
            ((now_ms.clamp(0.0, 1e13) as u64) << RANDOM_BITS) | (chance % (1 << RANDOM_BITS));
        Start {
            count: count.saturating_add(1),
            incarnation: incarnation.saturating_add(1).max(timed),
        }
    }
}

/// How what was learned lies in its record.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Lesson {
    /// See [`Recovery::policy`].
    policy: u32,
    learned: Learned,
}

/// What was found; by default nothing.
#[derive(Default)]
pub(crate) struct Recovered {
    /// Where to keep things; nowhere if the disk does not let us.
    pub recovery: Option<Recovery>,
    /// Which start this is. It is on the disk.
    pub start: Option<Start>,
    /// The last good list, if it is good still.
    pub list: Option<Listing>,
    /// What the decisions had learned, and its age.
    pub learned: Option<(Learned, Millis)>,
}

/// Whose state it is: its name, and what the positions in its state mean.
pub(crate) fn owner(name: &str, d: &Deployment) -> Owner {
    let lists = [&d.zones, &d.kinds, &d.classes, &d.tenants];
    let mut hash = crc32fast::Hasher::new();
    for list in lists {
        for word in list {
            hash.update(word.as_bytes());
            hash.update(&[0]);
        }
        hash.update(&[1]);
    }
    hash.update(&d.policy.stage.to_be_bytes());
    Owner {
        name: name.into(),
        settings: hash.finalize(),
    }
}

/// What the disk gives back, before anybody looks at what it means.
struct Read {
    /// Where to keep things, and where a broken store was set aside; or why nothing can be kept.
    store: Result<Opened, StoreError>,
    /// Which start this is, and why that is not known if it could not be written.
    start: Result<Start, StoreError>,
    list: Found,
    learned: Found,
}

fn read(dir: &Path, owner: Owner, drill: Option<FaultFile>) -> Result<Read, StoreError> {
    let mut opened = match Store::open(dir, owner.clone(), drill) {
        Ok(opened) => opened,
        Err(StoreError::Disk(e)) => {
            // What can't be written may still be read.
            let e = StoreError::Disk(e);
            let Ok(copy) = Store::copy(dir, owner) else {
                return Err(e);
            };
            let (list, learned) = (copy.get(Kind::Upstreams)?, copy.get(Kind::Learned)?);
            return Ok(Read {
                store: Err(e.clone()),
                start: Err(e),
                list,
                learned,
            });
        }
        Err(e) => return Err(e),
    };
    let kept = match opened.store.get(Kind::Starts)? {
        Found::Record(record) => Some(record.payload),
        Found::Missing | Found::Invalid(_) => None,
    };
    let start = Start::after(kept.as_deref(), unix_ms(), rand::thread_rng().gen());
    let (list, learned) = (
        opened.store.get(Kind::Upstreams)?,
        opened.store.get(Kind::Learned)?,
    );
    // On the disk before anybody hears of it: a number that was given out must not come again. Numbers only: there is
    // nothing in it that JSON can't hold.
    let text = serde_json::to_string(&start).unwrap_or_default();
    let start = opened
        .store
        .put(&[(Kind::Starts, text)], unix_ms())
        .map(|()| start);
    Ok(Read {
        store: Ok(opened),
        start,
        list,
        learned,
    })
}

/// Opens the folder that the options name. Whatever is wrong is told in one line, and the balancer goes on without.
pub(crate) fn open(
    options: &options::Recovery,
    owner: Owner,
    names: &Names,
    policy: &Settings,
) -> Recovered {
    let settings = owner.settings;
    let (tell, told) = channel();
    let folder = options.dir.clone();
    let drill = (!options.drill.as_os_str().is_empty()).then(|| FaultFile::new(&options.drill));
    let opening = std::thread::Builder::new()
        .name("recovery".into())
        .spawn(move || {
            // Nobody may wait for it any more.
            let _ = tell.send(read(&folder, owner, drill));
        });
    let found = match opening.map(|_| told.recv_timeout(START_WAIT)) {
        Ok(Ok(found)) => found.map_err(|e| e.to_string()),
        Ok(Err(RecvTimeoutError::Timeout)) => Err(format!("no answer within {START_WAIT:?}")),
        Ok(Err(RecvTimeoutError::Disconnected)) => Err("it could not be read".into()),
        Err(e) => Err(e.to_string()),
    };
    let dir = options.dir.display();
    let off = |error: &str| {
        tracing::warn!(target: "recovery", event = "recovery_off", error, "recovery: {dir}: {error}; going on without");
    };
    let Read {
        store,
        start,
        list,
        learned,
    } = match found {
        Ok(read) => read,
        Err(error) => {
            off(&error);
            return Recovered::default();
        }
    };
    let writer = store.map_err(|e| e.to_string()).and_then(|Opened { store, set_aside }| {
        if let Some((to, error)) = set_aside {
            let to = to.display();
            tracing::warn!(target: "recovery", event = "state_set_aside", error, "recovery: {error}: set aside as {to}");
        }
        SnapshotWriter::start(store)
    });
    let fingerprint = crc32fast::hash(policy.stored_form().as_bytes());
    let list = kept_list(&list, settings, names, options.list_age);
    let learned = match options.learned {
        true => kept_lesson(&learned, settings, fingerprint, policy),
        false => Err("not asked for".into()),
    };
    let said_list = match &list {
        Ok((list, age)) => format!(
            "a list of {} upstreams, {:.1} s old",
            list.entries.len(),
            age / 1000.0
        ),
        Err(why) => format!("no list: {why}"),
    };
    let said_learned = match &learned {
        Ok((_, age)) => format!("what was learned until {:.1} s ago", age / 1000.0),
        Err(why) => format!("nothing learned: {why}"),
    };
    let (list, learned) = (list.ok().map(|(list, _)| list), learned.ok());
    let (starts, said_start) = match &start {
        Ok(start) => (Some(start.count), format!("start {}", start.count)),
        Err(error) => (None, format!("a start without a number ({error})")),
    };
    tracing::info!(
        target: "recovery", event = "recovered", starts, list = list.is_some(), learned = learned.is_some(),
        "recovery: {said_start}, {said_list}, {said_learned}"
    );
    let mut roster = Roster::default();
    list.iter().for_each(|list| roster.apply(list));
    let recovery = match writer {
        Ok(writer) => Some(Recovery {
            writer,
            roster,
            policy: fingerprint,
            every: options.every,
        }),
        Err(error) => {
            off(&format!("nothing is kept: {error}"));
            None
        }
    };
    Recovered {
        recovery,
        start: start.ok(),
        list,
        learned,
    }
}

/// The record under a kind and its age in milliseconds, or why it is not used.
fn usable(found: &Found, settings: u32) -> Result<(&Record, Millis), String> {
    let record = match found {
        Found::Record(record) => record,
        Found::Missing => return Err("none was kept".into()),
        Found::Invalid(unfit) => return Err(unfit.to_string()),
    };
    if record.settings != settings {
        return Err("it is of another deployment".into());
    }
    let age = unix_ms() - record.written_ms;
    if age < -(CLOCK_BACK.as_secs_f64() * 1000.0) {
        return Err(format!("it is from {:.0} s in the future", -age / 1000.0));
    }
    Ok((record, age.max(0.0)))
}

/// What was learned and its age, or why it is not used.
fn kept_lesson(
    found: &Found,
    settings: u32,
    policy: u32,
    now: &Settings,
) -> Result<(Learned, Millis), String> {
    let (record, age) = usable(found, settings)?;
    let lesson: Lesson = serde_json::from_str(&record.payload).map_err(|e| e.to_string())?;
    if lesson.policy != policy {
        return Err("the settings are others now".into());
    }
    lesson.learned.validate(now).map_err(|e| e.to_string())?;
    Ok((lesson.learned, age))
}

/// The kept list and its age in milliseconds, or why it is not used.
fn kept_list(
    found: &Found,
    settings: u32,
    names: &Names,
    most: Duration,
) -> Result<(Listing, f64), String> {
    let (record, age) = usable(found, settings)?;
    if age > most.as_secs_f64() * 1000.0 {
        return Err(format!("it is {:.0} s old", age / 1000.0));
    }
    Ok((Listing::parse(record.payload.as_bytes(), names)?, age))
}

impl Recovery {
    /// Keeps the list as it stands after an answer of discovery.
    pub(crate) fn listed(&mut self, listing: &Listing) {
        self.roster.apply(listing);
        self.writer.enqueue(Kind::Upstreams, self.roster.text());
        self.tell_failure();
    }

    /// Keeps what the decisions have learned.
    pub(crate) fn learned(&self, learned: Learned) {
        let lesson = Lesson {
            policy: self.policy,
            learned,
        };
        // Finite numbers only: there is nothing in it that JSON can't hold.
        self.writer.enqueue(
            Kind::Learned,
            serde_json::to_string(&lesson).unwrap_or_default(),
        );
        self.tell_failure();
    }

    /// How often what was learned is to be kept.
    pub(crate) fn every(&self) -> Duration {
        self.every
    }

    fn tell_failure(&self) {
        if let Some(error) = self.writer.failure() {
            tracing::warn!(target: "recovery", event = "state_not_written", error, "recovery: not written: {error}");
        }
    }

    /// What became of writes so far.
    pub(crate) fn written(&self) -> Written {
        self.writer.written()
    }

    /// Waits a little for what is on its way to the disk.
    pub(crate) fn flush(&self) -> bool {
        self.writer.flush(LAST_WRITE)
    }
}

/// What a folder holds, a line for each kind, and whether all of it can be used.
pub(crate) fn shown(dir: &Path) -> Result<(String, bool), String> {
    let lines = inspect(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let (mut text, mut sound) = (String::new(), true);
    for line in lines {
        let kind = line.kind.name();
        match line.found {
            None => text.push_str(&format!("{kind:<10} none\n")),
            Some(Ok((record, owner))) => {
                let age = (unix_ms() - record.written_ms) / 1000.0;
                let (size, settings) = (record.payload.len(), record.settings);
                text.push_str(&format!(
                    "{kind:<10} of {owner}, written {age:.1} s ago, settings {settings:08x}, {size} bytes: {}\n",
                    record.payload.chars().take(100).collect::<String>()
                ));
            }
            Some(Err(unfit)) => {
                sound = false;
                text.push_str(&format!("{kind:<10} {unfit}\n"));
            }
        }
    }
    Ok((text, sound))
}
