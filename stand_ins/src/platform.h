#pragma once

#include <utility>

#include "call_counts.h"
#include "fault_control.h"
#include "kv_store.h"
#include "lease_table.h"
#include "options.h"
#include "service.h"
#include "vm_list.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>

namespace ej::stand_ins {

/// The platform's key-value service and VM list, in memory.
class platform final : public service {
public:
    platform(const boost::asio::any_io_executor& executor, const options& settings,
             const std::string& incarnation, std::shared_ptr<fault_control> control);

    boost::asio::awaitable<answer> handle(exchange& call) override;
    [[nodiscard]] nlohmann::json stats() override;
    void apply_faults(const nlohmann::json& body) override;

private:
    boost::asio::awaitable<answer> read_key(exchange& call);
    boost::asio::awaitable<answer> watch_key(exchange& call, std::string key);
    boost::asio::awaitable<answer> write_key(exchange& call);
    boost::asio::awaitable<answer> erase_key(exchange& call);
    boost::asio::awaitable<answer> list_keys(exchange& call);
    boost::asio::awaitable<answer> grant_lease(exchange& call);
    boost::asio::awaitable<answer> renew_lease(exchange& call);
    boost::asio::awaitable<answer> list_vms(exchange& call);
    boost::asio::awaitable<answer> put_vm(exchange& call);
    boost::asio::awaitable<answer> erase_vm(exchange& call);

    boost::asio::awaitable<answer> swap(exchange& call, kv_version next);
    [[nodiscard]] answer reply_write(exchange& call, http_reply reply);
    boost::asio::awaitable<void> expire(std::string lease);

    boost::asio::any_io_executor executor_;
    options settings_;
    std::shared_ptr<fault_control> control_;
    kv_store store_;
    lease_table leases_;
    vm_list vms_;
    call_counts calls_;
};

} // namespace ej::stand_ins
