//! Order of the candidates for the planning duty.

use std::collections::HashMap;

use bw_direct::candidates::order;
use bw_direct::candidates::Capacity;

/// 99 gateways, of which three in each of five data centres have wide links.
#[test]
fn gateways_with_wide_links_take_the_duty_over_before_the_others() {
    let mut capacities = HashMap::new();
    let mut names = Vec::new();
    for centre in ["a", "b", "c", "d", "e"] {
        for number in 1..=20 {
            let name = format!("edge-{centre}-{number}");
            let wide = number <= 3;
            let capacity = if wide { Capacity::new(200.0, 0.5) } else { Capacity::new(40.0, 0.24) };
            capacities.insert(name.clone(), capacity);
            names.push(name);
        }
    }
    let order = order(names.iter().map(String::as_str), &capacities);
    assert!(order[..15].iter().all(|name| capacities[*name] == Capacity::new(200.0, 0.5)));
    assert_eq!(&order[..4], ["edge-a-1", "edge-a-2", "edge-a-3", "edge-b-1"]);
}

#[test]
fn gateways_of_unknown_capacity_come_last() {
    let capacities = HashMap::from([("b".to_string(), Capacity::new(0.0, 1.0))]);
    assert_eq!(order(["a", "b"].into_iter(), &capacities), ["b", "a"]);
}
