#include "lane.h"

#include <utility>

namespace ej::front {

lane::lane(front_context& context)
    : context_(context), work_(asio::make_work_guard(loop_)), pool_(loop_),
      waiting_(context, loop_), callers_(std::make_shared<caller_table>(context, loop_))
{
}

lane::~lane()
{
    stop();
}

void lane::stop()
{
    loop_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void lane::run()
{
    thread_ = std::thread([this] { loop_.run(); });
}

void lane::serve(tcp::socket socket)
{
    // The socket is already bound to this lane's loop: the listener accepted it for that loop.
    auto connection =
        std::make_shared<caller_connection>(std::move(socket), context_, pool_, waiting_, callers_);
    asio::post(loop_, [connection = std::move(connection)] { connection->start(); });
}

void lane::close_idle()
{
    for_each_caller(&caller_connection::close_if_idle);
}

void lane::review_calls()
{
    for_each_caller(&caller_connection::review_call);
}

void lane::end_calls()
{
    for_each_caller(&caller_connection::end_call);
}

void lane::for_each_caller(void (caller_connection::*action)())
{
    asio::post(loop_, [this, action] { callers_->for_each(action); });
}

} // namespace ej::front
