#include "request_ids.h"

#include <array>
#include <charconv>
#include <random>
#include <string>

namespace ej::runtime {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t max_digits = 16;

std::uint64_t random_number()
{
    std::random_device entropy;
    std::uniform_int_distribution<std::uint64_t> any;
    return any(entropy);
}

std::string hex(std::uint64_t number)
{
    std::array<char, max_digits> digits{};
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    return error == std::errc{} ? std::string(digits.data(), end) : std::string();
}

} // namespace

request_ids::request_ids() : incarnation_(hex(random_number())), seed_(random_number()) {}

core::request_id request_ids::next()
{
    return core::request_id(incarnation_.text() + "-" + hex(++count_));
}

// Splitmix64's increment: consecutive seeds differ in many bits.
std::uint64_t request_ids::next_seed()
{
    constexpr std::uint64_t increment = 0x9e3779b97f4a7c15;
    return seed_ + increment * ++seeds_;
}

} // namespace ej::runtime
