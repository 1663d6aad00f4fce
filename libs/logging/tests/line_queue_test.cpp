#include "line_queue.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace ej::logging {

namespace {

struct pipe_ends {
    pipe_ends() { REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0); }
    ~pipe_ends()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;
    pipe_ends(pipe_ends&&) = delete;
    pipe_ends& operator=(pipe_ends&&) = delete;

    std::array<int, 2> ends{};
};

std::string read_all(int descriptor)
{
    std::string text;
    std::vector<char> part(65'536);
    for (auto count = ::read(descriptor, part.data(), part.size()); count > 0;
         count = ::read(descriptor, part.data(), part.size())) {
        text.append(part.data(), static_cast<std::size_t>(count));
    }
    return text;
}

constexpr std::size_t part_bytes = 16'384;

/// Reads until the end, some bytes at a time with pauses, and counts them.
void read_slowly(int descriptor, std::atomic<std::size_t>& total)
{
    std::vector<char> part(part_bytes);
    for (auto count = ::read(descriptor, part.data(), part.size()); count > 0;
         count = ::read(descriptor, part.data(), part.size())) {
        total += static_cast<std::size_t>(count);
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
}

} // namespace

TEST_CASE("lines are written whole and in order")
{
    pipe_ends pipe;
    {
        line_queue lines(pipe.ends[1]);
        for (int number = 0; number < 100; ++number) {
            lines.push("line " + std::to_string(number) + "\n");
        }
    }
    ::close(std::exchange(pipe.ends[1], ::dup(pipe.ends[0])));
    std::string expected;
    for (int number = 0; number < 100; ++number) {
        expected += "line " + std::to_string(number) + "\n";
    }
    CHECK(read_all(pipe.ends[0]) == expected);
}

TEST_CASE("the last lines are written although their reader is slow")
{
    pipe_ends pipe;
    const std::string line(1'000, 'x');
    constexpr int count = 500; // Many times the size of a pipe.
    constexpr std::size_t pipe_bytes = 65'536;
    std::atomic<std::size_t> read{0};
    auto reader = std::async(std::launch::async, [&] { read_slowly(pipe.ends[0], read); });
    {
        line_queue lines(pipe.ends[1]);
        for (int number = 0; number < count; ++number) {
            lines.push(line + "\n");
        }
    }
    // The process may end now: the rest is in the pipe or was just taken from it.
    CHECK(read + pipe_bytes + part_bytes >= count * (line.size() + 1));
    ::close(std::exchange(pipe.ends[1], ::dup(pipe.ends[0])));
    reader.get();
    CHECK(read == count * (line.size() + 1));
}

TEST_CASE("a reader that does not read does not delay the writer, and dropped lines are counted")
{
    // Both ends stay open: the queue's thread may be blocked in a write until the process ends.
    std::array<int, 2> pipe{};
    REQUIRE(::pipe2(pipe.data(), O_CLOEXEC) == 0);
    auto lines = std::make_unique<line_queue>(pipe[1]);
    const std::string line(1'000, 'x');
    auto slowest = std::chrono::steady_clock::duration::zero();
    for (int number = 0; number < 10'000; ++number) {
        const auto began = std::chrono::steady_clock::now();
        lines->push(line + "\n");
        slowest = std::max(slowest, std::chrono::steady_clock::now() - began);
    }
    CHECK(lines->dropped() > 0);
    // If `push` waited for the reader, it would never return.
    CHECK(slowest < std::chrono::seconds(5));
    lines.reset();
}

} // namespace ej::logging
