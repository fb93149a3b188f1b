//! A day file of the bench, turned into a script. What has no counterpart, or only a rough one, is listed.

use serde_json::Value;
use shalewall_settings::{
    Class, Costs, Day, DayPlan, Fleet, Further, Kind, Layout, Limits, Link, Load, Machine, Notes,
    Rules, Site, Step, Tenant, Title, Trouble, TroubleKind,
};
use std::collections::BTreeMap;

/// A script, and what of the day is not in it as it was.
#[derive(Debug)]
pub struct Imported {
    pub plan: DayPlan,
    pub left_out: Vec<String>,
}

impl Imported {
    /// The script's text, with what was left out at its head.
    pub fn script(&self) -> Result<String, String> {
        let mut text = String::from("# Imported from a day of the bench. Left out or changed:\n");
        self.left_out
            .iter()
            .for_each(|l| text.push_str(&format!("# - {l}\n")));
        text.push_str(&hcl::to_string(&self.plan).map_err(|e| e.to_string())?);
        Ok(text)
    }
}

/// Reads values by path, so that an error can name it.
struct Source<'v> {
    value: &'v Value,
    path: String,
}

impl<'v> Source<'v> {
    fn at(&self, name: &str) -> Source<'v> {
        static NONE: Value = Value::Null;
        let value = match name.parse::<usize>() {
            Ok(i) => self.value.get(i),
            Err(_) => self.value.get(name),
        };
        Source {
            value: value.unwrap_or(&NONE),
            path: format!("{}/{name}", self.path),
        }
    }

    fn wrong<T>(&self, what: &str) -> Result<T, String> {
        Err(format!("{}: {what}", self.path))
    }

    fn number(&self) -> Result<f64, String> {
        self.value
            .as_f64()
            .filter(|x| x.is_finite())
            .map_or_else(|| self.wrong("has to be a number"), Ok)
    }

    fn text(&self) -> Result<String, String> {
        self.value
            .as_str()
            .map_or_else(|| self.wrong("has to be a text"), |t| Ok(t.to_string()))
    }

    fn flag(&self) -> bool {
        self.value.as_bool().unwrap_or(false)
    }

    fn list(&self) -> Result<Vec<Source<'v>>, String> {
        match self.value.as_array() {
            Some(list) => Ok((0..list.len()).map(|i| self.at(&i.to_string())).collect()),
            None => self.wrong("has to be a list"),
        }
    }

    fn numbers(&self) -> Result<Vec<f64>, String> {
        self.list()?.iter().map(Source::number).collect()
    }
}

/// Answers of a program on sockets may be so late: the bench's clock has none of a machine's own delays.
const ANSWER_SLACK_MS: f64 = 150.0;

/// Turns the text of a day file into a script.
pub fn import(text: &str) -> Result<Imported, String> {
    let value: Value = serde_json::from_str(text).map_err(|e| format!("is not JSON: {e}"))?;
    let day = Source {
        value: &value,
        path: String::new(),
    };
    if day.at("family").text()? != "streams" {
        return day
            .at("family")
            .wrong("only days of streams have a counterpart");
    }
    let mut left_out = vec![
        "net: delays and jitter are those of this machine's loopback".to_string(),
        "sessions that play when the day begins: the day begins empty".to_string(),
        "session lengths: evenly from 0.3 to 1.7 times the day's mean".to_string(),
        "titles: laid out anew, with the day's number, spread and skew; all classes share them"
            .to_string(),
        "clients: pauses, patience and back-off are the stand-ins'".to_string(),
        "connections: handshakes, caps and idle times are this machine's".to_string(),
    ];
    let tier = match &day.at("tiers").list()?[..] {
        [one, rest @ ..] => {
            if !rest.is_empty() {
                left_out.push(format!("{} tiers behind the first", rest.len()));
            }
            one.at("kinds").list()?;
            day.at("tiers").at("0")
        }
        [] => return day.at("tiers").wrong("is empty"),
    };
    let site = site(&day, &tier)?;
    let fleet = fleet(&day, &tier, &site)?;
    let seconds = (day.at("length").number()? / 1e6).clamp(1.0, 3600.0);
    let directors = day.at("balancers").list()?.len();
    if directors == 0 || directors > 64 {
        return day
            .at("balancers")
            .wrong("1 to 64 directors can be run as processes of one machine");
    }
    let load = load(&day, &site)?;
    let trouble = troubles(&day, &site, seconds, &mut left_out)?;
    if !site.tenant.is_empty() {
        left_out.push("tenants: viewers do not name theirs, so their shares are not played".into());
    }
    let seed = day.at("noise").value.as_u64().unwrap_or(1) >> 12;
    let day = Day {
        seconds,
        seed,
        directors: directors as u32,
        media_fraction: 0.01,
    };
    let plan = DayPlan {
        day,
        site,
        fleet,
        load,
        hosted: None,
        trouble,
    };
    Ok(Imported { plan, left_out })
}

fn site(day: &Source, tier: &Source) -> Result<Site, String> {
    let fam = day.at("fam");
    let ms = |s: Source| s.number().map(|us| us / 1000.0);
    let kinds = tier.at("kinds").list()?;
    let mut kind = BTreeMap::new();
    for k in &kinds {
        let places = (k.at("cores").number()? * fam.at("core_slots").number()?)
            .round()
            .max(1.0);
        kind.insert(k.at("name").text()?, Kind { places });
    }
    let uses = fam.at("uses").list()?;
    let mut class = BTreeMap::new();
    for (i, c) in day.at("classes").list()?.iter().enumerate() {
        let used = fam.at("uses").at(&i.to_string());
        if i >= uses.len() {
            return used.wrong("is missing");
        }
        class.insert(
            c.at("name").text()?,
            Class {
                paid: c.at("effect").text()? != "safe",
                aim_ms: ms(c.at("aim"))?,
                give_up_ms: ms(c.at("deadline"))?,
                worth: c.at("worth").number()?,
                scale: used.at("scale").number()?,
                floor: used.at("floor").number()? as usize,
                top: Some(used.at("top").number()? as usize),
                seats: used.at("seats").number()? as u32,
                live: used.at("live").flag(),
            },
        );
    }
    let (rates, worths) = (fam.at("rates").numbers()?, fam.at("worth").numbers()?);
    let cells = fam.at("cells").number()? as u64;
    let racks = fam.at("racks").number()? as u64;
    let uplinks = fam.at("uplink_kb").numbers()?;
    let servers = day.at("servers").list()?;
    let core_kb = fam.at("core_kb").number()?;
    let (mut links, mut weights) = (0.0, 0.0);
    for s in &servers {
        links += core_kb * cores(tier, s)?;
        weights += s.at("weight").number()?;
    }
    let budget = day.at("budget");
    let further = match budget.value {
        Value::Null => None,
        _ => Some(Further {
            free: budget.at("free").number()?,
            per_request: budget.at("share").number()?,
            span_ms: ms(budget.at("window"))?,
        }),
    };
    let mut tenant = BTreeMap::new();
    for t in day.at("tenants").list()? {
        tenant.insert(
            t.at("name").text()?,
            Tenant {
                allowance_per_s: t.at("quota").number()?,
                share: 0.0,
            },
        );
    }
    let copies = fam.at("copies").number()?;
    let titles = (fam.at("titles").number()? as u64).clamp(1, 10_000);
    let zipf = fam.at("title_zipf").number()?;
    let all: f64 = (1..=titles).map(|i| (i as f64).powf(-zipf)).sum();
    let spread = |i: u64| {
        let part = (i as f64 + 1.0).powf(-zipf) / all;
        ((copies * part * servers.len() as f64).ceil() as u64)
            .max(3)
            .min(cells)
    };
    // Homes go round the cells by a step that meets them all.
    let title = (0..titles)
        .map(|i| {
            (
                format!("title-{i:04}"),
                Title {
                    home: (i * 7 + i / cells) % cells,
                    spread: spread(i),
                },
            )
        })
        .collect();
    let allow = day.at("allow");
    let prices = day.at("prices");
    Ok(Site {
        moves: None,
        zones: day
            .at("zones")
            .list()?
            .iter()
            .map(Source::text)
            .collect::<Result<_, _>>()?,
        kind,
        class,
        tenant,
        ladder: rates
            .iter()
            .zip(&worths)
            .map(|(kb, worth)| Step {
                kb: *kb,
                worth: *worth,
            })
            .collect(),
        layout: Layout { cells, racks },
        link: Link {
            kb_per_weight: links / weights.max(1e-9),
            weights_tell_size: tier.at("weights").text()? != "none",
            fleet_kb: links,
            uplink_kb: uplinks.iter().sum::<f64>() / uplinks.len().max(1) as f64,
            join_adds: fam.at("join").number()?,
        },
        notes: Notes {
            every_ms: ms(fam.at("tell"))?,
            late_ms: ms(fam.at("see"))?,
        },
        costs: Costs {
            stall: fam.at("stall").number()?,
            switch_s: fam.at("switch_s").number()?,
            cross: prices.at("cross_zone").number()?,
            probe: prices.at("probe").number()?,
            over_share_worth: day.at("traffic").at("over_share_worth").number()?,
        },
        rules: Rules {
            drain_within_ms: ms(day.at("drain_grace"))?,
            answer_slack_ms: ANSWER_SLACK_MS,
            warm_after_ms: ms(tier.at("stated_cold"))?,
            start_capacity: tier.at("stated_cold_from").number()?,
            overload_factor: day.at("fall_multiple").number()?,
            fall_ms: ms(day.at("fall_for"))?,
            further,
        },
        limits: Limits {
            max_attempts: allow.at("max_attempts").number()? as u32,
            may_cancel: allow.at("cancel").flag(),
            may_probe: allow.at("probes").flag(),
            max_come_back_ms: if allow.at("retry_after").flag() {
                ms(day.at("clients").at("max_retry_after"))?
            } else {
                0.0
            },
            step_ms: (ms(day.at("tick"))?).max(20.0),
        },
        title,
    })
}

fn cores(tier: &Source, server: &Source) -> Result<f64, String> {
    let kind = server.at("kind").number()? as usize;
    tier.at("kinds").at(&kind.to_string()).at("cores").number()
}

fn fleet(day: &Source, tier: &Source, site: &Site) -> Result<Fleet, String> {
    let fam = day.at("fam");
    let core_kb = fam.at("core_kb").number()?;
    let mut machine = BTreeMap::new();
    for (i, s) in day.at("servers").list()?.iter().enumerate() {
        let kind = (s.at("kind").number()? as usize).to_string();
        let zone = s.at("zone").number()? as usize;
        let told = Machine {
            zone: site.zones.get(zone).cloned().unwrap_or_default(),
            kind: tier.at("kinds").at(&kind).at("name").text()?,
            cell: s.at("cell").number()? as u64,
            weight: s.at("weight").number()?,
            link_kb: core_kb * cores(tier, s)?,
        };
        // The bench counts from 0.
        machine.insert((i + 1).to_string(), told);
    }
    Ok(Fleet {
        nodes: machine.len().max(1) as u64,
        link_kb: core_kb,
        link_stray: 0.0,
        rate_stray: fam.at("vary").number()?,
        uplink_kb: site.link.uplink_kb,
        set_up_ms: 60.0,
        refresh_ms: (tier.at("report_period").number()? / 1000.0).max(1.0),
        noise: tier.at("report_noise").number()?,
        full_from: fam.at("guard").number()?,
        machine,
        uplinks_kb: fam.at("uplink_kb").numbers()?,
        list_late_ms: day.at("discovery").at("notice").number()? / 1000.0,
    })
}

fn load(day: &Source, site: &Site) -> Result<Load, String> {
    let fam = day.at("fam");
    let mut mix = BTreeMap::new();
    let mut life = 0.0;
    for (i, c) in day.at("classes").list()?.iter().enumerate() {
        let share = c.at("share").number()?;
        life += share * fam.at("uses").at(&i.to_string()).at("life").number()?;
        mix.insert(c.at("name").text()?, share);
    }
    debug_assert_eq!(mix.len(), site.class.len());
    let mean = fam.at("life_s").number()? * life;
    Ok(Load {
        follow: 0.0,
        live_buffer_ms: 1000.0,
        buffer_ms: 4000.0,
        tenants: BTreeMap::new(),
        per_s: (day.at("traffic").at("load").number()? * fam.at("capacity").number()?).max(0.01),
        mix,
        shortest_s: 0.3 * mean,
        longest_s: 1.7 * mean,
        lasts_s: BTreeMap::new(),
        hint_times: 1.0,
        weak: fam.at("small_screens").number()?,
        skew: fam.at("title_zipf").number()?,
        come_again: fam.at("returns").number()?,
        pause_ms: fam.at("rejoin_us").number()? / 1000.0,
    })
}

fn troubles(
    day: &Source,
    site: &Site,
    seconds: f64,
    left_out: &mut Vec<String>,
) -> Result<BTreeMap<String, Trouble>, String> {
    let mut found = BTreeMap::new();
    for (i, t) in day.at("troubles").list()?.iter().enumerate() {
        let name = t.at("kind").text()?;
        let label = format!("{i:02} {name}");
        let kind = match name.as_str() {
            "crash" => TroubleKind::Crash,
            "vanish" => TroubleKind::Vanish,
            "hang" => TroubleKind::Hang,
            "neighbour" => TroubleKind::Neighbour,
            "shared_slow" => TroubleKind::SharedSlow,
            "ageing" => TroubleKind::Ageing,
            "preempt" => TroubleKind::Preempt,
            "zone_loss" => TroubleKind::ZoneLoss,
            "discovery_down" => TroubleKind::ListOut,
            "burst" => TroubleKind::Burst,
            "tenant_burst" => TroubleKind::TenantBurst,
            "hot_key" => TroubleKind::HotTitle,
            "balancer_stall" => TroubleKind::DirectorStall,
            _ => {
                left_out.push(format!("trouble {label}: has no counterpart here"));
                continue;
            }
        };
        let at_s = (t.at("at").number()? / 1e6).clamp(0.0, seconds);
        let len_s = (t.at("len").number()? / 1e6).min(seconds - at_s).max(0.0);
        let (size, extra) = (t.at("size").number()?, t.at("extra").number()?);
        let which = t.at("which").number()? as usize;
        let on = t.at("on").numbers()?;
        // Nodes count from 1 here, directors from 0 as there.
        let nodes = || Some(on.iter().map(|n| *n as u64 + 1).collect());
        let mut trouble = Trouble::new(kind, at_s, len_s);
        match kind {
            TroubleKind::Crash | TroubleKind::Vanish | TroubleKind::Hang => trouble.on = nodes(),
            TroubleKind::Neighbour => {
                (trouble.on, trouble.size) = (nodes(), size.clamp(0.001, 1.0));
                left_out.push(format!(
                    "trouble {label}: its spells on and off are drawn anew"
                ));
            }
            TroubleKind::Ageing => {
                (trouble.on, trouble.size) = (nodes(), size);
                left_out.push(format!(
                    "trouble {label}: its course is a straight line, links slow with set-ups"
                ));
            }
            TroubleKind::SharedSlow | TroubleKind::Burst => trouble.size = size,
            TroubleKind::ListOut => {}
            TroubleKind::Preempt => {
                let mut stopped = Vec::new();
                for step in t.at("steps").list()? {
                    stopped.extend(step.at("stop").numbers()?.iter().map(|n| *n as u64 + 1));
                }
                trouble.waves = (t.at("steps").list()?.len() as u32).clamp(1, 16);
                (trouble.on, trouble.notice_ms) = (Some(stopped), size * 1000.0);
                trouble.len_s = (2.0 * extra).min(seconds - at_s);
                left_out.push(format!(
                    "trouble {label}: waves are evenly spaced, replacements the machines' twins"
                ));
            }
            TroubleKind::ZoneLoss => {
                let first = on
                    .first()
                    .map(|n| (*n as usize).to_string())
                    .unwrap_or_default();
                let zone = day
                    .at("servers")
                    .at(&first)
                    .at("zone")
                    .number()
                    .unwrap_or(0.0) as usize;
                trouble.name = site.zones.get(zone).cloned();
                left_out.push(format!(
                    "trouble {label}: its directors are not lost with it"
                ));
            }
            TroubleKind::TenantBurst => {
                (trouble.size, trouble.name) = (size, site.tenant.keys().nth(which).cloned());
                left_out.push(format!(
                    "trouble {label}: a burst of all, since viewers name no tenant"
                ));
            }
            TroubleKind::HotTitle => {
                (trouble.size, trouble.name) = (size, site.title.keys().nth(which).cloned());
            }
            TroubleKind::DirectorStall => {
                (trouble.on, trouble.stall_ms) =
                    (Some(on.iter().map(|n| *n as u64).collect()), size);
                left_out.push(format!(
                    "trouble {label}: stalls follow each other after 1 to 2 of their own length"
                ));
            }
            TroubleKind::DirectorKill | TroubleKind::ClassFlood => {}
        }
        found.insert(label, trouble);
    }
    Ok(found)
}
