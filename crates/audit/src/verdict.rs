//! Result of an audit: violations of the six rules with their evidence, and the coverage of each rule.

use shalewall::Timestamp;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of findings that the text of a verdict lists.
const LISTED_FINDINGS: usize = 20;

/// The six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request to a running director gets exactly one response in time.
    OneAnswer,
    /// No paid set-up is executed twice, and no two attempts of a session are in flight.
    NoDuplicateSetUp,
    /// No new session is sent to a node that is draining or gone.
    Draining,
    /// No node that is warming up gets more set-ups than its slow start allows.
    SlowStart,
    /// Sessions stay at or above the floor of their class, and directors within its seats.
    FloorsAndSeats,
    /// Retries stay within the retry budget.
    RetryBudget,
}

impl Rule {
    /// All rules, in the order in which reports list them.
    pub const ALL: [Rule; 6] = [
        Rule::OneAnswer,
        Rule::NoDuplicateSetUp,
        Rule::Draining,
        Rule::SlowStart,
        Rule::FloorsAndSeats,
        Rule::RetryBudget,
    ];

    /// Name that reports and summaries use.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one answer in time",
            Rule::NoDuplicateSetUp => "no set-up twice",
            Rule::Draining => "drains kept",
            Rule::SlowStart => "no cold node pushed over",
            Rule::FloorsAndSeats => "floors and seats kept",
            Rule::RetryBudget => "attempts rationed",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Rule that was violated.
    pub rule: Rule,
    /// Time of the violation.
    pub time: Timestamp,
    /// Description of the violation.
    pub evidence: String,
    /// Tenant of the session or request, if it has one.
    pub tenant: Option<String>,
}

/// Coverage of a rule by checks. A rule without checks was not shown to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coverage {
    /// Largest fraction of the limit that a check reached; 1 is the limit.
    pub max_limit_fraction: f64,
    /// Number of checks.
    pub checks: u64,
}

impl Coverage {
    fn record(&mut self, utilization: f64) {
        self.max_limit_fraction = self.max_limit_fraction.max(utilization);
        self.checks += 1;
    }
}

/// Result of an audit.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Violations, in order of time.
    pub findings: Vec<Finding>,
    /// Coverage of each rule that was checked at least once.
    pub coverage: BTreeMap<Rule, Coverage>,
    /// Coverage by the requests and sessions of each tenant.
    pub tenants: BTreeMap<String, BTreeMap<Rule, Coverage>>,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
    }

    /// Counts a check of a rule. `utilization` is the reached fraction of the limit.
    pub(crate) fn record_check(&mut self, rule: Rule, tenant: Option<&str>, utilization: f64) {
        self.coverage.entry(rule).or_default().record(utilization);
        if let Some(tenant) = tenant {
            let coverage = self.tenants.entry(tenant.to_string()).or_default();
            coverage.entry(rule).or_default().record(utilization);
        }
    }

    pub(crate) fn record_violation(
        &mut self,
        rule: Rule,
        tenant: Option<&str>,
        time: Timestamp,
        evidence: String,
    ) {
        self.findings.push(Finding {
            rule,
            time,
            evidence,
            tenant: tenant.map(str::to_string),
        });
    }

    fn violations(&self, rule: Rule) -> usize {
        let of_rule = |finding: &&Finding| finding.rule == rule;
        self.findings.iter().filter(of_rule).count()
    }

    fn tenant_violations(&self, rule: Rule, tenant: &str) -> usize {
        let of_tenant =
            |finding: &&Finding| finding.rule == rule && finding.tenant.as_deref() == Some(tenant);
        self.findings.iter().filter(of_tenant).count()
    }

    fn rule_line(&self, rule: Rule) -> String {
        let coverage = self.coverage.get(&rule);
        let checks = coverage.map_or(0, |coverage| coverage.checks);
        let max_limit_fraction = coverage.map_or("-".to_string(), |coverage| {
            format!("{:.0}%", coverage.max_limit_fraction * 100.0)
        });
        let state = match (self.violations(rule), checks) {
            (0, 0) => "not tested".to_string(),
            (0, _) => "kept".to_string(),
            (violations, _) => format!("BROKEN {violations} times"),
        };
        let name = rule.name();
        format!(
            "{name:<26} {state:<16} tested {checks:>6}, nearest to its limit {max_limit_fraction}"
        )
    }

    fn tenant_rule(&self, rule: Rule, tenant: &str, coverage: Option<&Coverage>) -> String {
        let name = rule.name();
        match (self.tenant_violations(rule, tenant), coverage) {
            (0, None) => format!("{name} not tested"),
            (0, Some(coverage)) => format!("{name} kept ({})", coverage.checks),
            (violations, _) => format!("{name} BROKEN {violations} times"),
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for rule in Rule::ALL {
            writeln!(f, "{}", self.rule_line(rule))?;
        }
        for (tenant, coverage) in &self.tenants {
            let rules = Rule::ALL.map(|rule| self.tenant_rule(rule, tenant, coverage.get(&rule)));
            writeln!(f, "tenant {tenant}: {}", rules.join(", "))?;
        }
        for finding in self.findings.iter().take(LISTED_FINDINGS) {
            writeln!(f, "  {finding}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.time.as_micros() as f64 / 1e6;
        let name = self.rule.name();
        write!(f, "at {seconds:.3} s: {name}: {}", self.evidence)
    }
}
