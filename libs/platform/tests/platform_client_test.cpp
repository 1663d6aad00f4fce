#include <utility>

#include <platform/client.h>

#include <http/server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace ej::platform {

namespace asio = boost::asio;

namespace {

http::response reply(unsigned status, std::string body = {})
{
    http::response answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

http::response answer_to(const http::request& asked)
{
    const std::string& target = asked.target;
    if (target.starts_with("/kv/same?after=7&wait_ms=20")) {
        return reply(304);
    }
    if (target == "/kv/there") {
        return reply(200, R"({"value":"v","revision":7,"later":true})");
    }
    if (target == "/kv/there?if_revision=7&lease=L" && asked.body == "next") {
        return reply(200, R"({"revision":8})");
    }
    if (target == "/kv/there?if_revision=1") {
        return reply(409, R"({"revision":7})");
    }
    if (target == "/kv/broken" || target == "/vms") {
        return reply(200, R"({"vms":[{"vm":3}]})");
    }
    return reply(target.starts_with("/kv/down") ? 503 : 404, R"({"revision":9})");
}

/// A platform that answers from a fixed table, and a client that calls it.
class fixture {
public:
    fixture()
        : server_(http::server::start(pool_.get_executor(), {"127.0.0.1", 0}, {}, &handle).value()),
          transport_(pool_.get_executor()), calls(transport_, {server_->local()})
    {
    }
    ~fixture()
    {
        pool_.stop();
        pool_.join();
    }
    fixture(const fixture&) = delete;
    fixture& operator=(const fixture&) = delete;
    fixture(fixture&&) = delete;
    fixture& operator=(fixture&&) = delete;

    template <class T>
    T wait(asio::awaitable<T> task)
    {
        return asio::co_spawn(pool_, std::move(task), asio::use_future).get();
    }

private:
    static asio::awaitable<void> handle(std::shared_ptr<http::exchange> call)
    {
        // For keys that begin with "lost" no answer is sent, as if it were lost after the write.
        if (!call->received().target.starts_with("/kv/lost")) {
            http::response answer = answer_to(call->received());
            (void)co_await call->respond(std::move(answer));
        }
    }

    asio::thread_pool pool_{2};
    std::unique_ptr<http::server> server_;
    http::client transport_;

public:
    client calls;
};

} // namespace

TEST_CASE("the client parses the platform's answers and counts failed calls")
{
    fixture platform;
    CHECK(platform.wait(platform.calls.read("there")).value() == kv_entry{"v", core::revision(7)});
    CHECK(platform.wait(platform.calls.read("absent")).value() == kv_entry{});
    CHECK(platform.wait(platform.calls.read("down")).status().code() ==
          absl::StatusCode::kInternal);
    CHECK(platform.wait(platform.calls.read("broken")).status().code() ==
          absl::StatusCode::kInternal);
    CHECK(platform.wait(platform.calls.vms()).status().code() == absl::StatusCode::kInternal);
    CHECK(platform
              .wait(platform.calls.watch("same", core::revision(7), std::chrono::milliseconds(20)))
              .value() == std::nullopt);
    CHECK(platform.calls.counts().begun(call_kind::read) == 4);
    CHECK(platform.calls.counts().failed(call_kind::read) == 1);
}

TEST_CASE("a write without a usable answer is unknown, with one it is applied or a conflict")
{
    fixture platform;
    const auto write = [&](const char* key, std::uint64_t revision, const char* lease) {
        return platform.wait(platform.calls.compare_and_swap(key, "next", core::revision(revision),
                                                             lease_id(lease)));
    };
    CHECK(write("there", 7, "L") == cas_result{cas_outcome::applied, core::revision(8)});
    CHECK(write("there", 1, "") == cas_result{cas_outcome::conflict, core::revision(7)});
    CHECK(write("gone", 1, "lapsed").outcome == cas_outcome::conflict);
    CHECK(write("down", 1, "").outcome == cas_outcome::unknown);
    CHECK(write("lost", 1, "").outcome == cas_outcome::unknown);
    CHECK(platform.calls.counts().failed(call_kind::write) == 2);
}

} // namespace ej::platform
