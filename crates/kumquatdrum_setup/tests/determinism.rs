//! Random commands lead all replicas to the same state, also after a restore from a snapshot.

mod support;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use kumquatdrum_setup::audit::verify;
use kumquatdrum_setup::{
    Action, AttemptStatus, Claim, Command, Preparation, Settlement, Stamp, StateMachine,
};
use support::{claim, request, restored, settlement};

const SEED_COUNT: u64 = 200;
const ENTROPY_BYTES: u64 = 2_048;
const COMMAND_COUNT: usize = 40;

const STATUSES: [AttemptStatus; 4] = [
    AttemptStatus::Running,
    AttemptStatus::Finished,
    AttemptStatus::NotRun,
    AttemptStatus::Unknown,
];

fn random_claim(u: &mut Unstructured<'_>) -> Result<Claim> {
    let key = u.choose(&["k1", "k2", "k3"])?;
    let host = u.choose(&["h1", "h2"])?;
    let attempt = u.choose(&["1", "2", "3", "4"])?;
    Ok(claim(key, host, attempt))
}

fn random_settlement(u: &mut Unstructured<'_>) -> Result<Settlement> {
    let claim = random_claim(u)?;
    let by = u.choose(&["h1", "h2"])?;
    Ok(settlement(&claim, by, *u.choose(&STATUSES)?))
}

fn random_action(u: &mut Unstructured<'_>, state: &StateMachine) -> Result<Action> {
    let count = u.int_in_range(0..=3)?;
    Ok(match u.choose_index(3)? {
        0 => Action::Claims((0..count).map(|_| random_claim(u)).collect::<Result<_>>()?),
        1 => Action::Settle(
            (0..count)
                .map(|_| random_settlement(u))
                .collect::<Result<_>>()?,
        ),
        _ => {
            let base = state.current_version().0 + u.int_in_range(0..=2)?;
            let operator = u.choose(&["a", "b"])?;
            // The ranges are small, so that some applies are resends.
            let request = request(operator, base.saturating_sub(1), u.int_in_range(0..=3)?);
            match state.prepare(&request) {
                Preparation::Propose(action) => action,
                Preparation::Answered(_) => Action::Claims(Vec::new()),
            }
        }
    })
}

fn check_replicas_agree(u: &mut Unstructured<'_>) -> Result<()> {
    let mut state = StateMachine::default();
    let mut restored_state = StateMachine::default();
    for index in 1..=COMMAND_COUNT as u64 {
        let command = Command {
            stamp: Stamp {
                unix_ms: u.int_in_range(0..=100_000)?,
                elapsed_ms: u.int_in_range(0..=4_000)?,
            },
            action: random_action(u, &state)?,
        };
        let before = state.current_version();
        let answer = state.apply(index, &command);
        let sent = Command::decode(&command.encode()).expect("the command can be decoded");
        assert_eq!(restored_state.apply(index, &sent), answer);
        if u.ratio(1, 3)? {
            restored_state = restored(&restored_state);
        }
        assert!(state == restored_state);
        assert!(before <= state.current_version());
    }
    assert_eq!(state.encode(), restored_state.encode());
    let (previous, entries) = state.trail().page(1, usize::MAX);
    assert_eq!(verify(previous, entries), Ok(state.trail().head()));
    Ok(())
}

#[test]
fn a_snapshot_at_any_point_has_no_effect_on_the_state() {
    for index in 0..SEED_COUNT {
        arbtest(check_replicas_agree).seed(ENTROPY_BYTES | index << 32);
    }
}
