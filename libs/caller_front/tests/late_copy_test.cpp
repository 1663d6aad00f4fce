#include "attempt_listener.h"
#include "copying_endpoint.h"
#include "net.h"
#include "upstream_attempt.h"
#include "upstream_pool.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace ej::front {

namespace {

using std::chrono::seconds;

constexpr seconds long_time{20}; // Only bounds a hang.
const std::string id_field = "Id";
const std::string send_field = "Send"; // The number of a send, which its answer repeats.

/// One send of a request, and what the endpoint does with it.
struct drawn_send {
    std::string id; ///< Of the request; several sends may share it.
    int status = 200;
    std::vector<std::size_t> copies_before; ///< Earlier answers of the connection, sent again.
    bool copy_behind = false;               ///< The answer is sent twice.
    bool overlaps = false;                  ///< The next send begins before the answer.
};

drawn_send draw_send()
{
    return {*rc::gen::element<std::string>("a", "b", "c"), *rc::gen::element(200, 503),
            *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 4)),
            *rc::gen::weightedElement<bool>({{5, false}, {1, true}}), *rc::gen::arbitrary<bool>()};
}

/// Records which send's answer an attempt took for its own.
class recording_listener final : public attempt_listener {
public:
    [[nodiscard]] bool may_send(const upstream_attempt&) const override { return true; }
    [[nodiscard]] bool may_be_repeated() const override { return false; }
    void on_sent(upstream_attempt&) override {}
    void on_head(upstream_attempt& attempt) override
    {
        answer_of = attempt.answer().header(send_field);
    }
    void on_body(upstream_attempt&, std::string) override {}
    void on_complete(upstream_attempt&) override { over = true; }
    void on_end(upstream_attempt&, forwarding::attempt_end, const std::string&) override
    {
        over = true;
    }

    std::string answer_of;
    bool over = false;
};

std::string field_of(const std::string& message, const std::string& name)
{
    const auto begin = message.find("\r\n" + name + ": ") + name.size() + 4;
    return message.substr(begin, message.find("\r\n", begin) - begin);
}

std::string request_text(const std::string& id, std::size_t number)
{
    return absl::StrCat("GET / HTTP/1.1\r\n", id_field, ": ", id, "\r\n", send_field, ": ", number,
                        "\r\n\r\n");
}

std::string answer_to(const std::string& request, int status)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + id_field + ": " +
           field_of(request, id_field) + "\r\n" + send_field + ": " +
           field_of(request, send_field) + "\r\nContent-Length: 0\r\n\r\n";
}

/// What the endpoint writes for `request`, the send that `drawn` describes.
std::vector<std::string> texts_for(const drawn_send& drawn, const std::string& request,
                                   const std::vector<std::string>& earlier)
{
    std::vector<std::string> texts;
    for (const auto pick : drawn.copies_before) {
        if (!earlier.empty()) {
            texts.push_back(earlier[pick % earlier.size()]);
        }
    }
    texts.push_back(answer_to(request, drawn.status));
    if (drawn.copy_behind) {
        texts.push_back(texts.back());
    }
    return texts;
}

} // namespace

// TWICE, REFUSED: a late copy of a refusal was taken for the answer to the next send.
TEST_CASE("a copy of an answer is never taken for the answer to another send")
{
    const bool holds = rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 30);
        std::vector<drawn_send> sends;
        std::generate_n(std::back_inserter(sends), count, draw_send);
        asio::io_context lane;
        upstream_pool pool(lane);
        const copying_endpoint source(lane, [&](const std::string& request,
                                                const std::vector<std::string>& earlier) {
            return texts_for(sends[std::stoul(field_of(request, send_field))], request, earlier);
        });
        core::endpoint endpoint;
        endpoint.where = source.address();
        std::vector<std::shared_ptr<upstream_attempt>> attempts;
        std::vector<std::shared_ptr<recording_listener>> listeners;
        for (std::size_t number = 0; number < count; ++number) {
            const auto& drawn = sends[number];
            listeners.push_back(std::make_shared<recording_listener>());
            attempts.push_back(
                std::make_shared<upstream_attempt>(pool, endpoint, id_field, drawn.id));
            attempts.back()->start(
                listeners.back(),
                {request_text(drawn.id, number), std::make_shared<const std::string>()}, false,
                long_time);
            const auto all_over = [&] {
                return std::ranges::all_of(listeners, [](const auto& one) { return one->over; });
            };
            while (!drawn.overlaps && !all_over() && lane.run_one_for(long_time) > 0) {
            }
        }
        lane.run_for(
            std::chrono::milliseconds(1)); // Those that overlap the end are not waited for.
        for (std::size_t number = 0; number < count; ++number) {
            const auto& taken = listeners[number]->answer_of;
            RC_ASSERT(taken.empty() || taken == std::to_string(number));
        }
        std::ranges::for_each(attempts, [](const auto& one) { one->cancel(); });
    });
    CHECK(holds);
}

} // namespace ej::front
