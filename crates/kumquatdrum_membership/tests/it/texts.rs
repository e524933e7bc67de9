//! Deltas between texts.

use kumquatdrum_membership::propagation::{Setup, Text};
use kumquatdrum_types::Version;

use crate::network::{Network, RELIABLE};

fn delta(old: &str, new: &str) -> Text {
    let old = Setup::new(Version(1), old.to_owned());
    let new = Setup::new(Version(2), new.to_owned());
    let text = Text::between(Some(&old), &new);
    assert_eq!(text.apply(Some(&old)), Some(new.text), "{old:?}");
    text
}

#[test]
fn several_small_changes_give_a_small_delta() {
    let line = |index: u32, weight: u32| {
        format!("{{\"name\": \"salon-{index}\", \"weight\": {weight}, \"concurrency\": 8}}")
    };
    for separator in [",", ",\n"] {
        let old: Vec<String> = (0..500).map(|index| line(index, index % 7)).collect();
        let mut new = old.clone();
        new[17] = line(17, 90);
        new[250] = line(250, 91);
        new.remove(300);
        new.insert(400, line(1_000, 5));
        let text = delta(&old.join(separator), &new.join(separator));
        assert!(text.literal_bytes() < 250, "{}", text.literal_bytes());
    }
}

#[test]
fn a_delta_between_any_two_texts_restores_the_new_one() {
    for seed in 0..300 {
        let mut random = Network::new(seed, RELIABLE);
        let mut text = || {
            let count = random.pick(0, 40);
            let mut pieces = String::new();
            for _ in 0..count {
                let piece = ["a,", "bb,", "c", "\n", "long piece,", "d,,", "x\ny"];
                pieces.push_str(piece[random.pick(0, 6) as usize]);
            }
            pieces
        };
        let (old, new) = (text(), text());
        delta(&old, &new);
        delta(&old, &format!("{old}{new}"));
        delta(&format!("{new}{old}{new}"), &format!("{new}{new}{old}"));
    }
}
