#pragma once

#include <config/stored_change_log.h>
#include <config/stored_snapshot.h>
#include <config/write_answered.h>
#include <config/write_change_log.h>
#include <config/write_snapshot.h>

#include <vector>

namespace ej::config {

/// Model of the platform's service, with a list of all changes that it committed.
class store_model {
public:
    struct state {
        stored_change_log log;
        stored_snapshot base;
    };

    write_answered write(const write_change_log& wanted);
    write_answered write(const write_snapshot& wanted);
    void rewind(std::size_t changes);

    [[nodiscard]] const stored_change_log& log() const { return current_.log; }
    [[nodiscard]] const stored_snapshot& base() const { return current_.base; }
    /// Every change ever committed, in order: the reference for the configuration's history.
    [[nodiscard]] const std::vector<change>& committed() const { return committed_; }

private:
    void record(const change_log& log);

    state current_;
    std::vector<state> past_;
    std::uint64_t counter_ = 0;
    std::vector<change> committed_;
};

/// Reference implementation of the configuration after the first `count` changes: applies them one
/// by one to plain maps.
[[nodiscard]] configuration fold(const std::vector<change>& changes, std::size_t count);

} // namespace ej::config
