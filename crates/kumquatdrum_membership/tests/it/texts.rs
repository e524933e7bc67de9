//! Differences between texts.

use kumquatdrum_membership::spread::{Setup, Text};
use kumquatdrum_types::Version;

use crate::network::{CALM, Network};

fn delta(old: &str, new: &str) -> Text {
    let old = Setup::new(Version(1), old.to_owned());
    let new = Setup::new(Version(2), new.to_owned());
    let text = Text::between(Some(&old), &new);
    assert_eq!(text.apply(Some(&old)), Some(new.text), "{old:?}");
    text
}

#[test]
fn changes_in_several_places_carry_little_text() {
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
        assert!(text.own_bytes() < 250, "{}", text.own_bytes());
    }
}

#[test]
fn any_two_texts_differ_by_what_makes_one_from_the_other() {
    for seed in 0..300 {
        let mut random = Network::new(seed, CALM);
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
