//! Numbers of classes, tenants and fleets: shared by equal settings, not reused while sessions refer to them, and
//! independent of the order in which tenant updates arrive.

use shalewall::{ClassSettings, ServerId, TimeDelta};
use shalewall_engine::catalogue::{Catalogue, ResolvedNames};
use shalewall_engine::{ClassTerms, Config, TenantTerms, TitlePlacement};

fn terms(quota: f64, priority_weight: f64, nodes: &[u64]) -> TenantTerms {
    let settings = ClassSettings {
        priority_weight,
        ..ClassSettings::default()
    };
    let class = ClassTerms {
        settings,
        max_wait: TimeDelta::from_micros(5),
    };
    let placement = TitlePlacement {
        first_cell: 1,
        replica_cells: 2,
    };
    TenantTerms {
        quota: Some(quota),
        classes: [("room".to_string(), class)].into(),
        titles: [("monday".to_string(), placement)].into(),
        nodes: nodes.iter().map(|node| ServerId(*node)).collect(),
    }
}

fn resolve(catalogue: &Catalogue, tenant: &str) -> ResolvedNames {
    catalogue
        .resolve(Some(tenant), "room", "monday")
        .expect("the names are known")
}

#[test]
fn equal_settings_share_a_number_and_referenced_numbers_are_not_reused() {
    let mut catalogue = Catalogue::new(&mut Config::default());
    catalogue.set_terms("a", Some(terms(1.0, 2.0, &[])));
    catalogue.set_terms("b", Some(terms(3.0, 2.0, &[])));
    let a = resolve(&catalogue, "a");
    let b = resolve(&catalogue, "b");
    assert_eq!((a.class, a.tenant), (b.class, Some(0)));
    assert_ne!(
        a.title, b.title,
        "equal names of two tenants' titles have different ids"
    );
    assert_eq!(
        catalogue
            .tenants()
            .iter()
            .map(|tenant| tenant.fleet_quota)
            .collect::<Vec<_>>(),
        [0.25, 0.75]
    );

    // A session of tenant a keeps the old settings while they change, and after the tenant is removed.
    catalogue.acquire(a.class, a.tenant);
    catalogue.set_terms("a", Some(terms(1.0, 9.0, &[])));
    assert_ne!(resolve(&catalogue, "a").class, a.class);
    assert_eq!(
        resolve(&catalogue, "a").title,
        a.title,
        "the title's session limit still applies"
    );
    catalogue.set_terms("a", None);
    catalogue.set_terms("b", None);
    catalogue.set_terms("c", Some(terms(1.0, 7.0, &[])));
    let other = resolve(&catalogue, "c");
    assert_ne!((other.class, other.tenant), (a.class, a.tenant));
    assert!(other.class != a.class && other.tenant != a.tenant);
    assert_eq!(catalogue.classes()[a.class].priority_weight, 2.0);
    // When the session is over, its numbers are reused: a thousand changes allocate no new ones.
    catalogue.release(a.class, a.tenant);
    for change in 0..1000 {
        let weight = 100.0 + f64::from(change);
        catalogue.set_terms("d", Some(terms(1.0, weight, &[])));
    }
    assert!(
        catalogue.classes().len() <= 4,
        "{}",
        catalogue.classes().len()
    );
    assert!(
        catalogue.tenants().len() <= 3,
        "{}",
        catalogue.tenants().len()
    );
}

#[test]
fn fleets_do_not_depend_on_the_order_of_updates() {
    let tenants = [
        ("a", vec![1, 2]),
        ("b", vec![2, 3]),
        ("c", vec![2, 1]),
        ("d", vec![]),
    ];
    let assign = |order: &[usize]| {
        let mut catalogue = Catalogue::new(&mut Config::default());
        for number in order {
            let (tenant, nodes) = &tenants[*number];
            catalogue.set_terms(tenant, Some(terms(1.0, 1.0, nodes)));
        }
        catalogue.assign_fleets();
        let of_tenants = ["a", "b", "c", "d"].map(|tenant| resolve(&catalogue, tenant).fleet);
        let of_nodes = [1, 2, 3, 4].map(|node| catalogue.fleet(ServerId(node)));
        (of_tenants, of_nodes)
    };
    assert_eq!(assign(&[0, 1, 2, 3]), ([1, 2, 1, 0], [1, 1, 2, 0]));
    assert_eq!(assign(&[3, 2, 1, 0]), assign(&[0, 1, 2, 3]));
}
