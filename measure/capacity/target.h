#pragma once

namespace ej::measure {

/// The load and limits that the system must support.
struct target {
    double daemons = 1'200;
    double workers = 10'000;
    double failure_domains = 32;
    double requests_per_second = 89'000;
    double tokens_per_second = 19e6;
    double seconds_between_tokens = 0.049;
    double workspaces = 2'000;
    double models = 4;
    double changes_per_day = 28'000;
    double control_core_percent = 4.9;
    double control_megabytes = 256;
    double control_bytes_per_second = 6'000;
    double platform_writes_per_second = 300; ///< "Several hundred".
    double platform_reads_per_second = 2'000;
};

} // namespace ej::measure
