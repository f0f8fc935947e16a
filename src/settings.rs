//! Reads the settings object into [`Settings`] and [`ProgramSettings`], for both programs. Unknown keys are
//! ignored.
use crate::api::*;
use serde_json::Value;

/// Numbers must be below this, as times become 64-bit integers.
const NUMBER_BOUND: f64 = 9e18;

/// A JSON value and its path in the settings object, for error messages.
struct Node<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Node<'a> {
    /// Returns the value of a key, or null if there is none.
    fn get(&self, key: &str) -> Node<'a> {
        static NULL: Value = Value::Null;
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        Node { value: self.value.get(key).unwrap_or(&NULL), path }
    }

    /// Returns an error that names this value by its path.
    fn error<T>(&self, problem: &str) -> Result<T, String> {
        Err(format!("{} {problem}", self.path))
    }

    /// Reads a number that is at least `min`.
    fn number(&self, min: f64) -> Result<f64, String> {
        match self.value.as_f64() {
            Some(n) if n >= min && n < NUMBER_BOUND => Ok(n),
            Some(n) => self.error(&format!("is out of range: {n}")),
            None if self.value.is_null() => self.error("is missing"),
            None => self.error("is not a number"),
        }
    }

    /// Reads a number that is at least `min`, or returns the default if the value is missing.
    fn number_or(&self, min: f64, default: f64) -> Result<f64, String> {
        if self.value.is_null() {
            Ok(default)
        } else {
            self.number(min)
        }
    }

    /// Reads a flag that is false if the value is missing.
    fn flag(&self) -> Result<bool, String> {
        match self.value {
            Value::Null => Ok(false),
            Value::Bool(b) => Ok(*b),
            _ => self.error("is not true or false"),
        }
    }

    /// Reads a text.
    fn text(&self) -> Result<&'a str, String> {
        match self.value {
            Value::String(s) => Ok(s),
            Value::Null => self.error("is missing"),
            _ => self.error("is not a text"),
        }
    }

    /// Reads a text, or returns the default if the value is missing.
    fn text_or(&self, default: &'a str) -> Result<&'a str, String> {
        if self.value.is_null() {
            Ok(default)
        } else {
            self.text()
        }
    }

    /// Reads a list that is empty if the value is missing.
    fn list(&self) -> Result<Vec<Node<'a>>, String> {
        match self.value {
            Value::Null => Ok(Vec::new()),
            Value::Array(items) => Ok(items
                .iter()
                .enumerate()
                .map(|(i, value)| Node { value, path: format!("{}[{i}]", self.path) })
                .collect()),
            _ => self.error("is not a list"),
        }
    }
}

/// The grace of drains if the settings have none.
const DEFAULT_DRAIN_GRACE: Ns = 500 * MS;

/// How a sender learns of changes of the list of endpoints, and by when it must know one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListDelivery {
    /// Changes are pushed to an agent on the sender's machine, and count as known as soon as it has them and
    /// answers. Calls to a draining endpoint must have ended to begin this long after that.
    Pushed { drain_grace: Ns },
    /// Changes are known once the sender has asked for them.
    Requested,
}

/// The settings that a program needs besides those of the policy.
#[derive(Clone, Debug)]
pub struct ProgramSettings {
    /// Position of x0, the unused share of the allowance, in a load report.
    pub remaining_column: Option<usize>,
    /// Position of x1, the rate limit, in a load report.
    pub limit_column: Option<usize>,
    pub list_delivery: ListDelivery,
    /// Names, in the order of their numbers in [`Settings`].
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// Returns the texts of list items, or of their field `key`; the empty text where there is none.
fn names(items: Vec<Node>, key: Option<&str>) -> Vec<String> {
    let name = |item: &Node| {
        key.map_or(item.value, |key| item.get(key).value).as_str().unwrap_or_default().to_string()
    };
    items.iter().map(name).collect()
}

/// Reads the settings object. An error names the field and what is wrong with it.
pub fn read(value: &Value) -> Result<(Settings, ProgramSettings), String> {
    let root = Node { value, path: String::new() };
    if !value.is_object() {
        return Err("not an object".to_string());
    }
    let limits = root.get("Limits");
    let safety = root.get("Safety");
    let prices = root.get("Prices");
    let family = root.get("FamilyInfo");
    let mut classes = Vec::new();
    for class in root.get("Services").list()? {
        let effect = match class.get("Effect").text()? {
            "safe" => Effect::Safe,
            "keyed" => Effect::Keyed,
            "unsafe" => Effect::Unsafe,
            _ => return class.get("Effect").error("is none of safe, keyed, unsafe"),
        };
        let dedup_scope = match class.get("DedupScope").text().unwrap_or("all") {
            "all" | "" => DedupScope::All,
            "zone" => DedupScope::Zone,
            _ => DedupScope::Endpoint,
        };
        let window = class.get("WindowNs");
        classes.push(Class {
            latency_target: class.get("PromiseNs").number(1.0)? as Ns,
            latency_target_per_cost: class.get("AimStretch").number_or(0.0, 0.0)?,
            deadline: class.get("DeadlineNs").number(1.0)? as Ns,
            effect,
            dedup_scope,
            dedup_window: if effect == Effect::Keyed {
                window.number(0.0)?
            } else {
                window.number_or(0.0, 0.0)?
            } as Ns,
            worth: class.get("Worth").number_or(0.0, 1.0)?,
            late_worth: class.get("LateWorth").number_or(0.0, 0.0)?,
            in_order: class.get("SerialByKey").flag()?,
        });
    }
    if classes.is_empty() {
        return root.get("Services").error("is missing or empty");
    }
    let batches = family.get("KindBatch").list()?;
    let separate = family.get("SeparateRoutes").list()?;
    let kinds = batches.len().max(separate.len()).max(root.get("Kinds").list()?.len());
    let kinds = (0..kinds)
        .map(|i| {
            Ok(EndpointKind {
                max_batch: batches.get(i).map_or(Ok(1.0), |batch| batch.number(0.0))?.max(1.0) as usize,
                separate_routes: separate.get(i).map_or(Ok(false), |separate_route| separate_route.flag())?,
            })
        })
        .collect::<Result<Vec<_>, String>>()?;
    let tenants = root.get("Realms").list()?;
    let tenants = tenants
        .iter()
        .map(|tenant| Ok(Tenant { quota_per_s: tenant.get("QuotaPerS").number_or(0.0, f64::MAX)? }))
        .collect::<Result<Vec<_>, String>>()?;
    let weights = root.get("Weights").text().unwrap_or("silent");
    let fields = root.get("Feedback").get("Fields").list()?;
    let column = |name: &str| fields.iter().position(|field| field.value.as_str() == Some(name));
    let fees = family.get("RouteFee").list()?;
    let settings = Settings {
        classes,
        kinds,
        tenants,
        over_quota_worth: root.get("OverShareWorth").number_or(0.0, 1.0)?,
        exponential_decay: family.get("Decay").text().unwrap_or("line") == "halves",
        sender_count: root.get("NInstances").number(1.0)? as usize,
        zone: root.get("Zone").number_or(0.0, 0.0)? as usize,
        tick: root.get("TickNs").number(0.0)? as Ns,
        slots: family.get("CallsOut").number(0.0)? as usize,
        max_open: limits.get("MaxOpen").number(0.0)? as usize,
        max_attempts: limits.get("MaxAttempts").number(1.0)? as u32,
        max_retry_after: limits.get("MaxRetryAfterNs").number_or(0.0, 0.0)? as Ns,
        may_duplicate: limits.get("MayDuplicate").flag()?,
        may_probe: limits.get("Probes").flag()?,
        may_cancel: limits.get("Cancel").flag()?,
        streams_per_connection: limits.get("StreamsPerConn").number_or(0.0, 1.0)?.max(1.0) as usize,
        idle_timeout: limits.get("IdleCloseNs").number_or(0.0, 0.0)? as Ns,
        connect_timeout: limits.get("DialTimeoutNs").number_or(0.0, 0.0)? as Ns,
        rate_hints: matches!(weights, "nominal" | "rough"),
        rough_rate_hints: weights == "rough",
        slow_start_capacity: safety.get("StartCapacity").number(0.0)?,
        slow_start_window: safety.get("ColdNs").number(0.0)? as Ns,
        overload_factor: safety.get("FallMultiple").number(0.0)?,
        overload_duration: safety.get("OverloadForNs").number(0.0)? as Ns,
        key_quiet_period: safety.get("KeyRestNs").number_or(0.0, 0.0)? as Ns,
        price_handshake: prices.get("Handshake").number_or(0.0, 0.0)?,
        price_cross_zone: prices.get("CrossZone").number_or(0.0, 0.0)?,
        price_refused: family.get("RefusalCost").number_or(0.0, 0.0)?,
        price_waste: prices.get("Waste").number_or(0.0, 0.0)?,
        route_fee: fees.iter().map(|fee| fee.number(0.0)).collect::<Result<Vec<_>, String>>()?,
    };
    let drain_grace = safety.get("StopSendingWithinNs").number_or(0.0, DEFAULT_DRAIN_GRACE as f64)? as Ns;
    let list_delivery = match root.get("Discovery").text_or("automatic")? {
        "automatic" => ListDelivery::Pushed { drain_grace },
        "subscribe" => ListDelivery::Requested,
        _ => return root.get("Discovery").error("is none of automatic, subscribe"),
    };
    let program_settings = ProgramSettings {
        remaining_column: column("x0"),
        limit_column: column("x1"),
        list_delivery,
        classes: names(root.get("Services").list()?, Some("Name")),
        tenants: names(root.get("Realms").list()?, Some("Name")),
        kinds: names(root.get("Kinds").list()?, None),
        zones: names(root.get("Localities").list()?, None),
    };
    Ok((settings, program_settings))
}
