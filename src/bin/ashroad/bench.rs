//! Subcommand `ashroad bench`: runs a measurement and prints its figures.

use ashroad::{
    bench::{control, planner, policy},
    logging,
};
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    app::{BenchArgs, BenchKind},
    error::{DemoSnafu, Result},
    output,
};

/// Runs the selected measurement and prints its figures as a table, or as JSON.
pub async fn run(args: BenchArgs, json: bool) -> Result<()> {
    logging::start(log::LevelFilter::Error);
    match args.kind {
        BenchKind::Policy => print_policy(&policy::run(), json),
        BenchKind::Planner => print_planner(&planner::run(), json),
        BenchKind::Control { hosts } => {
            let mut figures = Vec::new();
            for hosts in hosts {
                figures.push(control::run(hosts).await.context(DemoSnafu)?);
            }
            print_control(&figures, json);
        }
    }
    Ok(())
}

fn print<T: Serialize>(figures: &[T], json: bool, header: &str, row: impl Fn(&T) -> String) {
    if json {
        output::json(&figures);
        return;
    }
    output::line(header);
    for figure in figures {
        output::line(&row(figure));
    }
}

fn print_policy(figures: &[policy::PolicyFigures], json: bool) {
    let header = "day                policy              imbalance  over 1.25  churn/h  x least  \
                  unavailable s/1000 keys";
    print(figures, json, header, |f| {
        let ratio = f.churn_ratio.map_or("-".to_owned(), |r| format!("{r:.2}"));
        format!(
            "{:<18} {:<19} {:>9.3} {:>9.1}% {:>7.3}% {:>8} {:>12.2}",
            format!("{:?}", f.event),
            f.policy,
            f.imbalance_mean,
            f.imbalanced_share * 100.0,
            f.churn_per_h * 100.0,
            ratio,
            f.unavailable_s
        )
    });
}

fn print_planner(figures: &[planner::SizeFigures], json: bool) {
    let header =
        "slots    servers  place ms  loss ms  idle ms  state B/slot  snapshot B/slot  apply ms";
    print(figures, json, header, |f| {
        format!(
            "{:<8} {:<8} {:>8.1} {:>8.1} {:>8.1} {:>13.1} {:>16.1} {:>9.2}",
            f.slots,
            f.servers,
            f.place_ms,
            f.loss_ms,
            f.idle_ms,
            f.state_bytes_per_slot,
            f.snapshot_bytes_per_slot,
            f.apply_ms
        )
    });
}

fn print_control(figures: &[control::ControlFigures], json: bool) {
    let header = "hosts  counted  sent B/s  core share  memory MB  store reads/s  transactions/s";
    print(figures, json, header, |f| {
        format!(
            "{:<6} {:<7} {:>9.0} {:>10.2}% {:>10.2} {:>14.1} {:>15.1}",
            f.hosts,
            f.counted,
            f.sent_bytes_per_s,
            f.core_share * 100.0,
            f.resident_bytes / 1e6,
            f.reads_per_s,
            f.transactions_per_s
        )
    });
}
