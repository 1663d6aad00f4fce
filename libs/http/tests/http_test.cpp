#include <utility>

#include <http/client.h>
#include <http/line_stream.h>
#include <http/pause_for.h>
#include <http/server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <future>
#include <thread>
#include <vector>

namespace ej::http {

namespace asio = boost::asio;

namespace {

constexpr int io_threads = 3;

/// Threads that run a server and its clients for one test.
class loop {
public:
    loop() : work_(asio::make_work_guard(context_))
    {
        threads_.reserve(io_threads);
        for (int i = 0; i < io_threads; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }
    ~loop()
    {
        context_.stop();
        for (auto& thread : threads_) {
            thread.join();
        }
    }
    loop(const loop&) = delete;
    loop& operator=(const loop&) = delete;
    loop(loop&&) = delete;
    loop& operator=(loop&&) = delete;

    asio::any_io_executor executor() { return executor_; }

    template <class T>
    T wait(asio::awaitable<T> task)
    {
        return asio::co_spawn(context_, std::move(task), asio::use_future).get();
    }

private:
    asio::io_context context_;
    asio::any_io_executor executor_{context_.get_executor()};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;
};

asio::awaitable<void> echo(std::shared_ptr<exchange> call)
{
    response answer{200, {}, call->received().body};
    co_await call->respond(std::move(answer));
}

asio::awaitable<void> three_lines(std::shared_ptr<exchange> call)
{
    std::vector<header> headers;
    co_await call->start_stream(headers);
    co_await call->write("one\ntw");
    co_await call->write("o\nthree\n");
    co_await call->finish();
}

std::unique_ptr<server> start(loop& io, server::handler handle, server_options options = {})
{
    auto started = server::start(io.executor(), {"127.0.0.1", 0}, options, std::move(handle));
    REQUIRE(started.ok());
    return std::move(started).value();
}

} // namespace

TEST_CASE("successive calls over one connection each get their own answer")
{
    loop io;
    const auto service = start(io, echo);
    client calls(io.executor());
    for (const auto* body : {"first", "", "third"}) {
        auto answer = io.wait(calls.fetch(service->local(), {"POST", "/", {}, body}, {}));
        INFO(answer.status());
        REQUIRE(answer.ok());
        CHECK(answer->body == body);
    }
}

TEST_CASE("a call to a closed port fails with Unavailable")
{
    loop io;
    auto service = start(io, echo);
    const auto where = service->local();
    service.reset();
    client calls(io.executor());
    absl::StatusOr<response> answer = absl::UnknownError("not called");
    do { // The port closes shortly after stop_accepting returns.
        answer = io.wait(calls.fetch(where, {"POST", "/", {}, "x"}, {.reuse_connection = false}));
    } while (answer.ok() || absl::IsAborted(answer.status()));
    CHECK(absl::IsUnavailable(answer.status()));
}

TEST_CASE("a body above the size limit is refused with 413")
{
    loop io;
    const auto service = start(io, echo, {.max_body_bytes = 8});
    client calls(io.executor());
    auto answer = io.wait(calls.fetch(service->local(), {"POST", "/", {}, "123456789"}, {}));
    INFO(answer.status());
    REQUIRE(answer.ok());
    CHECK(answer->status == 413);
}

TEST_CASE("an answer above the size limit is an error although its header and body arrive together")
{
    loop io;
    const auto service = start(io, echo);
    client calls(io.executor());
    call_options options;
    options.max_body_bytes = 8;
    const auto answer_of = [&](const std::string& body) {
        return io.wait(calls.fetch(service->local(), {"POST", "/", {}, body}, options));
    };
    CHECK(answer_of("12345678").ok());
    CHECK(absl::IsResourceExhausted(answer_of("123456789").status()));
    CHECK(absl::IsResourceExhausted(answer_of(std::string(500'000, 'x')).status()));
    CHECK(answer_of("12345678").ok());
}

TEST_CASE("a body that stops is an error after the longest silence, one that goes on is not")
{
    loop io;
    const auto service = start(io, [](std::shared_ptr<exchange> call) -> asio::awaitable<void> {
        const bool stops = call->received().body == "stop";
        std::vector<header> headers;
        co_await call->start_stream(headers);
        for (int part = 0; part < 10; ++part) {
            co_await call->write("part,");
            co_await pause_for(std::chrono::milliseconds(20));
        }
        if (!stops) {
            co_await call->finish();
            co_return;
        }
        co_await pause_for(std::chrono::hours(1));
    });
    client calls(io.executor());
    call_options options;
    options.deadline = std::chrono::seconds(5); // For the header.
    options.pace = body_pace{std::chrono::seconds(1), 1};
    const auto answer_of = [&](const std::string& body) {
        return io.wait(calls.fetch(service->local(), {"POST", "/", {}, body}, options));
    };
    const auto whole = answer_of("go on");
    REQUIRE(whole.ok());
    CHECK(whole->body.size() == 50);
    options.pace->silence = std::chrono::milliseconds(300);
    CHECK(absl::IsDeadlineExceeded(answer_of("stop").status()));
}

TEST_CASE("lines that arrive in pieces are returned whole, then the end of the stream")
{
    loop io;
    const auto service = start(io, three_lines);
    auto stream = io.wait(line_stream::open(service->local(), {}, {}));
    INFO(stream.status());
    REQUIRE(stream.ok());
    for (const auto* expected : {"one", "two", "three"}) {
        auto line = io.wait((*stream)->next_line(std::chrono::seconds(5)));
        REQUIRE(line.ok());
        CHECK(line->value() == expected);
    }
    auto end = io.wait((*stream)->next_line(std::chrono::seconds(5)));
    REQUIRE(end.ok());
    CHECK(!end->has_value());
}

TEST_CASE("a disconnect during a streamed answer is detected without a write")
{
    loop io;
    const auto left = std::make_shared<std::promise<void>>();
    const auto service = start(io, [left](std::shared_ptr<exchange> call) -> asio::awaitable<void> {
        std::vector<header> headers;
        co_await call->start_stream(headers);
        asio::steady_timer until_gone(co_await asio::this_coro::executor,
                                      asio::steady_timer::time_point::max());
        call->on_disconnect([&until_gone] { until_gone.cancel(); });
        boost::system::error_code error;
        co_await until_gone.async_wait(asio::redirect_error(asio::use_awaitable, error));
        left->set_value();
    });
    auto stream = io.wait(line_stream::open(service->local(), {}, {}));
    INFO(stream.status());
    REQUIRE(stream.ok());
    (*stream)->close();
    left->get_future().wait();
    SUCCEED("on_disconnect was called");
}

} // namespace ej::http
