#include <routing/index_set.h>

#include <limits>

namespace ej::routing {

namespace {

constexpr std::uint32_t absent = std::numeric_limits<std::uint32_t>::max();

} // namespace

void index_set::update(std::uint32_t index, bool member)
{
    if (position_.size() <= index) {
        position_.resize(index + 1, absent);
    }
    const std::uint32_t at = position_[index];
    if (member == (at != absent)) {
        return;
    }
    if (member) {
        position_[index] = static_cast<std::uint32_t>(members_.size());
        members_.push_back(index);
        return;
    }
    members_[at] = members_.back();
    position_[members_[at]] = at;
    members_.pop_back();
    position_[index] = absent;
}

} // namespace ej::routing
