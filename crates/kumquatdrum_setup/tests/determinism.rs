//! Random commands: each replica ends in the same state, with or without a snapshot on the way.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_setup::audit::verify;
use kumquatdrum_setup::{Action, Claim, Command, Prepared, Settled, Settlement, Stamp, State};
use support::{claim, request, restored, settlement};

const SEEDS: u64 = 200;
const ENTROPY_BYTES: u64 = 2_048;
const COMMANDS: usize = 40;

const SETTLED: [Settled; 4] = [
    Settled::Running,
    Settled::Finished,
    Settled::NotRun,
    Settled::Unknown,
];

fn some_claim(u: &mut Unstructured<'_>) -> Result<Claim> {
    let key = u.choose(&["k1", "k2", "k3"])?;
    let host = u.choose(&["h1", "h2"])?;
    let attempt = u.choose(&["1", "2", "3", "4"])?;
    Ok(claim(key, host, attempt))
}

fn some_settlement(u: &mut Unstructured<'_>) -> Result<Settlement> {
    let claim = some_claim(u)?;
    let by = u.choose(&["h1", "h2"])?;
    Ok(settlement(&claim, by, *u.choose(&SETTLED)?))
}

fn action(u: &mut Unstructured<'_>, state: &State) -> Result<Action> {
    let claims = u.int_in_range(0..=3)?;
    Ok(match u.choose_index(3)? {
        0 => Action::Claims((0..claims).map(|_| some_claim(u)).collect::<Result<_>>()?),
        1 => Action::Settle(
            (0..claims)
                .map(|_| some_settlement(u))
                .collect::<Result<_>>()?,
        ),
        _ => {
            let base = state.current().0 + u.int_in_range(0..=2)?;
            let operator = u.choose(&["a", "b"])?;
            // Some levels are taken again, and so are some of the applies.
            let request = request(operator, base.saturating_sub(1), u.int_in_range(0..=3)?);
            match state.prepare(&request) {
                Prepared::Propose(action) => action,
                Prepared::Answered(_) => Action::Claims(Vec::new()),
            }
        }
    })
}

fn replicas_agree(u: &mut Unstructured<'_>) -> Result<()> {
    let mut plain = State::default();
    let mut through_snapshots = State::default();
    for index in 1..=COMMANDS as u64 {
        let command = Command {
            stamp: Stamp {
                unix_ms: u.int_in_range(0..=100_000)?,
                elapsed_ms: u.int_in_range(0..=4_000)?,
            },
            action: action(u, &plain)?,
        };
        let before = plain.current();
        let answer = plain.apply(index, &command);
        let sent = Command::decode(&command.encode()).expect("a whole command");
        assert_eq!(through_snapshots.apply(index, &sent), answer);
        if u.ratio(1, 3)? {
            through_snapshots = restored(&through_snapshots);
        }
        assert!(plain == through_snapshots);
        assert!(before <= plain.current());
    }
    assert_eq!(plain.encode(), through_snapshots.encode());
    let (previous, entries) = plain.trail().page(1, usize::MAX);
    assert_eq!(verify(previous, entries), Ok(plain.trail().head()));
    Ok(())
}

#[test]
fn a_snapshot_at_any_point_changes_nothing() {
    for index in 0..SEEDS {
        arbtest(replicas_agree).seed(ENTROPY_BYTES | index << 32);
    }
}
