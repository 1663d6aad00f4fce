#include <config_wire/peer_codec.h>
#include <config_wire/store_codec.h>

#include <config/apply.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <iostream>

namespace ej::config_wire {

namespace {

config::configuration with_workspaces(std::size_t count)
{
    config::configuration::workspace_map workspaces;
    for (std::size_t i = 0; i < count; ++i) {
        const core::workspace_id name("workspace-" + std::to_string(i));
        workspaces[name] = {{name, 500}, core::revision(i + 1)};
    }
    return {core::revision(count), config::history_digest(1ULL << 63U), {}, workspaces};
}

config::change_log log_of(std::size_t changes)
{
    config::change_log log;
    for (std::size_t i = 0; i < changes; ++i) {
        const std::string number = std::to_string(i);
        const core::work_class value{core::class_id("class-" + number),
                                     core::service_id("model"),
                                     core::work_kind::generation,
                                     {}};
        log = append(log, {config::change_id("operator-1234567890-" + number), core::revision(i),
                           config::put_class{value}});
    }
    return log;
}

template <class Action>
double microseconds(std::size_t rounds, const Action& action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < rounds; ++i) {
        action(i);
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - begin;
    return spent.count() / static_cast<double>(rounds);
}

} // namespace

TEST_CASE("encoded size and CPU time by size of the configuration", "[.cost]")
{
    for (const std::size_t changes : {1U, 12U, 24U}) {
        std::cout << "log of " << changes
                  << " changes: " << encode_change_log(log_of(changes)).size() << " bytes stored, "
                  << encode_peer_message(log_of(changes)).size() << " bytes to a peer\n";
    }
    std::cout << "digest: "
              << encode_peer_message(config::revision_digest{core::revision(28'000),
                                                             config::history_digest(1ULL << 63U),
                                                             std::chrono::milliseconds(1500)})
                     .size()
              << " bytes to a peer\n";
    for (const std::size_t count : {10U, 100U, 1'000U, 2'000U}) {
        const config::configuration before = with_workspaces(count);
        const std::string text = encode_configuration(before);
        const config::action what = config::put_workspace{{core::workspace_id("workspace-1"), 1}};
        std::cout << count << " workspaces: " << text.size() << " bytes stored; apply a change "
                  << microseconds(200,
                                  [&](std::size_t i) {
                                      (void)apply(
                                          before,
                                          {core::revision(count + 1),
                                           {config::change_id(std::to_string(i)), {}, what}});
                                  })
                  << " us; read the snapshot "
                  << microseconds(5, [&](std::size_t) { (void)parse_configuration(text); })
                  << " us\n";
    }
    std::cout << "read a log of 24 changes "
              << microseconds(200, [text = encode_change_log(log_of(24))](
                                       std::size_t) { (void)parse_change_log(text); })
              << " us\n";
    SUCCEED();
}

} // namespace ej::config_wire
