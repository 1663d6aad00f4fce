#pragma once

#include <utility>

#include "call_counts.h"
#include "engine_assignment.h"
#include "fault_control.h"
#include "generation_table.h"
#include "options.h"
#include "prefix_cache.h"
#include "service.h"
#include "slot_pool.h"

#include <concurrency/snapshot.h>

#include <boost/asio/any_io_executor.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace ej::stand_ins {

/// A model engine whose text depends on the prompt only.
class engine final : public service {
public:
    engine(const boost::asio::any_io_executor& executor, const options& settings,
           std::string incarnation, std::shared_ptr<fault_control> control);

    boost::asio::awaitable<answer> handle(exchange& call) override;
    [[nodiscard]] nlohmann::json stats() override;
    void apply_faults(const nlohmann::json& body) override;

private:
    boost::asio::awaitable<answer> generate(exchange& call);
    boost::asio::awaitable<answer> attach(exchange& call);
    boost::asio::awaitable<answer> describe(exchange& call);
    boost::asio::awaitable<answer> cancel(exchange& call);
    boost::asio::awaitable<answer> load(exchange& call);
    boost::asio::awaitable<answer> cache_events(exchange& call);
    boost::asio::awaitable<answer> apply_order(exchange& call);

    boost::asio::awaitable<void> stream(exchange& call, std::shared_ptr<generation> running,
                                        std::uint64_t offset);
    boost::asio::awaitable<void> stream_lines(exchange& call, generation& running,
                                              std::uint64_t offset);
    boost::asio::awaitable<void> run(std::shared_ptr<generation> running);
    boost::asio::awaitable<void> produce(generation& running);

    boost::asio::any_io_executor executor_;
    options settings_;
    std::string incarnation_;
    std::shared_ptr<fault_control> control_;
    slot_pool slots_;
    generation_table generations_;
    prefix_cache cache_;
    concurrency::snapshot<engine_assignment> assignment_;
    call_counts counts_;
    std::atomic<std::uint64_t> tokens_generated_ = 0;
};

} // namespace ej::stand_ins
