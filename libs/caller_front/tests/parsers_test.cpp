#include "answer_parser.h"
#include "event_framer.h"
#include "peer_codec.h"
#include "request_head.h"
#include "request_reader.h"
#include "stored_suspect.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

namespace ej::front {

namespace {

/// Splits `text` into pieces of random lengths.
std::vector<std::string> pieces_of(const std::string& text)
{
    std::vector<std::string> pieces;
    for (std::size_t place = 0; place < text.size();) {
        const auto length =
            std::min<std::size_t>(*rc::gen::inRange<std::size_t>(1, 40), text.size() - place);
        pieces.push_back(text.substr(place, length));
        place += length;
    }
    return pieces;
}

constexpr unix_time written{1'700'000'000'000};

/// Deaths of each kind.
std::vector<suspects::request_death> suspect_deaths()
{
    using suspects::death_kind;
    return {{{core::endpoint_id("e-1"), core::incarnation_id("3")},
             death_kind::alone,
             std::chrono::seconds(70)},
            {{core::endpoint_id("e-1"), core::incarnation_id("4")},
             death_kind::shared,
             std::chrono::seconds(9)},
            {{core::endpoint_id("e-2"), core::incarnation_id("1")}, death_kind::after_output, {}}};
}

std::string suspect_text()
{
    return stored_suspect_text(suspect_deaths(), written);
}

/// `text` with a few bytes replaced, dropped or doubled.
std::string mutated(std::string text)
{
    const auto changes = *rc::gen::inRange(1, 5);
    for (int change = 0; change < changes && !text.empty(); ++change) {
        const auto place = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[place] = *rc::gen::element('\r', '\n', ' ', ':', '0', '\0', '\x80', 'a');
            break;
        case 1:
            text.erase(place, 1);
            break;
        case 2:
            text.insert(place, 1, text[place]);
            break;
        default:
            text.insert(place, *rc::gen::element<std::string>(
                                   "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n",
                                   "\r\n\r\n", "GET / HTTP/1.1\r\n", "0\r\n\r\n"));
        }
    }
    return text;
}

// Includes the preceding line break, since another field's name may end in this text.
constexpr std::string_view chunked_field = "\r\ntransfer-encoding:";

/// Parses all requests from a text given in `pieces`; the last one may be incomplete or faulty.
std::vector<caller_request> read_all(const std::vector<std::string>& pieces, bool& faulty)
{
    request_reader reader;
    reader.begin({});
    std::vector<caller_request> requests;
    faulty = false;
    const auto take = [&](const std::string& piece) {
        const auto room = reader.buffer().prepare(piece.size());
        std::copy(piece.begin(), piece.end(), static_cast<char*>(room.data()));
        reader.buffer().commit(piece.size());
        while (!faulty) {
            const auto progress = reader.advance();
            faulty = progress == request_reader::progress::faulty;
            if (progress != request_reader::progress::complete) {
                return;
            }
            requests.push_back(reader.take());
            reader.begin({});
        }
    };
    std::ranges::for_each(pieces, take);
    return requests;
}

} // namespace

TEST_CASE("parsing requests does not depend on how their bytes are split")
{
    const bool holds = rc::check([] {
        std::string text;
        const auto count = *rc::gen::inRange(1, 4);
        for (int number = 0; number < count; ++number) {
            text += *rc::gen::element<std::string>(
                "GET /a HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\n",
                "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
                "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n0\r\n\r\n");
        }
        bool faulty = false;
        const auto whole = read_all({text}, faulty);
        RC_ASSERT(!faulty && whole.size() == static_cast<std::size_t>(count));
        const auto cut = read_all(pieces_of(text), faulty);
        RC_ASSERT(!faulty && cut.size() == whole.size());
        for (std::size_t index = 0; index < whole.size(); ++index) {
            RC_ASSERT(cut[index].message == whole[index].message);
        }
    });
    CHECK(holds);
}

TEST_CASE("a mutated request is never accepted with both a length and chunks, nor forwarded with a "
          "second request in its body")
{
    const bool holds = rc::check([] {
        const std::string text = mutated(*rc::gen::element<std::string>(
            "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
            "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            "3\r\nabc\r\n0\r\n\r\n"));
        bool faulty = false;
        for (const auto& one : read_all(pieces_of(text), faulty)) {
            const auto chunked = one.message.header_value("Transfer-Encoding").has_value();
            const auto length = one.message.header_value("Content-Length");
            // RC_ASSERT evaluates both sides of an operator.
            if (length) {
                RC_ASSERT(!chunked);
                RC_ASSERT(std::stoull(*length) == one.message.body.size());
            }
            // The forwarded request has one header and exactly the body that was parsed.
            const auto sent = encode_head(one, one.message.body.size(), {}, {}) + one.message.body;
            const auto head_end = sent.find("\r\n\r\n");
            RC_ASSERT(sent.substr(head_end + 4) == one.message.body);
            auto head = sent.substr(0, head_end);
            std::ranges::transform(head, head.begin(), [](unsigned char character) {
                return static_cast<char>(std::tolower(character));
            });
            RC_ASSERT(head.find(chunked_field) == std::string::npos);
        }
    });
    CHECK(holds);
}

TEST_CASE(
    "parsing an answer does not depend on how its bytes are split, and terminates for mutated "
    "answers")
{
    const bool holds = rc::check([] {
        const auto original = *rc::gen::element<std::string>(
            "HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        const bool broken = *rc::gen::arbitrary<bool>();
        const auto text = broken ? mutated(original) : original;
        const auto run = [](const std::vector<std::string>& pieces) {
            answer_parser parser;
            std::string pending;
            std::string body;
            for (const auto& piece : pieces) {
                pending += piece;
                while (!pending.empty() && !parser.is_done()) {
                    error_code error;
                    const auto used = parser.consume(asio::buffer(pending), error);
                    pending.erase(0, used);
                    body += parser.take_body();
                    if (error) {
                        break;
                    }
                }
            }
            return std::pair(parser.is_done(), body);
        };
        const auto cut = run(pieces_of(text));
        const bool whole = cut.first && (cut.second == "hello" || cut.second == "abc");
        const bool as_expected = broken || whole;
        RC_ASSERT(as_expected);
    });
    CHECK(holds);
}

TEST_CASE("events split at random positions are reassembled exactly")
{
    const bool holds = rc::check([] {
        std::string text;
        std::vector<std::string> expected;
        const auto count = *rc::gen::inRange(0, 6);
        for (int number = 1; number <= count; ++number) {
            const std::string end = *rc::gen::element<std::string>("\n\n", "\r\n\r\n");
            const std::string line = end.substr(0, end.size() / 2);
            std::string event = "id: ";
            event += std::to_string(number);
            event += line;
            event += "data: x";
            event += end;
            expected.push_back(event);
            text += expected.back();
        }
        event_framer framer;
        std::vector<framed_event> events;
        for (const auto& piece : pieces_of(text + "id: 99\ndata: cut")) {
            std::ranges::move(framer.feed(piece), std::back_inserter(events));
        }
        RC_ASSERT(events.size() == expected.size());
        for (std::size_t index = 0; index < events.size(); ++index) {
            RC_ASSERT(events[index].text == expected[index]);
            RC_ASSERT(events[index].id == index + 1);
        }
        RC_ASSERT(framer.within_event());
    });
    CHECK(holds);
}

TEST_CASE("the entry of a suspect is unchanged after writing and reading, and ages by the time of "
          "day")
{
    CHECK(parse_stored_suspect(suspect_text(), written) == suspect_deaths());
    const auto later = parse_stored_suspect(suspect_text(), written + std::chrono::seconds(30));
    REQUIRE(later);
    CHECK(later->front().age == std::chrono::seconds(100));
    // The reader's clock is behind.
    const auto earlier = parse_stored_suspect(suspect_text(), written - std::chrono::seconds(30));
    REQUIRE(earlier);
    CHECK(earlier->back().age == core::duration::zero());
}

TEST_CASE("an odd entry of a suspect is rejected, and a long one is cut")
{
    const std::string odd =
        GENERATE("", "2", "1\n", "1\nalone 5 1", "1\nalone -5 1 e", "1\nodd 5 1 e",
                 "1\nalone 99999999999999999999 1 e", "1\nalone 5 1 e f");
    CHECK_FALSE(parse_stored_suspect(odd, written));
    const std::vector many(2 * max_stored_deaths, suspect_deaths().front());
    const auto read = parse_stored_suspect(stored_suspect_text(many, written), written);
    REQUIRE(read);
    CHECK(read->size() == max_stored_deaths);
    CHECK(rc::check(
        [] { static_cast<void>(parse_stored_suspect(mutated(suspect_text()), written)); }));
}

TEST_CASE("a message between daemons is unchanged after encoding and decoding, and a corrupted "
          "datagram is decoded or rejected without a crash")
{
    const peer_message message = GENERATE(
        peer_message(forwarding::load_message{core::vm_id("vm"),
                                              7,
                                              9,
                                              true,
                                              {{core::endpoint_id("x"), 3, 12'000, 18'000}},
                                              {{core::service_id("app"), 40, 2, 5}}}),
        peer_message(store_update{
            core::revision(4),
            core::revision(9),
            false,
            {{"a", std::nullopt, core::revision(5)}, {"b", "\xff any bytes", core::revision(9)}}}),
        peer_message(suspects::cleared_request{suspects::request_digest(7)}),
        peer_message(
            suspects::death_record{{core::endpoint_id("x"), core::incarnation_id("1")},
                                   {suspects::request_digest(5), suspects::request_digest(9)}}),
        peer_message(suspects::part_death{{core::endpoint_id("x"), core::incarnation_id("1")},
                                          core::failure_domain_id("z1"),
                                          {suspects::part_digest(5), suspects::part_digest(9)}}),
        peer_message(suspects::held_parts{
            {{suspects::part_digest(5), 2, std::chrono::seconds(3), std::chrono::seconds(4)}}}),
        peer_message(suspects::evidence_query()),
        peer_message(suspects::evidence_report{
            true,
            {{{{core::endpoint_id("x"), core::incarnation_id("1")},
               {suspects::request_digest(5)},
               {suspects::request_digest(6), suspects::request_digest(9)}},
              std::chrono::milliseconds(1'500)}}}),
        peer_message(suspects::cleared_parts{{suspects::part_digest(5)}}),
        peer_message(
            forwarding::leaving_notice{{{core::endpoint_id("x"), core::incarnation_id("1")},
                                        {core::endpoint_id("y"), core::incarnation_id("2")}}}));
    const auto bytes = encode(message);
    REQUIRE(decode_peer(bytes).ok());
    CHECK(*decode_peer(bytes) == message);
    const bool holds = rc::check([&] {
        auto changed = bytes;
        changed[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
            *rc::gen::arbitrary<std::uint8_t>();
        changed.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        const auto decoded = decode_peer(changed); // Does not crash.
        const bool refused = !decoded.ok() && !decoded.status().message().empty();
        const bool understood = decoded.ok();
        RC_ASSERT(refused != understood);
    });
    CHECK(holds);
}

TEST_CASE("a load message of a build that does not count memory is understood")
{
    using nlohmann::json;
    const auto bytes = json::to_cbor(
        json::array({4, "vm", 7, 9, true, json::array({json::array({"x", 3, 12'000})}),
                     json::array({json::array({"app", 40, 2})})}));
    const auto decoded = decode_peer(bytes);
    REQUIRE(decoded.ok());
    // The prompts that are not read yet are the least that its requests hold.
    CHECK(*decoded ==
          peer_message(forwarding::load_message{core::vm_id("vm"),
                                                7,
                                                9,
                                                true,
                                                {{core::endpoint_id("x"), 3, 12'000, 12'000}},
                                                {{core::service_id("app"), 40, 2, 0}}}));
}

} // namespace ej::front
