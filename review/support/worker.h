#pragma once

#include "record.h"
#include "server.h"
#include "store.h"

#include <functional>
#include <string>

namespace review {

/// What a worker stand-in is.
struct worker_settings {
    std::string service;
    std::string zone;
    int slots = 6;
};

/// A worker: registers itself in the store and answers requests. It answers 421 to requests that
/// expect another instance.
class worker : public server {
public:
    worker(worker_settings settings, store& platform, record& log, std::string name);
    ~worker() override;

    /// Starts a boot under a new id; false if the port is taken.
    bool start();

    /// Ends without notice: refuses and resets connections. The entry stays until three check-in
    /// intervals have passed.
    void crash();

    /// Removes the entry without having reported `draining`; requests are still served.
    void leave_silently();

    /// Ends as planned: the entry has been removed before.
    void stop();

    [[nodiscard]] std::string id() const;
    [[nodiscard]] const std::string& name() const { return name_; }

protected:
    void serve(connection& peer) override;

    /// Answers `request`; false to close the connection.
    virtual bool answer(const message& request, connection& peer) = 0;

    /// Called before `answer` for each request, also one that expects another instance.
    virtual void before(const message& /*request*/, connection& /*peer*/) {}

    /// Called when `peer` has ended.
    virtual void ended(connection& /*peer*/) {}

    record& log_;

private:
    void serve_requests(connection& peer);
    void check_in();

    worker_settings settings_;
    store& platform_;
    std::string name_;
    mutable std::mutex id_mutex_;
    std::string id_;
    int boot_ = 0;
    int sequence_ = 0;
    std::atomic<bool> running_{false};
    std::atomic<bool> registered_{false};
    std::atomic<bool> ending_{false};
    steady::time_point last_check_in_;
    long long born_ = 0;
    std::thread beats_;
    std::string lapsing_; // Entry of the boot that crashed.
};

/// An answer of a worker to `request`, with the proof.
std::string worker_answer(const message& request, int status, const std::string& body,
                          const std::string& more = {});

/// The answer of a worker that did not run `request`.
std::string rejection(const message& request, int status, const std::string& more = {});

} // namespace review
