#include "asio.h"

#include "platform_claim_store.h"

#include <actions_wire/claim_bucket_codec.h>

#include <array>
#include <string>
#include <utility>

namespace ej::runtime {

namespace {

using actions::bucket_writer_event_kind;

std::string key_of(actions::bucket_number bucket)
{
    return "claims/" + std::to_string(bucket.value());
}

actions::bucket_writer_event event_of(bucket_writer_event_kind kind, core::revision revision = {})
{
    actions::bucket_writer_event event;
    event.kind = kind;
    event.revision = revision;
    return event;
}

} // namespace

asio::awaitable<actions::bucket_writer_event>
platform_claim_store::read(actions::bucket_number bucket)
{
    auto key = key_of(bucket);
    const auto entry = co_await platform_->read(std::move(key));
    if (!entry.ok()) {
        co_return event_of(bucket_writer_event_kind::read_failed);
    }
    // A malformed value may hold any claim, so it is never overwritten.
    auto decoded = actions_wire::decode_claim_bucket(entry->value);
    if (!decoded.ok()) {
        co_return event_of(bucket_writer_event_kind::read_failed);
    }
    auto event = event_of(bucket_writer_event_kind::read_answered, entry->revision);
    event.bucket = std::move(decoded).value();
    co_return event;
}

asio::awaitable<actions::bucket_writer_event>
platform_claim_store::write(actions::bucket_number bucket, actions::claim_bucket value,
                            core::revision expected)
{
    constexpr std::array<bucket_writer_event_kind, 3> kinds{
        bucket_writer_event_kind::write_accepted, bucket_writer_event_kind::write_refused,
        bucket_writer_event_kind::write_failed};
    auto key = key_of(bucket);
    auto text = actions_wire::encode(value);
    const auto result =
        co_await platform_->compare_and_swap(std::move(key), std::move(text), expected, {});
    co_return event_of(kinds.at(static_cast<std::size_t>(result.outcome)), result.revision);
}

} // namespace ej::runtime
