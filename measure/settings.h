#pragma once

#include <core/work_class.h>

#include <array>
#include <chrono>
#include <vector>

namespace ej::measure {

inline constexpr std::size_t daemon_count = 8;
inline constexpr int engines = 20;
inline constexpr std::uint32_t engine_slots = 8;
inline constexpr double slowest_speed = 20;  // tokens per second of a slot
inline constexpr double fastest_speed = 200; // tokens per second of a slot
inline constexpr double work_sigma = 0.6;
inline constexpr double prefix_cost_fraction = 0.02;
inline constexpr std::chrono::milliseconds report_period{1'000};
inline constexpr std::chrono::milliseconds report_lag{200};
inline constexpr std::chrono::milliseconds list_lag{3'000};
inline constexpr std::chrono::milliseconds death_detection_delay{500};
inline constexpr std::chrono::milliseconds caller_retry_delay{1'000};
inline constexpr std::chrono::milliseconds daemon_restart_time{5'000};
inline constexpr std::chrono::seconds window_start{20};
inline constexpr std::chrono::seconds window_end{140};
inline constexpr std::chrono::seconds final_window{20};
inline constexpr std::chrono::seconds drain_time{90};
inline constexpr std::array<double, 10> workspace_fractions{0.3,  0.3,  0.05, 0.05, 0.05,
                                                            0.05, 0.05, 0.05, 0.05, 0.05};
inline constexpr std::size_t flooding_workspace = 9;

/// Mean tokens of a request of a class.
[[nodiscard]] constexpr double mean_work(std::size_t class_index)
{
    return class_index == 0 ? 400 : 8;
}

/// Relative size of a daemon's VM; its part of the requests is proportional to it.
[[nodiscard]] constexpr double daemon_size(std::size_t daemon)
{
    return daemon < daemon_count / 2 ? 1 : 2;
}

/// The two classes: long summaries and short lookups.
[[nodiscard]] const std::vector<core::work_class>& classes();

} // namespace ej::measure
