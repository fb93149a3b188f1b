//! The rules between the fields of a site.

use super::Site;
use super::capacity::Title;
use super::traffic::Class;
use crate::rule::{Rule, Violation};

impl Site {
    /// The rules between fields that the site breaks.
    pub(crate) fn violations(&self) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (name, class) in &self.class {
            self.check_class(name, class, &mut violations);
        }
        if !self.ladder.is_sorted_by(|a, b| a.kb < b.kb) {
            violations.push(Violation::new("site.ladder", Rule::LadderNotRising));
        }
        for (name, title) in &self.title {
            self.check_title(name, title, &mut violations);
        }
        violations
    }

    fn check_class(&self, name: &str, class: &Class, violations: &mut Vec<Violation>) {
        let path = |field: &str| format!("site.class.{name}.{field}");
        let rungs = self.ladder.len();
        let highest = rungs - 1;
        let floor = class.floor;
        if floor >= rungs {
            violations.push(Violation::new(
                path("floor"),
                Rule::FloorAboveLadder { highest },
            ));
        }
        if class.top.is_some_and(|top| top < floor || top >= rungs) {
            let rule = Rule::TopOutsideLadder { floor, highest };
            violations.push(Violation::new(path("top"), rule));
        }
        if class.aim_ms > class.give_up_ms {
            violations.push(Violation::new(path("aim_ms"), Rule::ObjectiveBeyondTimeout));
        }
    }

    fn check_title(&self, name: &str, title: &Title, violations: &mut Vec<Violation>) {
        let path = |field: &str| format!("site.title.{name}.{field}");
        let cells = self.layout.cells;
        if title.home >= cells {
            let highest = cells - 1;
            violations.push(Violation::new(path("home"), Rule::UnknownCell { highest }));
        }
        if title.spread > cells {
            let rule = Rule::SpreadBeyondCells { cells };
            violations.push(Violation::new(path("spread"), rule));
        }
    }
}
