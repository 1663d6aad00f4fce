#pragma once

namespace ej::measure {

/// Measured costs; docs/CAPACITY.md states the run behind each.
struct slopes {
    double token_us = 57.8;        ///< Processor time to relay one token sent in its own line.
    double request_us = 170;       ///< Processor time of a short request on its own connection.
    double stream_kb = 17.9;       ///< Resident memory of an open stream.
    double delivered_kb = 32;      ///< Delivered text kept for a resume: 1,000 tokens of 32 bytes.
    double choice_us = 9.3 + 0.55; ///< A grant at 100,000 waiting and a choice of 10,000.
    double membership_bytes = 3'195;
    double membership_highest_bytes = 4'928;
    double config_bytes = 710;
    double watcher_bytes = 1'800;
    double apply_us = 339;
    double config_stored_bytes = 113'858;
    double writes_per_change = 1.17;
    double watchers_per_domain = 2;
    double watch_calls_per_second = 1.09;
    double list_readers_per_domain = 2;
    double list_interval_seconds = 800;
    double claims_per_second = 427;
};

} // namespace ej::measure
