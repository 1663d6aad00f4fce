#include <config_wire/object_codec.h>
#include <config_wire/peer_codec.h>
#include <config_wire/store_codec.h>

#include <config/apply.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

namespace ej::config_wire {

namespace {

config::change_log sample_log()
{
    const core::work_class dossier{core::class_id("dossier"),
                                   core::service_id("crew-model"),
                                   core::work_kind::generation,
                                   {.max_waiting = 7}};
    const config::workspace trawlers{core::workspace_id("trawlers"), 250'000};
    config::change_log log{core::revision(4), config::history_digest(1ULL << 63U), {}};
    log = append(log, {config::change_id("a"), {}, config::put_class{dossier}});
    log = append(log, {config::change_id("b"), {}, config::put_workspace{trawlers}});
    log = append(log,
                 {config::change_id("c"), core::revision(2), config::delete_class{dossier.name}});
    return append(log, {config::change_id("d"), {}, config::delete_workspace{trawlers.name}});
}

config::configuration sample_configuration()
{
    const auto log = sample_log();
    return apply(apply({}, log.changes.at(0)), log.changes.at(1));
}

} // namespace

TEST_CASE("the stored log and configuration round-trip")
{
    CHECK(parse_change_log(encode_change_log(sample_log())).value() == sample_log());
    CHECK(parse_configuration(encode_configuration(sample_configuration())).value() ==
          sample_configuration());
}

TEST_CASE("messages between daemons round-trip")
{
    const std::vector<config::peer_message> messages{
        config::revision_digest{core::revision(3), config::history_digest(9),
                                std::chrono::milliseconds(1500)},
        config::revision_digest{core::revision(3), config::history_digest(9), std::nullopt},
        config::change_request{core::revision(12), true}, sample_log(), sample_configuration()};
    for (const auto& message : messages) {
        CHECK(parse_peer_message(encode_peer_message(message)).value() == message);
    }
}

TEST_CASE("truncated messages are rejected, and changed bytes never crash the parsers")
{
    rc::prop("truncated or changed at any position", [] {
        std::string bytes = encode_peer_message(sample_log());
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        const auto byte = *rc::gen::arbitrary<char>();
        RC_ASSERT(!parse_peer_message(bytes.substr(0, at)).ok());
        bytes[at] = byte;
        (void)parse_peer_message(bytes);
        (void)parse_change_log(bytes);
    });
}

TEST_CASE("every fault of a class is reported with its place, and missing fields keep their values")
{
    const auto parsed =
        parse_class(R"({"kind":"batch","target":{"finish_ms":-1,"max_waiting":"x"}})", {});
    CHECK(parsed.status().message() ==
          "kind: must be generation, idempotent or non_idempotent\n"
          "target.finish_ms: must be a whole number from 0 to 86400000\n"
          "target.max_waiting: must be a whole number from 0 to 4294967295");
    const core::work_class before{core::class_id("a"),
                                  core::service_id("s"),
                                  core::work_kind::idempotent,
                                  {.max_waiting = 3}};
    core::work_class after = before;
    after.target.finish = std::chrono::milliseconds(5);
    CHECK(parse_class(R"({"target":{"finish_ms":5},"later":1})", before).value() == after);
}

} // namespace ej::config_wire
