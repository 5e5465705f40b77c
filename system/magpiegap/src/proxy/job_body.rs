//! The JSON body of a job submission.
use crate::json_number::clamped_integer;
use magpiegap_protocol::{JobSpec, Resources, StepSpec, WallMillis};
use serde::Deserialize;

/// Why a body is not a valid job.
#[derive(Debug, thiserror::Error)]
pub enum JobBodyError {
    /// The body is not valid JSON, or a field has the wrong type.
    #[error("not a job: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The specification of the job is invalid.
    #[error(transparent)]
    Spec(#[from] magpiegap_protocol::JobSpecError),
}

/// Labels, written as a single string or as an array.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(untagged)]
enum Labels {
    One(String),
    Several(Vec<String>),
    #[default]
    None,
}

impl Labels {
    fn into_vec(self) -> Vec<String> {
        let labels = match self {
            Labels::One(label) => vec![label],
            Labels::Several(labels) => labels,
            Labels::None => Vec::new(),
        };
        labels
            .into_iter()
            .filter(|label| !label.is_empty())
            .collect()
    }
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Schedule {
    long_running: bool,
    repeat_count: u32,
    start_at_ms: f64,
    interval_ms: f64,
}

/// A step of a job. The name of this type appears in error messages to clients and must not change.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Step {
    count: u32,
    cpu: f64,
    mem_mb: f64,
    gpu: f64,
    estimated_ms: f64,
    depends_on: Vec<u32>,
    checkpoints: bool,
    gang: bool,
    rack_local: bool,
    requirements: Labels,
    affinity: Option<String>,
    anti_affinity: f64,
    allow_duplicate: bool,
    #[serde(flatten)]
    schedule: Schedule,
}

/// The body of a submission. The name of this type appears in error messages to clients and must not change.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Body {
    spec: String,
    steps: Vec<Step>,
    #[serde(flatten)]
    schedule: Schedule,
}

/// Parses and validates a job.
///
/// # Errors
/// When the body is malformed or the job is invalid.
pub fn read(body: &[u8]) -> Result<JobSpec, JobBodyError> {
    let body: Body = serde_json::from_slice(body)?;
    let schedule = body.schedule;
    let spec = JobSpec {
        spec: body.spec,
        long_running: schedule.long_running
            || body.steps.iter().any(|step| step.schedule.long_running),
        repeat_count: schedule.repeat_count,
        start_at_ms: WallMillis(clamped_integer(schedule.start_at_ms)),
        interval_ms: clamped_integer(schedule.interval_ms),
        steps: body.steps.into_iter().map(step_spec).collect(),
    };
    spec.validate()?;
    Ok(spec)
}

fn step_spec(step: Step) -> StepSpec {
    StepSpec {
        count: step.count,
        resources: Resources {
            cpu: clamped_integer(step.cpu),
            memory_mb: clamped_integer(step.mem_mb),
            gpu: clamped_integer(step.gpu),
        },
        estimated_ms: clamped_integer(step.estimated_ms),
        depends_on: step.depends_on,
        checkpoints: step.checkpoints,
        gang: step.gang,
        rack_local: step.rack_local,
        requirements: step.requirements.into_vec(),
        affinity: step.affinity.filter(|rack| !rack.is_empty()),
        anti_affinity: clamped_integer(step.anti_affinity).min(u64::from(u32::MAX)) as u32,
        allow_duplicate: step.allow_duplicate,
    }
}
