#pragma once

#include <membership/endpoint_record.h>
#include <membership/endpoint_settings.h>
#include <membership/leaving_endpoint.h>

#include <concurrency/sharded.h>
#include <core/endpoint_id.h>

#include <algorithm>
#include <concepts>
#include <iterator>
#include <optional>
#include <vector>

namespace ej::membership {

/// The endpoints known to this daemon, of all failure domains. Thread-safe. Updates return the
/// entries that changed, to be sent to other daemons.
class endpoint_directory {
public:
    explicit endpoint_directory(endpoint_settings settings = {});

    /// Merges entries received from another daemon.
    std::vector<endpoint_entry> merge_entries(const std::vector<endpoint_entry>& received,
                                              core::instant now);

    /// Applies the complete list of the platform.
    std::vector<endpoint_entry> list(const std::vector<listed_endpoint>& listed, core::instant now);

    /// Applies an endpoint's own report; ignored for an unknown endpoint.
    std::optional<endpoint_entry> report(const endpoint_report& answer, core::instant now);

    /// Marks incarnations that another failure domain reports as leaving; unknown ones are skipped.
    std::vector<endpoint_entry> mark_leaving(const std::vector<leaving_endpoint>& leaving,
                                             core::instant now);

    /// Records a failed connection to the endpoint.
    void fail(const core::endpoint_id& name, core::instant now);

    /// Removes the gone and superseded incarnations of endpoints unchanged for `forget_after`.
    void remove_expired(core::instant now);

    /// Endpoints that may get new work now, sorted by name.
    [[nodiscard]] std::vector<core::endpoint> usable(core::instant now);

    /// Present incarnations, sorted by name, including leaving ones.
    [[nodiscard]] std::vector<endpoint_entry> present();

    /// Every incarnation known, sorted.
    [[nodiscard]] std::vector<endpoint_entry> all();

    /// Every incarnation of the endpoints whose names `wanted` accepts, sorted.
    template <std::predicate<const core::endpoint_id&> Wanted>
    [[nodiscard]] std::vector<endpoint_entry> all_of(Wanted wanted)
    {
        std::vector<endpoint_entry> entries;
        records_.for_each_shard([&](const auto& records) {
            for (const auto& [name, record] : records) {
                if (wanted(name)) {
                    std::ranges::copy(record.incarnations(), std::back_inserter(entries));
                }
            }
        });
        std::ranges::sort(entries);
        return entries;
    }

    /// Calls `action(entry)` for each present incarnation, under a shard's lock and in no order.
    template <std::invocable<const endpoint_entry&> Action>
    void for_each_present(Action action)
    {
        records_.for_each_shard([&](const auto& records) {
            for (const auto& [name, record] : records) {
                if (const auto* entry = record.present()) {
                    action(*entry);
                }
            }
        });
    }

private:
    using record_map = concurrency::sharded<core::endpoint_id, endpoint_record>;

    std::vector<endpoint_entry> mark_others_unlisted(const std::vector<listed_endpoint>& listed,
                                                     core::instant now);

    endpoint_settings settings_;
    record_map records_;
};

} // namespace ej::membership
