#include "engine_model.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <utility>

namespace ej::measure {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

// The platform's data sheet.
constexpr milliseconds step_time{5.05};
constexpr milliseconds step_time_per_request{0.0164};
constexpr milliseconds read_time_per_token{0.2};
constexpr std::uint64_t chunk_tokens = 125;

} // namespace

engine_model::engine_model(event_queue& events, double slowness, callback on_event, callback on_end)
    : events_(events), slowness_(slowness), on_event_(std::move(on_event)),
      on_end_(std::move(on_end))
{
}

void engine_model::submit(const engine_job& added)
{
    waiting_.push_back(added);
    if (!std::exchange(stepping_, true)) {
        begin_step();
    }
}

void engine_model::cancel(std::uint64_t id)
{
    std::erase_if(running_, [&](const engine_job& one) { return one.id == id; });
    std::erase_if(waiting_, [&](const engine_job& one) { return one.id == id; });
}

std::vector<engine_job> engine_model::crash()
{
    auto lost = std::exchange(running_, {});
    std::ranges::copy(std::exchange(waiting_, {}), std::back_inserter(lost));
    copies_.clear();
    ++run_;
    stepping_ = false;
    up_ = false;
    return lost;
}

std::uint64_t engine_model::held() const
{
    const auto running =
        std::transform_reduce(running_.begin(), running_.end(), std::uint64_t{0}, std::plus<>(),
                              [](const engine_job& one) { return one.tokens(); });
    return std::transform_reduce(copies_.begin(), copies_.end(), running, std::plus<>(),
                                 [](const auto& one) { return one.second; });
}

void engine_model::admit()
{
    while (!waiting_.empty() && running_.size() < slots &&
           held() + waiting_.front().tokens() <= memory_tokens) {
        running_.push_back(waiting_.front());
        waiting_.pop_front();
    }
}

void engine_model::begin_step()
{
    admit();
    if (running_.empty() && waiting_.empty()) {
        stepping_ = false;
        return;
    }
    const auto reader =
        std::ranges::find_if(running_, [](const engine_job& one) { return one.unread > 0; });
    const auto chunk =
        reader == running_.end() ? 0 : std::min<std::uint64_t>(chunk_tokens, reader->unread);
    const auto took = slowness_ * (step_time + double(running_.size()) * step_time_per_request +
                                   double(chunk) * read_time_per_token);
    events_.schedule_after(std::chrono::duration_cast<core::duration>(took),
                           [this, chunk, run = run_] {
                               if (run == run_) {
                                   end_step(chunk);
                               }
                           });
}

void engine_model::end_step(std::uint64_t chunk)
{
    std::vector<std::uint64_t> spoke;
    std::vector<std::uint64_t> ended;
    for (engine_job& one : running_) {
        if (one.unread > 0) {
            one.unread -= std::min(std::exchange(chunk, 0), one.unread);
            continue;
        }
        ++one.produced;
        if (one.produced % tokens_per_event == 1) {
            spoke.push_back(one.id);
        }
        if (one.produced >= one.output) {
            ended.push_back(one.id);
        }
    }
    std::erase_if(running_, [](const engine_job& one) { return one.produced >= one.output; });
    preempt();
    std::ranges::for_each(spoke, on_event_);
    std::ranges::for_each(ended, on_end_);
    begin_step();
}

void engine_model::preempt()
{
    while (held() > memory_tokens && running_.size() > 1) {
        auto newest = running_.back();
        running_.pop_back();
        read_again_ += newest.tokens() - newest.unread;
        newest.unread = newest.tokens();
        waiting_.push_front(newest);
    }
}

} // namespace ej::measure
