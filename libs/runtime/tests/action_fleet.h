#pragma once

#include "action_runner.h"

#include <http/server.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ej::runtime {

/// An in-memory claim store that can fail calls or lose the answers to writes.
class memory_claim_store final : public claim_store {
public:
    boost::asio::awaitable<actions::bucket_writer_event>
    read(actions::bucket_number bucket) override;
    boost::asio::awaitable<actions::bucket_writer_event> write(actions::bucket_number bucket,
                                                               actions::claim_bucket value,
                                                               core::revision expected) override;

    std::atomic<bool> outage{false};
    std::atomic<int> lose_answers{0}; ///< The next writes that take effect but report a failure.

private:
    std::mutex mutex_;
    std::map<actions::bucket_number, std::pair<actions::claim_bucket, core::revision>> values_;
};

/// The action runners of two daemons, with a shared application and claim store, in one process.
class action_fleet {
public:
    action_fleet();
    ~action_fleet();
    action_fleet(const action_fleet&) = delete;
    action_fleet& operator=(const action_fleet&) = delete;
    action_fleet(action_fleet&&) = delete;
    action_fleet& operator=(action_fleet&&) = delete;

    /// Starts a request with `key` at the daemon with index `daemon`.
    std::future<http::response> run(std::size_t daemon, const std::string& key,
                                    const std::string& body = "{}");

    /// Issues a ticket at `daemon`.
    std::string ticket(std::size_t daemon);

    std::shared_ptr<memory_claim_store> store = std::make_shared<memory_claim_store>();
    std::atomic<int> executions{0};
    std::atomic<int> refuse{0}; ///< The next requests that the application answers with Not-Run.
    std::atomic<bool> break_answers{
        false}; ///< The application runs requests but aborts its response.
    std::atomic<bool> peers_cut{false};

private:
    class in_process_forwarder;
    struct member;

    boost::asio::awaitable<void> serve(std::shared_ptr<http::exchange> call);

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<http::server> application_;
    std::vector<std::unique_ptr<member>> members_;
    std::vector<std::thread> threads_;
};

} // namespace ej::runtime
