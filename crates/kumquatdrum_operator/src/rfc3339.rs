//! Parses and formats RFC 3339 timestamps, such as `2026-12-02T21:30:00Z`.

const DAY_MS: i64 = 86_400_000;
const HOUR_MS: i64 = 3_600_000;
const MINUTE_MS: i64 = 60_000;
const SECOND_MS: i64 = 1_000;

/// Parses a timestamp with `Z` or an offset to milliseconds since the Unix epoch. Digits beyond
/// milliseconds are ignored.
///
/// ```
/// use kumquatdrum_operator::rfc3339;
/// assert_eq!(rfc3339::parse("1970-01-02T00:00:01.5Z"), Some(86_401_500));
/// assert_eq!(rfc3339::parse("1970-01-01T02:00:00+02:00"), Some(0));
/// assert_eq!(rfc3339::parse("yesterday"), None);
/// ```
pub fn parse(text: &str) -> Option<u64> {
    let (date, time) = text.split_once(['T', 't', ' '])?;
    let days = parse_date(date)?;
    let zone = time.find(['Z', 'z', '+', '-'])?;
    let (time, zone) = time.split_at(zone);
    let unix_ms = days * DAY_MS + parse_time(time)? - parse_zone(zone)?;
    u64::try_from(unix_ms).ok()
}

/// Formats milliseconds since the Unix epoch as a timestamp in UTC.
///
/// ```
/// use kumquatdrum_operator::rfc3339;
/// assert_eq!(rfc3339::format(1_796_250_600_007), "2026-12-02T22:30:00.007Z");
/// ```
pub fn format(unix_ms: u64) -> String {
    // RFC 3339 cannot represent years beyond 9999.
    let unix_ms = i64::try_from(unix_ms)
        .unwrap_or(i64::MAX)
        .min(253_402_300_799_999);
    let (year, month, day) = civil_from_days(unix_ms.div_euclid(DAY_MS));
    let rest = unix_ms.rem_euclid(DAY_MS);
    let (hour, rest) = (rest / HOUR_MS, rest % HOUR_MS);
    let (minute, rest) = (rest / MINUTE_MS, rest % MINUTE_MS);
    let (second, milli) = (rest / SECOND_MS, rest % SECOND_MS);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

fn parse_date(text: &str) -> Option<i64> {
    let [year, month, day] = parse_numbers(text, '-', [4, 2, 2])?;
    let days = days_from_civil(year, month, day);
    // The conversion back yields a different date if the month does not have this day.
    let is_valid = (1..=12).contains(&month) && civil_from_days(days) == (year, month, day);
    is_valid.then_some(days)
}

fn parse_time(text: &str) -> Option<i64> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let [hour, minute, second] = parse_numbers(whole, ':', [2, 2, 2])?;
    let is_fraction_valid =
        !fraction.is_empty() && fraction.bytes().all(|byte| byte.is_ascii_digit());
    if hour > 23 || minute > 59 || second > 59 || !is_fraction_valid {
        return None;
    }
    let millis: i64 = format!("{fraction:0<3}")[..3].parse().ok()?;
    Some(hour * HOUR_MS + minute * MINUTE_MS + second * SECOND_MS + millis)
}

fn parse_zone(text: &str) -> Option<i64> {
    if text.eq_ignore_ascii_case("z") {
        return Some(0);
    }
    let sign = if text.starts_with('-') { -1 } else { 1 };
    let [hours, minutes] = parse_numbers(&text[1..], ':', [2, 2])?;
    (hours < 24 && minutes < 60).then_some(sign * (hours * HOUR_MS + minutes * MINUTE_MS))
}

/// Parses numbers of fixed widths between separators.
fn parse_numbers<const N: usize>(
    text: &str,
    separator: char,
    widths: [usize; N],
) -> Option<[i64; N]> {
    let mut parts = text.split(separator);
    let mut numbers = [0; N];
    for (number, width) in numbers.iter_mut().zip(widths) {
        let part = parts.next()?;
        if part.len() != width || !part.bytes().all(|byte| byte.is_ascii_digit()) {
            return None;
        }
        *number = part.parse().ok()?;
    }
    parts.next().is_none().then_some(numbers)
}

/// Returns the days since the Unix epoch of a Gregorian date. Years are counted from 1 March, so
/// that the leap day is the last day of a year.
fn days_from_civil(year: i64, month: i64, day: i64) -> i64 {
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    365 * year + leap_days + (153 * month + 2) / 5 + day - 1 - 719_468
}

/// Returns the Gregorian year, month and day of a number of days since the Unix epoch.
fn civil_from_days(days: i64) -> (i64, i64, i64) {
    let days = days + 719_468;
    let era = days.div_euclid(146_097);
    let day_of_era = days.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let year = year_of_era + era * 400;
    if month < 10 {
        (year, month + 3, day)
    } else {
        (year + 1, month - 9, day)
    }
}
