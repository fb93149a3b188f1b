//! The settings object, with the figures of a small deployment as the pages give them.

/// What differs between the cases.
pub struct Site {
    pub directors: u32,
    pub cells: u32,
    /// Wanted and given-up times of both classes, ms.
    pub target_ms: u32,
    pub give_up_ms: u32,
    pub paid: &'static str,
    pub free: &'static str,
    pub paid_floor: u32,
    pub paid_seats: u32,
    pub drain_ms: u32,
    pub warm_up_ms: u32,
    pub fall_factor: f64,
    pub fall_ms: u32,
    pub has_budget: bool,
    pub has_probes: bool,
}

pub fn settings(site: &Site) -> String {
    let Site {
        directors,
        cells,
        target_ms,
        give_up_ms,
        paid,
        free,
        paid_floor,
        paid_seats,
        ..
    } = site;
    let Site {
        drain_ms,
        warm_up_ms,
        fall_factor,
        fall_ms,
        has_budget,
        has_probes,
        ..
    } = site;
    let budget = if *has_budget {
        "\"ExtraPerRequest\":0.3,\"MinExtra\":3.0,\"ResendSpan\":10000.0,"
    } else {
        ""
    };
    let class = |name: &str, effect: &str, value: f64| {
        format!(
            "{{\"DedupScope\":\"all\",\"Effect\":\"{effect}\",\"GiveUp\":{give_up_ms}.0,\"LateValue\":0.0,\
             \"Name\":\"{name}\",\"Stream\":true,\"Target\":{target_ms}.0,\"Value\":{value},\"Window\":5000.0}}"
        )
    };
    format!(
        "{{\"Balancers\":{directors},\"MyNumber\":0,\"Tier\":0,\"Family\":\"streams\",\
         \"Categories\":[{},{}],\"Clients\":{{\"MarksRetry\":false}},\
         \"Contract\":{{\"AnswerSlack\":40.0,{budget}\"Fall\":{fall_ms}.0,\"MustAskIn\":10000.0,\
         \"OverloadFactor\":{fall_factor},\"StartCapacity\":0.4,\"StopSendingWithin\":{drain_ms}.0,\
         \"WarmAfter\":{warm_up_ms}.0}},\
         \"Deductions\":{{\"CrossZone\":0.01,\"Probe\":0.01,\"Moves\":0.2,\"LateFail\":0.05}},\
         \"FailureDomains\":[\"north\"],\"Shapes\":[\"small\"],\"Zone\":\"north\",\"Stages\":[\"nodes\"],\
         \"Limits\":{{\"ConnIdle\":15000.0,\"ConnectTimeout\":250.0,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":500000,\
         \"MaxAttempts\":4,\"MaxOpen\":1000000,\"MaxRetryAfter\":1000.0,\"MayCancel\":true,\"Peers\":false,\
         \"Probes\":{has_probes},\"RetryAfter\":true,\"SecondCopies\":false,\"StreamsPerConn\":32}},\
         \"MembershipMode\":\"pushed\",\"OverShareWorth\":0.1,\
         \"Specifics\":{{\"Cabinets\":2,\"ClassScale\":[1.0,1.0],\"FleetKb\":900000.0,\"HighestRung\":[4,4],\
         \"JoinAdds\":1.0,\"KbPerWeight\":90000.0,\"LicenceCap\":[{paid_seats},0],\"Live\":[false,false],\
         \"LowestRung\":[{paid_floor},0],\"Places\":{cells},\"PlacesByKind\":[120],\"RackLinkKb\":400000.0,\
         \"RefusesFrom\":0.0,\"RungKb\":[191.0,349.0,636.0,1158.0,2110.0],\
         \"RungWorth\":[0.24,0.46,0.65,0.83,1.0],\"StallCost\":7.0,\"SwitchS\":0.72,\"ToldEvery\":3000.0,\
         \"ToldLate\":1456.0}},\
         \"Stats\":{{\"How\":\"piggyback\",\"Names\":[\"rif\",\"x0\",\"x1\"]}},\"Step\":10.0,\"Tenants\":[],\
         \"ValueBy\":\"work\",\"WeightSource\":\"silent\"}}",
        class(paid, "at_most_once", 2.0),
        class(free, "idempotent", 1.0)
    )
}
