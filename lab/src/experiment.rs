//! An experiment as its file states it: TOML, every key checked, every error on one line with file, line and key.
use serde::de::{self, Deserializer, SeqAccess, Visitor};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Milliseconds: a point of a run, counted from its start, or a span.
pub type Millis = f64;

/// A figure that is fixed, or drawn evenly between two: `0.2` or `[0.1, 0.3]`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

/// A time that is fixed, or drawn evenly between two: `"200ms"` or `["1s", "3s"]`. Held in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Range);

impl Range {
    /// The same figure every time.
    pub const fn fixed(value: f64) -> Range {
        Range { least: value, most: value }
    }

    /// The figure in the middle.
    pub fn mean(&self) -> f64 {
        (self.least + self.most) / 2.0
    }
}

impl Fleet {
    /// The region of a zone, if it is in one.
    pub fn region(&self, zone: usize) -> Option<&str> {
        let name = self.zones.get(zone)?;
        self.regions.iter().find(|(_, zones)| zones.contains(name)).map(|(region, _)| region.as_str())
    }
}

impl Span {
    /// A span between two numbers of milliseconds.
    pub const fn ms(least: f64, most: f64) -> Span {
        Span(Range { least, most })
    }
}

fn range(least: f64, most: f64) -> Result<Range, String> {
    if !(0.0..=1e12).contains(&least) || !(0.0..=1e12).contains(&most) || least > most {
        return Err(format!("{least} to {most} is no range from a least to a most of at least 0"));
    }
    Ok(Range { least, most })
}

struct RangeVisitor;

impl<'de> Visitor<'de> for RangeVisitor {
    type Value = Range;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a number, or two of them: [least, most]")
    }
    fn visit_f64<E: de::Error>(self, v: f64) -> Result<Range, E> {
        range(v, v).map_err(E::custom)
    }
    fn visit_i64<E: de::Error>(self, v: i64) -> Result<Range, E> {
        self.visit_f64(v as f64)
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Range, A::Error> {
        let (least, most) = two(&mut seq, &self)?;
        range(least, most).map_err(de::Error::custom)
    }
}

fn two<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    expected: &dyn de::Expected,
) -> Result<(T, T), A::Error> {
    let least = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(0, expected))?;
    let most = seq.next_element()?.ok_or_else(|| de::Error::invalid_length(1, expected))?;
    match seq.next_element::<de::IgnoredAny>()? {
        Some(_) => Err(de::Error::invalid_length(3, expected)),
        None => Ok((least, most)),
    }
}

impl<'de> Deserialize<'de> for Range {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Range, D::Error> {
        d.deserialize_any(RangeVisitor)
    }
}

fn millis(text: &str) -> Result<f64, String> {
    let time = humantime::parse_duration(text)
        .map_err(|e| format!("{text:?} is no time such as \"1s 500ms\": {e}"))?;
    Ok(time.as_secs_f64() * 1000.0)
}

struct SpanVisitor;

impl<'de> Visitor<'de> for SpanVisitor {
    type Value = Span;
    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a time with its unit such as \"1500ms\", or two of them: [least, most]")
    }
    fn visit_str<E: de::Error>(self, v: &str) -> Result<Span, E> {
        let ms = millis(v).map_err(E::custom)?;
        Ok(Span::ms(ms, ms))
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Span, A::Error> {
        let (least, most): (String, String) = two(&mut seq, &self)?;
        let (least, most) = (millis(&least), millis(&most));
        let span = least.and_then(|l| range(l, most?)).map_err(de::Error::custom)?;
        Ok(Span(span))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Span, D::Error> {
        d.deserialize_any(SpanVisitor)
    }
}

/// A whole experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// One line for `list` and the report.
    pub title: String,
    /// How long clients send.
    pub length: Span,
    /// Feeds every draw, unless the command line names another.
    #[serde(default = "one")]
    pub seed: u64,
    /// The part of its own sends that the lab may make later than [`Experiment::lateness_most`].
    #[serde(default = "hundredth")]
    pub late_share: f64,
    /// A run in which more than [`Experiment::late_share`] of the lab's own sends and timers are later than this
    /// does not count.
    #[serde(default = "lateness")]
    pub lateness_most: Span,
    /// Zones, and how many balancers clients reach.
    pub fleet: Fleet,
    /// What upstreams are behind each other, the one that clients reach first.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// Kinds of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Who sends them.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// How clients behave.
    pub clients: Clients,
    /// Delays between machines.
    #[serde(default)]
    pub net: Net,
    /// How balancers hear of upstreams.
    #[serde(default)]
    pub discovery: Discovery,
    /// What balancers are given and held to.
    #[serde(default)]
    pub balancer: Balancer,
    /// Options of the balancers, as their options file has them. `{state}` in a text stands for the balancer's own
    /// folder, which outlives it, and `{drill}` for the file in which the lab says what its disk does wrong.
    #[serde(default)]
    pub options: toml::Table,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What the figures must hold.
    #[serde(default, rename = "expect")]
    pub expects: Vec<Expect>,
}

fn one() -> u64 {
    1
}
fn hundredth() -> f64 {
    0.01
}
fn lateness() -> Span {
    Span::ms(20.0, 20.0)
}

impl Experiment {
    /// Whether balancers are told to have the faults of their disks from the lab.
    fn drills(&self) -> bool {
        let drill = self.options.get("recovery").and_then(|r| r.get("drill"));
        drill.and_then(toml::Value::as_str).is_some_and(|d| d.contains("{drill}"))
    }
}

/// Zones and the front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Regions: their names and the zones in each. A zone that is in none is near to all.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    /// Balancers that clients reach, dealt out over the zones in turn.
    pub front: usize,
    /// How far the zones' shares of the clients may lie from even: 0.2 gives 0.8 to 1.2 times the even share.
    #[serde(default)]
    pub skew: f64,
}

/// One tier of upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// How many upstreams it has, dealt out over the zones in turn.
    pub upstreams: usize,
    /// The part of a class's work that each call to this tier does.
    pub work: f64,
    /// Calls that a request of this tier makes to the next one, in the mean; 0 for the last tier.
    #[serde(default = "none")]
    pub calls: Range,
    /// Upstreams of one zone that share the keys they have seen, at most so many to a group.
    #[serde(default = "four")]
    pub cell: usize,
    /// The kinds of machines in it.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// What happens to a machine whose requests pile up.
    #[serde(default)]
    pub choke: Option<Choke>,
    /// What connections cost.
    #[serde(default)]
    pub connections: Connections,
    /// What upstreams say of their load.
    #[serde(default)]
    pub report: Report,
    /// Whether balancers may probe, and the work that one probe costs, in milliseconds of a core.
    #[serde(default)]
    pub probe_work: Option<Range>,
}

fn none() -> Range {
    Range::fixed(0.0)
}
fn four() -> usize {
    4
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the tier, relative to the other kinds.
    #[serde(default = "unit")]
    pub share: f64,
    /// Cores.
    #[serde(default = "two_cores")]
    pub cores: usize,
    /// How fast each core is.
    #[serde(default = "unit_range")]
    pub speed: Range,
    /// Requests in work at once, for each core.
    #[serde(default = "slots")]
    pub slots: Range,
    /// Requests that wait for a slot, for each core; more are turned away.
    #[serde(default = "queue")]
    pub queue: Range,
    /// A machine that starts does this part of what it can do when warm.
    #[serde(default = "cold")]
    pub cold_from: Range,
    /// And is warm after this time at the latest.
    #[serde(default = "cold_for")]
    pub cold_for: Span,
    /// The part of requests that it answers with an error.
    #[serde(default = "none")]
    pub errors: Range,
    /// Whether a cancel stops work that runs, and not only what waits.
    #[serde(default)]
    pub cancel_stops: bool,
}

fn unit() -> f64 {
    1.0
}
fn two_cores() -> usize {
    2
}
fn unit_range() -> Range {
    Range::fixed(1.0)
}
fn slots() -> Range {
    Range { least: 9.0, most: 22.0 }
}
fn queue() -> Range {
    Range { least: 1.0, most: 4.0 }
}
fn cold() -> Range {
    Range { least: 0.15, most: 0.3 }
}
fn cold_for() -> Span {
    Span::ms(10_000.0, 20_000.0)
}

/// A machine that holds far more requests than it has cores gets slow, and stays so until it has been mostly idle.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// Requests held for each core from which it counts as crowded.
    pub at: f64,
    /// It gets slow when crowded for this long.
    pub over: Span,
    /// Times slower.
    pub slower: Range,
    /// It recovers once it has held fewer than `below` for each core for this long.
    pub rest: Span,
    /// See `rest`.
    pub below: f64,
    /// And at the latest after this.
    pub most: Span,
}

/// What connections to an upstream cost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// The most that a machine holds, for each core. More are refused.
    pub cap: Range,
    /// Round trips before the first request on one is read.
    pub round_trips: Range,
    /// Work that a new one costs, in milliseconds of a core.
    pub work: Range,
    /// The machine closes one that has been idle for this long.
    pub idle: Span,
    /// The part of its capacity that a full table takes from a machine.
    pub full_tax: Range,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            cap: Range { least: 600.0, most: 900.0 },
            round_trips: Range { least: 1.0, most: 3.0 },
            work: Range { least: 1.0, most: 3.0 },
            idle: Span::ms(15_000.0, 15_000.0),
            full_tax: Range { least: 0.17, most: 0.37 },
        }
    }
}

/// What upstreams say of their load, in every answer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Report {
    /// How often the figures are taken anew.
    pub period: Span,
    /// How long after that they show.
    pub delay: Span,
    /// By how much each may be off, as a part of it.
    pub noise: f64,
}

impl Default for Report {
    fn default() -> Self {
        Report { period: Span::ms(80.0, 400.0), delay: Span::ms(10.0, 85.0), noise: 0.1 }
    }
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key: upstreams of one group drop repeats within the window.
    Keyed,
    /// Must never run twice.
    Once,
}

/// Which upstreams drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All of the tier.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, relative to the other classes.
    #[serde(default = "unit")]
    pub share: f64,
    /// Work at a core of speed 1, over all calls of one tier as [`Tier::work`] divides it, in milliseconds.
    pub work: Range,
    /// Time spent waiting on others, for which no core is held.
    #[serde(default = "no_time")]
    pub waits: Span,
    /// An answer within this time earns the full worth.
    pub aim: Span,
    /// A client gives up after this time, over all its tries.
    pub deadline: Span,
    /// What an answer in time is worth.
    #[serde(default = "unit")]
    pub worth: f64,
    /// The part of it that an answer between aim and deadline earns.
    #[serde(default = "half")]
    pub late_worth: f64,
    /// What a repeat may do.
    #[serde(default = "safe")]
    pub effect: Effect,
    /// For keyed requests: who drops repeats.
    #[serde(default = "group")]
    pub group: Group,
    /// For keyed requests: for how long.
    #[serde(default = "window")]
    pub window: Span,
}

fn no_time() -> Span {
    Span::ms(0.0, 0.0)
}
fn half() -> f64 {
    0.5
}
fn safe() -> Effect {
    Effect::Safe
}
fn group() -> Group {
    Group::Cell
}
fn window() -> Span {
    Span::ms(5000.0, 5000.0)
}

/// Somebody with a stated part of the service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the quotas.
    pub share: f64,
    /// What it sends, as a part of its share of all traffic.
    #[serde(default = "unit_range")]
    pub usage: Range,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second. Either this or `load`.
    #[serde(default)]
    pub rate: Option<Range>,
    /// First tries as a part of what the weakest tier can do when warm.
    #[serde(default)]
    pub load: Option<Range>,
    /// The quotas of all tenants together, as a part of what the weakest tier can do.
    #[serde(default = "quota")]
    pub quota: Range,
    /// Further tries of one request, at most.
    #[serde(default = "one_try")]
    pub retries: u32,
    /// Each try is given up after this part of the deadline.
    #[serde(default = "try_share")]
    pub try_share: Range,
    /// The pause before the first further try; it doubles with each.
    #[serde(default = "backoff")]
    pub backoff: Span,
    /// The part of clients that heed `Retry-After`.
    #[serde(default = "honour")]
    pub honour: f64,
    /// The part of first tries whose client leaves early.
    #[serde(default)]
    pub impatient: f64,
    /// The front notices after this time that a balancer has died.
    #[serde(default = "notice")]
    pub front_notice: Span,
}

fn quota() -> Range {
    Range { least: 0.7, most: 0.94 }
}
fn one_try() -> u32 {
    1
}
fn try_share() -> Range {
    Range { least: 0.7, most: 1.0 }
}
fn backoff() -> Span {
    Span::ms(20.0, 160.0)
}
fn honour() -> f64 {
    0.9
}
fn notice() -> Span {
    Span::ms(1200.0, 4000.0)
}

/// Delays one way between machines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Within a zone.
    pub same_zone: Span,
    /// Between zones of a region.
    pub cross_zone: Span,
    /// Between zones of different regions.
    pub cross_region: Span,
    /// Between balancers, for datagrams.
    pub datagrams: Span,
    /// The part of them that is lost.
    pub datagram_loss: f64,
    /// The part of them that arrives twice.
    pub datagram_repeat: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            same_zone: Span::ms(0.1, 0.4),
            cross_zone: Span::ms(5.0, 10.0),
            cross_region: Span::ms(20.0, 40.0),
            datagrams: Span::ms(1.0, 18.0),
            datagram_loss: 0.005,
            datagram_repeat: 0.001,
        }
    }
}

/// How the list of upstreams reaches balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Whether changes come by themselves or must be asked for.
    pub pushed: bool,
    /// Whether a balancer that starts is given the list as it last had it.
    pub known: bool,
    /// A new upstream is listed after this time.
    pub add: Span,
    /// One that drains or died is listed as such after this time.
    pub notice: Span,
    /// One that fell silent is dropped after this time.
    pub silent_notice: Span,
    /// Each balancer hears of a change this much later.
    pub spread: Span,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            pushed: true,
            known: true,
            add: Span::ms(300.0, 1700.0),
            notice: Span::ms(560.0, 3300.0),
            silent_notice: Span::ms(4500.0, 14_000.0),
            spread: Span::ms(20.0, 400.0),
        }
    }
}

/// What each balancer is given and held to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Balancer {
    /// Memory that it may hold.
    pub memory_mb: u64,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Attempts for one request, at most.
    pub attempts: u32,
    /// Whether balancers may send each other datagrams.
    pub peers: bool,
    /// The connect time-out that the settings name.
    pub dial_timeout: Span,
    /// Nothing new goes to an upstream this long after its balancer was told that it drains or is gone.
    pub drain_grace: Span,
    /// A cold upstream falls over when sent this many times what it can do ...
    pub tip_multiple: f64,
    /// ... for this long.
    pub fall: Span,
    /// One that is not ready after this time has failed to start.
    pub ready_within: Span,
}

impl Default for Balancer {
    fn default() -> Self {
        Balancer {
            memory_mb: 192,
            sockets: 1024,
            attempts: 3,
            peers: true,
            dial_timeout: Span::ms(100.0, 100.0),
            drain_grace: Span::ms(500.0, 500.0),
            tip_multiple: 2.5,
            fall: Span::ms(3000.0, 3000.0),
            ready_within: Span::ms(30_000.0, 30_000.0),
        }
    }
}

/// What kind of thing goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Balancers get SIGKILL and start again after `for`.
    Kill,
    /// The machines of balancers lose power: SIGKILL, and of what their disks were not told to sync some is lost, some
    /// is kept and some is torn. They start again after `for`.
    PowerLoss,
    /// Balancers get SIGTERM, SIGKILL when their time is over, and start again after `for`.
    Terminate,
    /// Balancers get SIGSTOP, and SIGCONT after `for`.
    Pause,
    /// Nothing passes from `on` to `to`, both ways unless `one_way`.
    Cut,
    /// Upstreams are `size` times slower.
    Slow,
    /// Upstreams answer a part of `size` with errors.
    Errors,
    /// Upstreams and the balancers beside them die: connections are reset, new ones refused. They return cold.
    Die,
    /// Upstreams and the balancers beside them fall silent, and return cold.
    Lose,
    /// Upstreams drain, end, and are replaced by cold ones after `for`.
    Replace,
    /// All open connections of upstreams are reset.
    Reset,
    /// Clients send `size` times as much.
    Burst,
    /// A part of `size` of all datagrams between balancers is lost.
    DatagramLoss,
    /// A part of `size` of all datagrams arrives twice.
    DatagramRepeat,
    /// Datagrams take up to `delay`, each its own time, so that they overtake each other.
    DatagramDelay,
    /// The disks of balancers take nothing more.
    DiskFull,
    /// Every read, write and sync of the disks of balancers fails.
    DiskFailing,
    /// Every access to the disks of balancers takes `delay` longer.
    DiskSlow,
    /// Discovery says nothing to balancers.
    DiscoverySilent,
    /// Discovery answers with what is no list.
    DiscoveryGarbled,
    /// Discovery answers with the list as it was at the start.
    DiscoveryStale,
    /// Discovery moves: SIGHUP with a configuration that names another address.
    DiscoveryMove,
}

/// What happens to a state folder between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Damage {
    /// Everything in it is lost.
    Emptied,
    /// It is put back as it was half way from the start to the fault.
    Old,
    /// Each file ends in its middle.
    Truncated,
    /// One bit of each file is another.
    Flipped,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When.
    pub at: Span,
    /// For how long.
    #[serde(default, rename = "for")]
    pub lasts: Option<Span>,
    /// Whom it meets; without it all whom it can meet.
    #[serde(default)]
    pub on: Target,
    /// The other side of a cut.
    #[serde(default)]
    pub to: Option<Target>,
    /// A cut only from `on` to `to`.
    #[serde(default)]
    pub one_way: bool,
    /// How much; see [`FaultKind`].
    #[serde(default)]
    pub size: Option<Range>,
    /// For `datagram-delay`: the time under way; for `disk-slow`: the time that an access takes longer.
    #[serde(default)]
    pub delay: Option<Span>,
    /// It comes so often, each time at whom is drawn anew.
    #[serde(default = "one_try")]
    pub times: u32,
    /// The time from one to the next, if it comes several times.
    #[serde(default)]
    pub every: Option<Span>,
    /// For `kill` and `terminate`: what happens to the balancer's state folder before it starts again.
    #[serde(default)]
    pub state: Option<Damage>,
}

/// A role in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Clients.
    Clients,
    /// Balancers that clients reach.
    Front,
    /// Balancers beside upstreams.
    Inner,
    /// Upstreams.
    Upstreams,
    /// Discovery's agents.
    Discovery,
}

/// Those that all of what is stated fits.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// In this role.
    pub role: Option<Role>,
    /// In this zone.
    pub zone: Option<String>,
    /// In a zone of this region.
    pub region: Option<String>,
    /// In this tier, or in front of it.
    pub tier: Option<String>,
    /// With these names.
    pub names: Option<Vec<String>>,
    /// This part of them, drawn; at least one.
    pub share: Option<f64>,
}

/// A figure that an `expect` line can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Figure {
    /// First tries answered within the aim, over all that were due.
    InTime,
    /// Worth earned over worth asked for.
    Worth,
    /// First tries that ended refused.
    Refused,
    /// First tries that ended failed, or with no answer.
    Failed,
    /// The 50th percentile of the time to the answer, in milliseconds.
    P50Ms,
    /// The 99th.
    P99Ms,
}

/// What a figure must hold, over the whole run or a part of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Which.
    pub figure: Figure,
    /// At least this.
    #[serde(default)]
    pub least: Option<f64>,
    /// At most this.
    #[serde(default)]
    pub most: Option<f64>,
    /// From this point of the run.
    #[serde(default)]
    pub from: Option<Span>,
    /// To this one.
    #[serde(default)]
    pub to: Option<Span>,
}

/// Reads and checks an experiment file. The error is one line: file, line, key, what is wrong.
pub fn load(path: &Path) -> Result<Experiment, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|(line, what)| match line {
        Some(line) => format!("{}:{line}: {what}", path.display()),
        None => format!("{}: {what}", path.display()),
    })
}

/// The same from a text; the error names the line, if there is one.
pub fn parse(text: &str) -> Result<Experiment, (Option<usize>, String)> {
    let line_at = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let flat = |message: &str| message.trim().replace('\n', " ");
    let syntax = |e: toml::de::Error| (e.span().map(|s| line_at(s.start)), flat(e.message()));
    let reader = toml::Deserializer::parse(text).map_err(syntax)?;
    let experiment: Experiment = serde_path_to_error::deserialize(reader).map_err(|e| {
        let (line, message) = syntax(e.inner().clone());
        (line, format!("{}: {message}", e.path()))
    })?;
    check(&experiment).map_err(|(key, what)| (line_of(text, &key), format!("{key}: {what}")))?;
    Ok(experiment)
}

/// The line on which a key such as `fault[1].size` stands, or else the nearest key above it.
fn line_of(text: &str, key: &str) -> Option<usize> {
    let document = toml_edit::Document::parse(text).ok()?;
    let mut item = document.as_item();
    let mut at = None;
    for part in key.split('.') {
        let (name, index) = match part.split_once('[') {
            Some((name, index)) => (name, index.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some(next) = item.get(name) else { break };
        item = match index {
            Some(index) => next.get(index).unwrap_or(next),
            None => next,
        };
        at = item.span().or(at);
    }
    at.map(|s| text[..s.start].matches('\n').count() + 1)
}

type Wrong = (String, String);

/// What the types alone do not say.
fn check(e: &Experiment) -> Result<(), Wrong> {
    let wrong = |key: &str, what: &str| Err((key.to_string(), what.to_string()));
    if !(1000.0..=3_600_000.0).contains(&e.length.0.most) || e.length.0.least < 1000.0 {
        return wrong("length", "must be from 1 s to 1 h");
    }
    if e.fleet.zones.is_empty() || e.fleet.zones.len() > 64 {
        return wrong("fleet.zones", "must name 1 to 64 zones");
    }
    distinct("fleet.zones", e.fleet.zones.iter())?;
    if !(1..=300).contains(&e.fleet.front) {
        return wrong("fleet.front", "must be from 1 to 300 balancers");
    }
    let mut placed = std::collections::BTreeSet::new();
    for (region, zones) in &e.fleet.regions {
        let key = format!("fleet.regions.{region}");
        if let Some(zone) = zones.iter().find(|z| !e.fleet.zones.contains(z)) {
            return wrong(&key, &format!("{zone:?} is not among fleet.zones"));
        }
        if let Some(zone) = zones.iter().find(|z| !placed.insert(z.as_str())) {
            return wrong(&key, &format!("{zone:?} is in two regions"));
        }
    }
    if !(0.0..1.0).contains(&e.fleet.skew) {
        return wrong("fleet.skew", "must be at least 0 and under 1");
    }
    if !(0.0..=1.0).contains(&e.late_share) {
        return wrong("late_share", "must be from 0 to 1");
    }
    if !(1..=3).contains(&e.tiers.len()) {
        return wrong("tier", "must be given one to three times");
    }
    distinct("tier", e.tiers.iter().map(|t| &t.name))?;
    for (i, tier) in e.tiers.iter().enumerate() {
        check_tier(&format!("tier[{i}]"), tier, i + 1 == e.tiers.len())?;
    }
    if e.classes.is_empty() {
        return wrong("class", "must be given at least once");
    }
    distinct("class", e.classes.iter().map(|c| &c.name))?;
    for (i, class) in e.classes.iter().enumerate() {
        check_class(&format!("class[{i}]"), class)?;
    }
    if e.tenants.is_empty() {
        return wrong("tenant", "must be given at least once");
    }
    distinct("tenant", e.tenants.iter().map(|t| &t.name))?;
    if let Some(i) = e.tenants.iter().position(|t| !(t.share > 0.0 && t.share.is_finite())) {
        return wrong(&format!("tenant[{i}].share"), "must be above 0");
    }
    check_clients(&e.clients)?;
    for (key, part) in [("loss", e.net.datagram_loss), ("repeat", e.net.datagram_repeat)] {
        if !(0.0..=1.0).contains(&part) {
            return wrong(&format!("net.datagram_{key}"), "must be from 0 to 1");
        }
    }
    if !(64..=65_536).contains(&e.balancer.sockets) {
        return wrong("balancer.sockets", "must be from 64 to 65536");
    }
    if e.balancer.attempts == 0 {
        return wrong("balancer.attempts", "must be at least 1");
    }
    for (i, fault) in e.faults.iter().enumerate() {
        check_fault(&format!("fault[{i}]"), fault, e)?;
    }
    for (i, expect) in e.expects.iter().enumerate() {
        if expect.least.is_none() && expect.most.is_none() {
            return wrong(&format!("expect[{i}]"), "must say least, most or both");
        }
    }
    Ok(())
}

fn distinct<'a>(key: &str, names: impl Iterator<Item = &'a String>) -> Result<(), Wrong> {
    let mut seen = std::collections::BTreeSet::new();
    for (i, name) in names.enumerate() {
        let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        if name.is_empty() || !plain {
            return Err((
                format!("{key}[{i}]"),
                format!("{name:?} is no name of letters, digits, '-', '_' and '.'"),
            ));
        }
        if !seen.insert(name) {
            return Err((format!("{key}[{i}]"), format!("{name:?} is named twice")));
        }
    }
    Ok(())
}

fn check_tier(key: &str, tier: &Tier, last: bool) -> Result<(), Wrong> {
    let wrong = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_string()));
    if !(1..=300).contains(&tier.upstreams) {
        return wrong("upstreams", "must be from 1 to 300");
    }
    if !(tier.work > 0.0 && tier.work.is_finite()) {
        return wrong("work", "must be above 0");
    }
    if last && tier.calls.most > 0.0 {
        return wrong("calls", "the last tier has nobody to call");
    }
    if !last && !(1.0..=8.0).contains(&tier.calls.least) {
        return wrong("calls", "a tier that is not the last makes 1 to 8 calls");
    }
    if tier.cell == 0 {
        return wrong("cell", "must be at least 1");
    }
    distinct(&format!("{key}.kind"), tier.kinds.iter().map(|k| &k.name))?;
    if tier.kinds.is_empty() {
        return wrong("kind", "must be given at least once");
    }
    for (i, kind) in tier.kinds.iter().enumerate() {
        if !(kind.share > 0.0 && kind.share.is_finite()) {
            return wrong(&format!("kind[{i}].share"), "must be above 0");
        }
        if kind.cores == 0 || kind.speed.least <= 0.0 || kind.slots.least < 1.0 {
            return wrong(&format!("kind[{i}]"), "cores, speed and slots must be above 0");
        }
        if kind.cold_from.least <= 0.0 || kind.cold_from.most > 1.0 {
            return wrong(&format!("kind[{i}].cold_from"), "must be above 0 and at most 1");
        }
        if kind.errors.most > 1.0 {
            return wrong(&format!("kind[{i}].errors"), "must be at most 1");
        }
    }
    Ok(())
}

fn check_class(key: &str, class: &Class) -> Result<(), Wrong> {
    let wrong = |part: &str, what: &str| Err((format!("{key}.{part}"), what.to_string()));
    if !(class.share > 0.0 && class.share.is_finite()) {
        return wrong("share", "must be above 0");
    }
    if class.work.least <= 0.0 {
        return wrong("work", "must be above 0");
    }
    if class.aim.0.least <= 0.0 {
        return wrong("aim", "must be above 0");
    }
    if class.deadline.0.least < class.aim.0.most {
        return wrong("deadline", "must be at least the aim");
    }
    Ok(())
}

fn check_clients(c: &Clients) -> Result<(), Wrong> {
    let wrong = |part: &str, what: &str| Err((format!("clients.{part}"), what.to_string()));
    match (&c.rate, &c.load) {
        (Some(_), Some(_)) => return wrong("load", "either rate or load, not both"),
        (None, None) => return wrong("rate", "missing; either rate or load must be given"),
        (Some(rate), None) if !(0.1..=50_000.0).contains(&rate.least) || rate.most > 50_000.0 => {
            return wrong("rate", "must be from 0.1 to 50000 a second");
        }
        (None, Some(load)) if load.least <= 0.0 || load.most > 10.0 => {
            return wrong("load", "must be above 0 and at most 10");
        }
        _ => {}
    }
    if c.retries > 10 {
        return wrong("retries", "must be at most 10");
    }
    if c.try_share.least <= 0.0 || c.try_share.most > 1.0 {
        return wrong("try_share", "must be above 0 and at most 1");
    }
    for (part, value) in [("honour", c.honour), ("impatient", c.impatient)] {
        if !(0.0..=1.0).contains(&value) {
            return wrong(part, "must be from 0 to 1");
        }
    }
    Ok(())
}

fn check_fault(key: &str, fault: &Fault, e: &Experiment) -> Result<(), Wrong> {
    use FaultKind::*;
    let wrong = |part: &str, what: String| Err((format!("{key}.{part}"), what));
    if fault.at.0.most > e.length.0.least {
        return wrong("at", "must be within the length of the experiment".into());
    }
    let sized = matches!(fault.kind, Slow | Errors | Burst | DatagramLoss | DatagramRepeat);
    if fault.delay.is_some() != matches!(fault.kind, DatagramDelay | DiskSlow) {
        return wrong("delay", "goes with datagram-delay and disk-slow, and only with these".into());
    }
    if (fault.times > 1) != fault.every.is_some() || !(1..=10_000).contains(&fault.times) {
        return wrong("times", "1 to 10000; more than one goes with `every`".into());
    }
    if matches!(fault.kind, PowerLoss | DiskFull | DiskFailing | DiskSlow) && !e.drills() {
        let what =
            "needs balancers that take part: [options.recovery] dir = \"{state}\", drill = \"{drill}\"";
        return wrong("kind", what.into());
    }
    if fault.size.is_some() != sized {
        let what = if sized { "missing: how much?" } else { "does not go with this kind" };
        return wrong("size", what.into());
    }
    if matches!(fault.kind, Errors | DatagramLoss | DatagramRepeat)
        && fault.size.is_some_and(|s| s.most > 1.0)
    {
        return wrong("size", "must be at most 1".into());
    }
    if (fault.to.is_some() || fault.one_way) && fault.kind != Cut {
        return wrong("to", "only a cut has another side".into());
    }
    if fault.state.is_some() && !matches!(fault.kind, Kill | Terminate) {
        return wrong("state", "goes with kill and terminate only".into());
    }
    if fault.kind == Cut && fault.to.is_none() {
        return wrong("to", "missing: a cut is between two groups".into());
    }
    if fault.lasts.is_none() && !matches!(fault.kind, Reset | DiscoveryMove) {
        return wrong("for", "missing: how long?".into());
    }
    for (part, target) in [("on", Some(&fault.on)), ("to", fault.to.as_ref())] {
        let Some(target) = target else { continue };
        if let Some(zone) = target.zone.as_ref().filter(|z| !e.fleet.zones.contains(z)) {
            return wrong(&format!("{part}.zone"), format!("{zone:?} is not among fleet.zones"));
        }
        if let Some(region) = target.region.as_ref().filter(|r| !e.fleet.regions.contains_key(*r)) {
            return wrong(&format!("{part}.region"), format!("there is no region {region:?}"));
        }
        if let Some(tier) = target.tier.as_ref().filter(|t| !e.tiers.iter().any(|x| x.name == **t)) {
            return wrong(&format!("{part}.tier"), format!("there is no tier {tier:?}"));
        }
        if target.share.is_some_and(|s| !(s > 0.0 && s <= 1.0)) {
            return wrong(&format!("{part}.share"), "must be above 0 and at most 1".into());
        }
    }
    Ok(())
}
