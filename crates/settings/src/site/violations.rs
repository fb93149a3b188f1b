//! The rules between the fields of a site.

use super::Site;
use super::capacity::Title;
use super::traffic::Class;
use crate::rule::{Rule, Violation};

impl Site {
    /// The rules between fields that the site violates.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (name, class) in &self.classes {
            self.check_class(name, class, &mut violations);
        }
        if !self.ladder.is_sorted_by(|a, b| a.rate_kb_s < b.rate_kb_s) {
            violations.push(Violation::new("site.ladder", Rule::LadderNotRising));
        }
        for (name, title) in &self.titles {
            self.check_title(name, title, &mut violations);
        }
        violations
    }

    fn check_class(&self, name: &str, class: &Class, violations: &mut Vec<Violation>) {
        let path = |field: &str| format!("site.class.{name}.{field}");
        let rungs = self.ladder.len();
        let highest = rungs - 1;
        let floor = class.lowest_rung;
        if floor >= rungs {
            violations.push(Violation::new(
                path("floor"),
                Rule::FloorAboveLadder { highest },
            ));
        }
        if class
            .highest_rung
            .is_some_and(|top| top < floor || top >= rungs)
        {
            let rule = Rule::TopOutsideLadder { floor, highest };
            violations.push(Violation::new(path("top"), rule));
        }
        if class.latency_objective_ms > class.deadline_ms {
            violations.push(Violation::new(path("aim_ms"), Rule::ObjectiveBeyondTimeout));
        }
    }

    fn check_title(&self, name: &str, title: &Title, violations: &mut Vec<Violation>) {
        let path = |field: &str| format!("site.title.{name}.{field}");
        let cells = self.layout.cell_count;
        if title.first_cell >= cells {
            let highest = cells - 1;
            violations.push(Violation::new(path("home"), Rule::UnknownCell { highest }));
        }
        if title.replica_cells > cells {
            let rule = Rule::SpreadBeyondCells { cells };
            violations.push(Violation::new(path("spread"), rule));
        }
    }
}
