#include "store_follower.h"

#include "clock.h"

#include <http/pause_for.h>

#include <logging/log.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::milliseconds;

// Between two tries while the store does not answer; doubled up to the longest, so that a store
// that comes back under load is not met by all daemons at once.
constexpr milliseconds first_pause{100};
constexpr milliseconds longest_pause{800};

// Between two questions for changes, as a share of the time within which they are to be in force:
// the rest is for the answer of a slow store. Entries change several times a second, so that
// waiting in the store would only mean more calls.
constexpr double interval_share = 0.6;

} // namespace

store_follower::store_follower(front_context& context, platform::store& store,
                               const store_layout& layout)
    : context_(context), store_(store), layout_(layout),
      interval_(
          std::chrono::duration_cast<milliseconds>(interval_share * context.settings.apply_within))
{
}

asio::awaitable<void> store_follower::run()
{
    core::duration pause = first_pause;
    for (;;) {
        absl::Status status;
        if (listed_) {
            status = co_await follow();
        }
        else {
            status = co_await list();
        }
        note_answer(status);
        publish();
        if (status.ok()) {
            pause = first_pause;
            co_await http::pause_for(interval_);
        }
        else if (status.code() != absl::StatusCode::kOutOfRange) {
            co_await http::pause_for(pause);
            pause = std::min<core::duration>(2 * pause, longest_pause);
        }
    }
}

asio::awaitable<absl::Status> store_follower::list()
{
    std::string prefix = layout_.followed_prefix();
    const auto listing = co_await store_.scan(std::move(prefix));
    if (!listing.ok()) {
        co_return listing.status();
    }
    std::set<core::endpoint_id> present;
    daemons_.clear();
    peers_changed_ = true;
    for (const platform::store_item& item : listing->items) {
        apply(item);
        if (auto name = layout_.endpoint_of(item.key)) {
            present.insert(*std::move(name));
        }
    }
    log_.answered(now());
    log_.retain(present, listing->as_of, now());
    as_of_ = listing->as_of;
    listed_ = changed_ = true;
    co_return absl::OkStatus();
}

asio::awaitable<absl::Status> store_follower::follow()
{
    std::string prefix = layout_.followed_prefix();
    const auto changes = co_await store_.follow(std::move(prefix), as_of_, interval_);
    if (!changes.ok()) {
        // The store has dropped this part of its history: everything is listed again.
        listed_ = changes.status().code() != absl::StatusCode::kOutOfRange;
        co_return changes.status();
    }
    log_.answered(now());
    std::ranges::for_each(changes->items, [this](const auto& item) { apply(item); });
    as_of_ = std::max(as_of_, changes->as_of);
    co_return absl::OkStatus();
}

void store_follower::apply(const platform::store_item& item)
{
    if (item.key == layout_.rules_key()) {
        if (item.value) {
            apply_rules(*item.value);
        }
    }
    else if (const auto name = layout_.endpoint_of(item.key)) {
        apply_endpoint(*name, item);
    }
    else if (item.key.starts_with(layout_.daemons_prefix())) {
        apply_daemon(item);
    }
}

void store_follower::apply_daemon(const platform::store_item& item)
{
    const bool own = item.key == layout_.daemons_prefix() + context_.settings.vm.text();
    const auto where = item.value && !own ? core::parse_address(*item.value) : std::nullopt;
    if (where) {
        daemons_[item.key] = *where;
    }
    else {
        daemons_.erase(item.key);
    }
    peers_changed_ = true;
}

void store_follower::apply_rules(const std::string& value)
{
    core::findings faults;
    auto rules = layout_.parse_rules(value, faults);
    for (const core::finding& fault : faults.list()) {
        context_.metrics.count("configuration_faults_total", {});
        logging::log(logging::level::warn, "configuration fault",
                     {{"place", fault.place}, {"fault", fault.message}});
    }
    if (!rules.ok()) {
        context_.metrics.count("configuration_faults_total", {});
        logging::log(logging::level::warn, "configuration left out",
                     {{"error", std::string(rules.status().message())}});
        return;
    }
    const auto known = *context_.rules.load();
    if (known != nullptr && rules->version <= known->rules().version) {
        return;
    }
    const auto version = rules->version;
    const auto routes = rules->routes.size();
    context_.rules.store(std::make_shared<const forwarding::rulebook>(*std::move(rules)));
    context_.metrics.set("configuration_version", {}, double(version.value()));
    logging::log(
        logging::level::info, "configuration in force",
        {{"version", std::to_string(version.value())},
         {"before", known == nullptr ? "none" : std::to_string(known->rules().version.value())},
         {"routes", std::to_string(routes)}});
}

void store_follower::apply_endpoint(const core::endpoint_id& name, const platform::store_item& item)
{
    if (!item.value) {
        if (log_.remove(name, item.revision, now())) {
            changed_ = true;
            logging::log(
                logging::level::info, "endpoint gone",
                {{"endpoint", name.text()}, {"revision", std::to_string(item.revision.value())}});
        }
        return;
    }
    auto record = layout_.parse_endpoint(name, *item.value);
    if (!record.ok()) {
        context_.metrics.count("endpoint_faults_total", {});
        logging::log(
            logging::level::warn, "endpoint entry left out",
            {{"endpoint", name.text()}, {"error", std::string(record.status().message())}});
        changed_ = log_.put(name, std::nullopt, item.revision) || changed_;
        return;
    }
    const bool leaving = record->leaving;
    const auto address = core::to_string(record->what.where);
    if (log_.put(name, *std::move(record), item.revision)) {
        changed_ = true;
        logging::log(logging::level::info, "endpoint known",
                     {{"endpoint", name.text()},
                      {"address", address},
                      {"state", leaving ? "leaving" : "ready"},
                      {"revision", std::to_string(item.revision.value())}});
    }
}

void store_follower::note_answer(const absl::Status& status)
{
    // A dropped history is an answer too.
    const bool lost = !status.ok() && status.code() != absl::StatusCode::kOutOfRange;
    if (lost) {
        log_.outage();
    }
    if (std::exchange(away_, lost) == lost) {
        return;
    }
    context_.metrics.set("store_away", {}, lost ? 1 : 0);
    logging::log(
        lost ? logging::level::warn : logging::level::info, lost ? "store lost" : "store regained",
        {{"error", std::string(status.message())}, {"as_of", std::to_string(as_of_.value())}});
}

void store_follower::publish()
{
    if (std::exchange(peers_changed_, false)) {
        std::vector<core::address> peers;
        std::ranges::transform(daemons_, std::back_inserter(peers),
                               [](const auto& one) { return one.second; });
        context_.daemons = peers.size() + 1;
        context_.peers.store(std::move(peers));
    }
    changed_ = log_.expire(now()) || changed_;
    if (!std::exchange(changed_, false)) {
        return;
    }
    auto fleet = log_.current();
    context_.metrics.set("endpoints", {}, double(fleet.size()));
    context_.endpoints.store(std::move(fleet));
}

} // namespace ej::front
