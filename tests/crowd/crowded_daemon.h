#pragma once

#include "daemon_fixture.h"
#include "process_log.h"

#include <fleet/endpoint_stand_in.h>
#include <harness/child_process.h>

#include <core/address.h>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace ej::crowd_tests {

/// A `forward` process with little memory, few connections for callers and one endpoint. Its
/// configuration allows bodies of up to `max_body_bytes`.
class crowded_daemon {
public:
    static constexpr std::size_t max_body_bytes = 1'000'000;
    static constexpr std::size_t memory_mb = 64; ///< Of its VM.
    static constexpr std::size_t max_callers = 128;

    crowded_daemon();
    ~crowded_daemon();
    crowded_daemon(const crowded_daemon&) = delete;
    crowded_daemon& operator=(const crowded_daemon&) = delete;
    crowded_daemon(crowded_daemon&&) = delete;
    crowded_daemon& operator=(crowded_daemon&&) = delete;

    [[nodiscard]] core::address callers() const { return log_.address("callers"); }
    [[nodiscard]] core::address ready() const { return log_.address("ready"); }

    [[nodiscard]] bool running() { return !process_->ended(); }

    /// Waits until the process has handled what it received: it uses no processor time, or 60 s
    /// have passed.
    void wait_until_quiet() const;

    /// The most memory that the process has had, in kB.
    [[nodiscard]] std::size_t peak_memory_kb() const;

    [[nodiscard]] std::size_t open_descriptors() const;

    /// The answer to one request with a body of `bytes`.
    [[nodiscard]] std::string answer_to_request(std::size_t bytes) const;

    /// The answer of the health check.
    [[nodiscard]] std::string health() const;

    /// Ends the process; returns its exit code.
    int stop();

private:
    void configure();
    [[nodiscard]] std::uint64_t processor_ticks() const;

    forward_tests::daemon_fixture fixture_; // For its store; its own daemon is not started.
    fleet::endpoint_stand_in app_;
    process_tests::process_log log_;
    std::filesystem::path settings_;
    std::unique_ptr<harness::child_process> process_;
};

} // namespace ej::crowd_tests
