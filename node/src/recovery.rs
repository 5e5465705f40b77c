//! What of this balancer outlives it: how often it has started, and the last good list of upstreams.
use crate::listing::{Listing, Names, Roster};
use oakflow_settings::Deployment;
use oakflow_store::keeper::Written;
use oakflow_store::store::{look, NoStore, Opened};
use oakflow_store::{Found, Keeper, Kind, Owner, Store};
use std::path::Path;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A disk that has not answered after this is done without: the start does not wait for it.
const START_WAIT: Duration = Duration::from_millis(500);
/// A clock may have gone back by this much without what was written then counting as of the future.
const CLOCK_BACK: Duration = Duration::from_secs(60);
/// Time for what is on its way to the disk when the program ends.
pub const LAST_WRITE: Duration = Duration::from_millis(200);

/// What is kept from now on.
pub struct Recovery {
    keeper: Keeper,
    roster: Roster,
}

/// What was found.
pub struct Recovered {
    /// Where to keep things; nowhere if the disk does not let us.
    pub recovery: Option<Recovery>,
    /// How often this balancer has started, this time included. It is on the disk.
    pub starts: Option<u64>,
    /// The last good list, if it is good still.
    pub list: Option<Listing>,
}

/// Whose state it is: its name, and what the positions in its state mean.
pub fn owner(name: &str, d: &Deployment) -> Owner {
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
    Owner { name: name.into(), settings: hash.finalize() }
}

fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

/// What the disk gives back, before anybody looks at what it means.
struct Read {
    opened: Opened,
    starts: u64,
    list: Found,
}

fn read(dir: &Path, owner: Owner) -> Result<Read, NoStore> {
    let opened = Store::open(dir, owner)?;
    let before = match opened.store.get(Kind::Starts)? {
        Found::Record(record) => record.payload.parse::<u64>().unwrap_or(0),
        Found::Nothing | Found::Unfit(_) => 0,
    };
    let starts = before.saturating_add(1);
    let list = opened.store.get(Kind::Upstreams)?;
    // On the disk before anybody hears of it: a number that was given out must not come again.
    opened.store.put(&[(Kind::Starts, starts.to_string())], unix_ms())?;
    Ok(Read { opened, starts, list })
}

/// Opens the folder. Whatever is wrong is told in one line, and the balancer goes on without.
pub fn open(dir: &Path, owner: Owner, names: &Names, list_age: Duration) -> Recovered {
    let settings = owner.settings;
    let (tell, told) = channel();
    let folder = dir.to_path_buf();
    let opening = std::thread::Builder::new().name("recovery".into()).spawn(move || {
        // Nobody may wait for it any more.
        let _ = tell.send(read(&folder, owner));
    });
    let found = match opening.map(|_| told.recv_timeout(START_WAIT)) {
        Ok(Ok(found)) => found.map_err(|e| e.to_string()),
        Ok(Err(RecvTimeoutError::Timeout)) => Err(format!("no answer within {START_WAIT:?}")),
        Ok(Err(RecvTimeoutError::Disconnected)) => Err("it could not be read".into()),
        Err(e) => Err(e.to_string()),
    };
    let found = found.and_then(|read| {
        let list = kept_list(&read.list, settings, names, list_age);
        Keeper::start(read.opened.store).map(|keeper| (keeper, read.opened.aside, read.starts, list))
    });
    match found {
        Ok((keeper, aside, starts, list)) => {
            if let Some((to, error)) = aside {
                let to = to.display();
                tracing::warn!(target: "recovery", event = "state_set_aside", error, "recovery: {error}: set aside as {to}");
            }
            let (list, said) = match list {
                Ok((list, age)) => {
                    let said =
                        format!("a list of {} upstreams, {:.1} s old", list.entries.len(), age / 1000.0);
                    (Some(list), said)
                }
                Err(why) => (None, format!("no list: {why}")),
            };
            tracing::info!(target: "recovery", event = "recovered", starts, list = list.is_some(), "recovery: start {starts}, {said}");
            let mut roster = Roster::default();
            list.iter().for_each(|list| roster.apply(list));
            Recovered { recovery: Some(Recovery { keeper, roster }), starts: Some(starts), list }
        }
        Err(error) => {
            let dir = dir.display();
            tracing::warn!(target: "recovery", event = "recovery_off", error, "recovery: {dir}: {error}; going on without");
            Recovered { recovery: None, starts: None, list: None }
        }
    }
}

/// The kept list and its age in milliseconds, or why it is not used.
fn kept_list(found: &Found, settings: u32, names: &Names, most: Duration) -> Result<(Listing, f64), String> {
    let record = match found {
        Found::Record(record) => record,
        Found::Nothing => return Err("none was kept".into()),
        Found::Unfit(unfit) => return Err(unfit.to_string()),
    };
    if record.settings != settings {
        return Err("it is of another deployment".into());
    }
    let age = unix_ms() - record.written_ms;
    if age < -(CLOCK_BACK.as_secs_f64() * 1000.0) {
        return Err(format!("it is from {:.0} s in the future", -age / 1000.0));
    }
    if age > most.as_secs_f64() * 1000.0 {
        return Err(format!("it is {:.0} s old", age / 1000.0));
    }
    Ok((Listing::parse(record.payload.as_bytes(), names)?, age.max(0.0)))
}

impl Recovery {
    /// Keeps the list as it stands after an answer of discovery.
    pub fn listed(&mut self, listing: &Listing) {
        self.roster.apply(listing);
        self.keeper.keep(Kind::Upstreams, self.roster.text());
        if let Some(error) = self.keeper.failure() {
            tracing::warn!(target: "recovery", event = "state_not_written", error, "recovery: not written: {error}");
        }
    }

    /// What became of writes so far.
    pub fn written(&self) -> Written {
        self.keeper.written()
    }

    /// Waits a little for what is on its way to the disk.
    pub fn flush(&self) -> bool {
        self.keeper.flush(LAST_WRITE)
    }
}

/// What a folder holds, a line for each kind, and whether all of it can be used.
pub fn shown(dir: &Path) -> Result<(String, bool), String> {
    let lines = look(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
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
