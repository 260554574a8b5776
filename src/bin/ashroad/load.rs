//! Subcommand `ashroad load`: sends requests at a fixed rate and prints latencies.

use ashroad::load::{self, LoadConfig, LoadReport};
use serde::Serialize;

use crate::{app::LoadArgs, error::Result, output};

/// Reports on the load sent through entry hosts (`through`) and on the same load sent directly to
/// the servers (`direct`, if addresses of servers are given). The ratios are latencies through the
/// hosts divided by direct latencies.
#[derive(Debug, Serialize)]
struct LoadComparison {
    direct: Option<LoadReport>,
    through: LoadReport,
    ratio_p50: Option<f64>,
    ratio_p99: Option<f64>,
}

/// Runs the load through the entry hosts. If addresses of servers are given, first runs the same
/// load directly against the servers.
pub async fn run(args: LoadArgs, json: bool) -> Result<()> {
    let through = LoadConfig {
        addresses: args.to,
        services: args.service,
        rate_per_s: args.rate_per_s,
        duration_ms: args.duration_ms,
        keys: args.keys,
        zipf_exponent: args.zipf_exponent,
        unrepeatable_share: args.unrepeatable_share,
        duplicate_share: args.duplicate_share,
        deadline_ms: args.deadline_ms,
        seed: args.seed,
    };
    let direct = LoadConfig {
        addresses: args.direct,
        ..through.clone()
    };
    let direct = match direct.addresses.is_empty() {
        true => None,
        false => Some(LoadReport::of(&load::run(direct).await)),
    };
    let through = LoadReport::of(&load::run(through).await);
    let ratio = |of: fn(&LoadReport) -> u64| {
        let direct = direct.as_ref()?;
        Some(of(&through) as f64 / of(direct).max(1) as f64)
    };
    let comparison = LoadComparison {
        ratio_p50: ratio(|report| report.latency.p50_us),
        ratio_p99: ratio(|report| report.latency.p99_us),
        direct,
        through,
    };
    if json {
        output::json(&comparison);
    } else {
        print(&comparison);
    }
    Ok(())
}

fn print(comparison: &LoadComparison) {
    if let Some(direct) = &comparison.direct {
        output::line(&format!("direct   {direct}"));
    }
    output::line(&format!("through  {}", comparison.through));
    if let (Some(p50), Some(p99)) = (comparison.ratio_p50, comparison.ratio_p99) {
        output::line(&format!("ratio    p50 {p50:.2}, p99 {p99:.2}"));
    }
}
