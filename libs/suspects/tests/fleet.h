#pragma once

#include <suspects/owner.h>
#include <suspects/suspect_table.h>

#include <algorithm>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace ej::suspects {

/// Model of several daemons, each with its own table, that share endpoints. Messages between
/// daemons are delayed until delivered explicitly.
template <class Policy>
class fleet {
public:
    struct attempt {
        std::size_t daemon = 0;
        request_digest request;
        bool isolated = false;
    };

    static constexpr std::size_t daemons = 4;
    static constexpr std::size_t endpoints = 5;
    static constexpr request_digest poison_request{0};

    int deaths = 0;
    std::set<request_digest> refused;
    std::set<request_digest> finished;

    fleet()
    {
        for (std::size_t at = 0; at < daemons; ++at) {
            tables_.push_back(std::make_unique<suspect_table>(std::make_unique<Policy>()));
            members_.emplace_back("vm" + std::to_string(at));
        }
    }

    void send(request_digest request, std::size_t daemon, std::size_t endpoint)
    {
        const verdict how = tables_[daemon]->evaluate(request, {});
        if (how == verdict::refuse) {
            refused.insert(request);
            return;
        }
        if (how == verdict::isolate) {
            send_isolated(request);
            return;
        }
        if (!has_isolated(endpoint, daemon)) {
            running_[endpoint].push_back({daemon, request, false});
        }
    }

    /// Runs all requests of an endpoint. It dies if the poison request is among them or `dies` is
    /// set.
    void execute(std::size_t endpoint, bool dies = false)
    {
        const auto attempts = std::exchange(running_[endpoint], {});
        if (dies || std::ranges::count(attempts, poison_request, &attempt::request) > 0) {
            crash_endpoint(endpoint, attempts);
            return;
        }
        for (const attempt& one : attempts) {
            finished.insert(one.request);
            for (const auto& table : tables_) {
                table->clear(one.request);
            }
        }
    }

    /// Delivers all pending messages to one daemon, each twice.
    void deliver(std::size_t daemon)
    {
        for (const death_record& record : std::exchange(inbox_[daemon], {})) {
            tables_[daemon]->record_death(record, {});
            tables_[daemon]->record_death(record, {});
        }
    }

    [[nodiscard]] bool in_flight(request_digest request) const
    {
        return std::ranges::any_of(running_, [&](const auto& attempts) {
            return std::ranges::count(attempts, request, &attempt::request) > 0;
        });
    }

private:
    [[nodiscard]] bool has_isolated(std::size_t endpoint, std::size_t daemon) const
    {
        return std::ranges::any_of(running_[endpoint], [&](const attempt& one) {
            return one.isolated && one.daemon == daemon;
        });
    }

    // The owner evaluates the request again, because it may have evidence that the forwarding
    // daemon lacks.
    void send_isolated(request_digest request)
    {
        const auto name = owner(request, members_);
        const auto daemon =
            static_cast<std::size_t>(std::ranges::find(members_, *name) - members_.begin());
        const auto empty =
            std::ranges::find_if(running_, [](const auto& at) { return at.empty(); });
        if (tables_[daemon]->evaluate(request, {}) == verdict::refuse) {
            refused.insert(request);
        }
        else if (empty != running_.end() && tables_[daemon]->begin_isolated(request)) {
            empty->push_back({daemon, request, true});
        }
    }

    void crash_endpoint(std::size_t endpoint, const std::vector<attempt>& attempts)
    {
        const death_id death{core::endpoint_id(std::to_string(endpoint)),
                             core::incarnation_id(std::to_string(++deaths))};
        for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
            std::set<request_digest> own;
            for (const attempt& one : attempts) {
                if (one.daemon == daemon) {
                    own.insert(one.request);
                }
            }
            if (!own.empty()) {
                share(daemon, {death, {own.begin(), own.end()}});
            }
        }
        for (const attempt& one : attempts) {
            if (one.isolated) {
                tables_[one.daemon]->end_isolated(one.request);
            }
        }
    }

    void share(std::size_t from, const death_record& reported)
    {
        tables_[from]->record_death(reported, {});
        for (std::size_t to = 0; to < daemons; ++to) {
            if (to != from) {
                inbox_[to].push_back(reported);
            }
        }
    }

    std::vector<std::unique_ptr<suspect_table>> tables_;
    std::vector<core::vm_id> members_;
    std::array<std::vector<attempt>, endpoints> running_;
    std::array<std::vector<death_record>, daemons> inbox_;
};

} // namespace ej::suspects
