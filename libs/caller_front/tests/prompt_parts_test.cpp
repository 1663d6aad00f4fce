#include "prompt_parts.h"
#include "request_head.h"
#include "shared_parts.h"

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

prompt_part_list listed(const std::string& value)
{
    return prompt_parts_of(with_fields({{"EJ-Prompt-Parts", value}}), {});
}

parts parsed(const std::string& value)
{
    return listed(value).parts;
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
    CHECK(prompt_parts_of(request, {}).parts ==
          parts{{prompt_part_id(0xa), 1}, {prompt_part_id(0xc), 3}, {prompt_part_id(0xd), 4}});
}

TEST_CASE("a request without a list of prompt parts, or with an empty one, has no parts")
{
    CHECK(prompt_parts_of(with_fields({{"X", "a:1"}}), {}) == prompt_part_list());
    for (const auto* const text : {"", " ", ",", " , ,"}) {
        INFO(text);
        CHECK(listed(text) == prompt_part_list());
    }
}

TEST_CASE("an entry of a list of prompt parts that is malformed or out of range is left out and "
          "counted")
{
    const prompt_part first{prompt_part_id(0xf), 8};
    const prompt_part last{prompt_part_id(0xe), 9};
    for (const auto* const text :
         {"a", "a:", ":1", "a:1:2", "a:1;b:2", "a :1", "a: 1", "0xa:1", "-a:1", "+a:1", "a:-1",
          "a:+1", "a:1.5", "a:b", "g:1", "10000000000000000:1", "a:18446744073709551616"}) {
        INFO(text);
        const std::string odd(text);
        CHECK(listed(odd) == prompt_part_list{{}, 1, true});
        CHECK(listed(odd + ",f:8,e:9") == prompt_part_list{{first, last}, 1, false});
        CHECK(listed("f:8," + odd + ",e:9") == prompt_part_list{{first, last}, 1, false});
        CHECK(listed("f:8,e:9," + odd) == prompt_part_list{{first, last}, 1, true});
    }
}

TEST_CASE("empty elements of a list of prompt parts are ignored")
{
    const prompt_part only{prompt_part_id(0xa), 1};
    CHECK(listed("a:1,") == prompt_part_list{{only}, 0, false});
    CHECK(listed(",a:1") == prompt_part_list{{only}, 0, false});
    CHECK(listed("a:1, ,a:1") == prompt_part_list{{only, only}, 0, false});
}

TEST_CASE("of a list of prompt parts longer than the limit, the first ones are read")
{
    const prompt_part one{prompt_part_id(7), 9};
    const parts full(max_prompt_parts, one);
    CHECK(listed(repeated(max_prompt_parts)) == prompt_part_list{full, 0, false});
    CHECK(listed(repeated(max_prompt_parts + 1)) == prompt_part_list{full, 1, true});
    const auto request = with_fields(
        {{"EJ-Prompt-Parts", repeated(max_prompt_parts)}, {"EJ-Prompt-Parts", repeated(3)}});
    CHECK(prompt_parts_of(request, {}) == prompt_part_list{full, 3, true});
}

TEST_CASE("the shared parts of a prompt are those that were read, without its last one")
{
    using digests = std::vector<suspects::part_digest>;
    const digests both{suspects::part_digest(0xa), suspects::part_digest(0xb)};
    CHECK(shared_parts_of(listed("b:1,a:2,b:3,c:4")) == both);
    CHECK(shared_parts_of(listed("b:1,a:2,?")) == both);
    CHECK(shared_parts_of(listed("b:1,?,a:2,c:4")) == both);
    CHECK(shared_parts_of(listed(repeated(max_prompt_parts + 2))) ==
          digests{suspects::part_digest(7)});
    CHECK(shared_parts_of(listed("c:4")).empty());
    CHECK(shared_parts_of(listed("")).empty());
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

TEST_CASE("of a field of any bytes, each entry is either read as a prompt part or counted")
{
    const bool holds = rc::check([] {
        auto text = *rc::gen::element<std::string>("", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
        const auto bytes = *rc::gen::container<std::string>(rc::gen::oneOf(
            rc::gen::arbitrary<char>(), rc::gen::element(',', ':', ' ', '0', 'f', '\0')));
        text.insert(*rc::gen::inRange<std::size_t>(0, text.size() + 1), bytes);
        const auto found = listed(text);
        std::istringstream entries(text);
        std::size_t filled = 0;
        std::size_t readable = 0;
        for (std::string entry; std::getline(entries, entry, ',');) {
            filled += entry.find_first_not_of(" \t") == std::string::npos ? 0 : 1;
            readable += listed(entry).parts.size();
        }
        RC_ASSERT(found.parts.size() == std::min(readable, max_prompt_parts));
        RC_ASSERT(found.parts.size() + found.unread == filled);
        RC_ASSERT(parsed(written(found.parts)) == found.parts);
    });
    CHECK(holds);
}

TEST_CASE("the list of prompt parts is forwarded unchanged, well-formed or not")
{
    for (const std::string text : {"5C1E07a2:0800, 91bd3f06:410", "no list", ",,:"}) {
        const auto sent = encode_head(with_fields({{"EJ-Prompt-Parts", text}}), 0, {}, {});
        INFO(sent);
        CHECK(sent.find("\r\nEJ-Prompt-Parts: " + text + "\r\n") != std::string::npos);
    }
}

} // namespace ej::front
