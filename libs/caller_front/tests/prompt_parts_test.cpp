#include "prompt_parts.h"
#include "request_head.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

namespace ej::front {

namespace {

using forwarding::prompt_part;
using forwarding::prompt_part_id;
using parts = std::vector<prompt_part>;

caller_request with_fields(std::vector<http::header> fields)
{
    caller_request made;
    made.message.headers = std::move(fields);
    return made;
}

parts parsed(const std::string& value)
{
    return prompt_parts_of(with_fields({{"EJ-Prompt-Parts", value}}), {});
}

std::string written(const parts& list)
{
    std::ostringstream text;
    for (const prompt_part& one : list) {
        text << (text.tellp() > 0 ? "," : "") << std::hex << one.id << std::dec << ':'
             << one.tokens;
    }
    return text.str();
}

std::string repeated(std::size_t count)
{
    return written(parts(count, prompt_part{prompt_part_id(7), 9}));
}

} // namespace

TEST_CASE("the parts of a prompt are read in the order of the field")
{
    CHECK(parsed("5c1e07a2:800,91bd3f06:410,E4402B7D:250") ==
          parts{{prompt_part_id(0x5c1e07a2), 800},
                {prompt_part_id(0x91bd3f06), 410},
                {prompt_part_id(0xe4402b7d), 250}});
    CHECK(parsed(" ffffffffffffffff:0 ,\t1:2 ") ==
          parts{{prompt_part_id(0xffffffffffffffff), 0}, {prompt_part_id(1), 2}});
}

TEST_CASE("a prompt whose parts are spread over several fields has the parts of all of them")
{
    const auto request =
        with_fields({{"EJ-Prompt-Parts", "a:1"}, {"X", "b:2"}, {"ej-prompt-parts", "c:3,d:4"}});
    CHECK(prompt_parts_of(request, {}) ==
          parts{{prompt_part_id(0xa), 1}, {prompt_part_id(0xc), 3}, {prompt_part_id(0xd), 4}});
}

TEST_CASE("a list of prompt parts that is absent, malformed or out of range has no parts")
{
    CHECK(prompt_parts_of(with_fields({{"X", "a:1"}}), {}).empty());
    for (const auto* const text : {"",
                                   " ",
                                   ",",
                                   "a",
                                   "a:",
                                   ":1",
                                   "a:1,",
                                   ",a:1",
                                   "a:1,,b:2",
                                   "a:1:2",
                                   "a:1;b:2",
                                   "a :1",
                                   "a: 1",
                                   "0xa:1",
                                   "-a:1",
                                   "+a:1",
                                   "a:-1",
                                   "a:+1",
                                   "a:1.5",
                                   "a:b",
                                   "g:1",
                                   "a:1,b",
                                   "10000000000000000:1",
                                   "a:18446744073709551616"}) {
        INFO(text);
        CHECK(parsed(text).empty());
    }
}

TEST_CASE("a list of prompt parts longer than the limit has no parts")
{
    CHECK(parsed(repeated(max_prompt_parts)).size() == max_prompt_parts);
    CHECK(parsed(repeated(max_prompt_parts + 1)).empty());
    const auto request = with_fields(
        {{"EJ-Prompt-Parts", repeated(max_prompt_parts)}, {"EJ-Prompt-Parts", repeated(1)}});
    CHECK(prompt_parts_of(request, {}).empty());
}

TEST_CASE("a list of prompt parts is unchanged after writing and parsing")
{
    const bool holds = rc::check([] {
        parts list;
        const auto count = *rc::gen::inRange<std::size_t>(1, max_prompt_parts + 1);
        while (list.size() < count) {
            list.push_back({prompt_part_id(*rc::gen::arbitrary<std::uint64_t>()),
                            *rc::gen::arbitrary<std::uint64_t>()});
        }
        RC_ASSERT(parsed(written(list)) == list);
    });
    CHECK(holds);
}

TEST_CASE("a field of any bytes yields a whole list of prompt parts or none")
{
    const bool holds = rc::check([] {
        auto text = *rc::gen::element<std::string>("", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        const auto bytes = *rc::gen::container<std::string>(rc::gen::oneOf(
            rc::gen::arbitrary<char>(), rc::gen::element(',', ':', ' ', '0', 'f', '\0')));
        text.insert(*rc::gen::inRange<std::size_t>(0, text.size() + 1), bytes);
        const auto list = parsed(text);
        const auto entries = static_cast<std::size_t>(std::ranges::count(text, ',')) + 1;
        const bool none_or_all = list.empty() || list.size() == entries;
        RC_ASSERT(none_or_all);
        RC_ASSERT(parsed(written(list)) == list);
    });
    CHECK(holds);
}

TEST_CASE("the list of prompt parts is forwarded unchanged, well-formed or not")
{
    for (const std::string text : {"5C1E07a2:0800, 91bd3f06:410", "no list", ",,:"}) {
        const auto sent = encode(with_fields({{"EJ-Prompt-Parts", text}}), {}, {});
        INFO(sent);
        CHECK(sent.find("\r\nEJ-Prompt-Parts: " + text + "\r\n") != std::string::npos);
    }
}

} // namespace ej::front
