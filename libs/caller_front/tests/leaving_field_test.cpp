#include "leaving_field.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace ej::front {

namespace {

bool said(const std::vector<http::header>& fields)
{
    return says_leaving(fields, "Leaving");
}

} // namespace

TEST_CASE("an answer with a field of value 1 or true says that its endpoint leaves")
{
    const auto* const value = GENERATE("1", "true", "TRUE", " 1 ", "1,1", "0, 1", "no,true");
    INFO(value);
    CHECK(said({{"Leaving", value}}));
    CHECK(said({{"leaving", value}}));
    CHECK(said({{"Other", "2"}, {"LEAVING", "0"}, {"Leaving", value}}));
}

TEST_CASE("an answer with another value, or without the field, does not say that its endpoint "
          "leaves")
{
    const auto* const value = GENERATE("", " ", ",", "0", "false", "no", "2", "10", "-1", "1.0",
                                       "1 0", "1;q=0", "trueish", "\xff");
    INFO(value);
    CHECK_FALSE(said({{"Leaving", value}}));
    CHECK_FALSE(said({{"Leaving", value}, {"Leaving", value}}));
    CHECK_FALSE(said({{"Not-Leaving", "1"}, {"Leavin", "1"}, {"Leaving2", "1"}}));
    CHECK_FALSE(said({}));
}

} // namespace ej::front
