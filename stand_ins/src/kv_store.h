#pragma once

#include "kv_entry.h"
#include "kv_write_result.h"

#include <concurrency/sharded.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace ej::stand_ins {

/// Keys with compare-and-swap under one revision counter that never repeats. Thread-safe.
class kv_store {
public:
    [[nodiscard]] kv_version read(const std::string& key);

    /// Signal that moves when `key` changes.
    [[nodiscard]] std::shared_ptr<change_signal> changed(const std::string& key);

    /// Writes `next` (its revision is set here) if the key's revision is `if_revision`.
    kv_write_result write(const std::string& key, kv_version next, std::uint64_t if_revision);

    /// Present keys that begin with `prefix`.
    [[nodiscard]] std::map<std::string, kv_version> list(const std::string& prefix);

    /// Removes the keys of a lapsed lease.
    void erase_lease(const std::string& lease);

    /// Goes back to the data of `revision`; the counter does not go back.
    void rewind(std::uint64_t revision);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    concurrency::sharded<std::string, kv_entry> keys_;
    std::atomic<std::uint64_t> revision_ = 0;
};

} // namespace ej::stand_ins
