//! What a recording shows of the six rules: breaches with their evidence, and how much each rule was tested.

use shalewall::Timestamp;
use std::collections::BTreeMap;
use std::fmt;

/// Findings that the text of a verdict lists.
const LISTED_FINDINGS: usize = 20;

/// The six rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request taken by a running director has one answer in time.
    OneAnswer,
    /// No paid set-up is executed twice, and no two attempts of a session are in flight.
    NoDuplicateSetUp,
    /// Nothing new is sent to a node that is draining or gone.
    Draining,
    /// No node that warms up is sent more than its pace.
    SlowStart,
    /// Sessions keep their class's floor, and directors its seats.
    FloorsAndSeats,
    /// Retries stay within their budget.
    RetryBudget,
}

impl Rule {
    /// All of them, in the order of reports.
    pub const ALL: [Rule; 6] = [
        Rule::OneAnswer,
        Rule::NoDuplicateSetUp,
        Rule::Draining,
        Rule::SlowStart,
        Rule::FloorsAndSeats,
        Rule::RetryBudget,
    ];

    /// The name that reports and summaries use.
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

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The rule that was broken.
    pub rule: Rule,
    /// When.
    pub time: Timestamp,
    /// How.
    pub evidence: String,
    /// The tenant of the session or request, if it has one.
    pub tenant: Option<String>,
}

/// How much a rule was tested. A rule without a test was not shown to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Coverage {
    /// How near it came to its limit: 1 is at it.
    pub max_limit_fraction: f64,
    /// How many things it was tested on.
    pub checks: u64,
}

impl Coverage {
    fn record(&mut self, utilization: f64) {
        self.max_limit_fraction = self.max_limit_fraction.max(utilization);
        self.checks += 1;
    }
}

/// What a recording shows.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// Breaches, in order of time.
    pub findings: Vec<Finding>,
    /// How much each rule was tested; absent where nothing tested it.
    pub coverage: BTreeMap<Rule, Coverage>,
    /// The same for each tenant's requests and sessions.
    pub tenants: BTreeMap<String, BTreeMap<Rule, Coverage>>,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
    }

    /// Counts a test of a rule. `utilization`: how near it came to the limit, 1 is at it.
    pub(crate) fn record_test(&mut self, rule: Rule, tenant: Option<&str>, utilization: f64) {
        self.coverage.entry(rule).or_default().record(utilization);
        if let Some(tenant) = tenant {
            let coverage = self.tenants.entry(tenant.to_string()).or_default();
            coverage.entry(rule).or_default().record(utilization);
        }
    }

    pub(crate) fn record_breach(
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

    fn breaches(&self, rule: Rule) -> usize {
        let of_rule = |finding: &&Finding| finding.rule == rule;
        self.findings.iter().filter(of_rule).count()
    }

    fn tenant_breaches(&self, rule: Rule, tenant: &str) -> usize {
        let of_tenant =
            |finding: &&Finding| finding.rule == rule && finding.tenant.as_deref() == Some(tenant);
        self.findings.iter().filter(of_tenant).count()
    }

    fn rule_line(&self, rule: Rule) -> String {
        let coverage = self.coverage.get(&rule);
        let tests = coverage.map_or(0, |coverage| coverage.checks);
        let nearest = coverage.map_or("-".to_string(), |coverage| {
            format!("{:.0}%", coverage.max_limit_fraction * 100.0)
        });
        let state = match (self.breaches(rule), tests) {
            (0, 0) => "not tested".to_string(),
            (0, _) => "kept".to_string(),
            (breaches, _) => format!("BROKEN {breaches} times"),
        };
        let name = rule.name();
        format!("{name:<26} {state:<16} tested {tests:>6}, nearest to its limit {nearest}")
    }

    fn tenant_rule(&self, rule: Rule, tenant: &str, coverage: Option<&Coverage>) -> String {
        let name = rule.name();
        match (self.tenant_breaches(rule, tenant), coverage) {
            (0, None) => format!("{name} not tested"),
            (0, Some(coverage)) => format!("{name} kept ({})", coverage.checks),
            (breaches, _) => format!("{name} BROKEN {breaches} times"),
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
