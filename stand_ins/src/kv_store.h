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

/// Keys with compare-and-swap writes and one revision counter that never goes back. Thread-safe.
class kv_store {
public:
    [[nodiscard]] kv_version read(const std::string& key);

    /// The signal that is notified when `key` changes.
    [[nodiscard]] std::shared_ptr<change_signal> changed(const std::string& key);

    /// Writes `next` (its revision is set here) if the key's revision is `if_revision`.
    kv_write_result write(const std::string& key, kv_version next, std::uint64_t if_revision);

    /// Present keys that begin with `prefix`.
    [[nodiscard]] std::map<std::string, kv_version> list(const std::string& prefix);

    /// Removes the keys of an expired lease.
    void erase_lease(const std::string& lease);

    /// Restores the data as of `revision`; the revision counter is not reset.
    void rewind(std::uint64_t revision);

    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    concurrency::sharded<std::string, kv_entry> keys_;
    std::atomic<std::uint64_t> revision_ = 0;
};

} // namespace ej::stand_ins
