#include <forwarding/leaving_announcements.h>

#include <algorithm>

namespace ej::forwarding {

leaving_notice leaving_announcements::add(const endpoint_run& run)
{
    pending_.push_back({run, sends - 1});
    return {{run}};
}

std::vector<leaving_notice> leaving_announcements::repeat()
{
    std::vector<leaving_notice> notices;
    for (announcement& one : pending_) {
        if (notices.empty() || notices.back().runs.size() == leaving_notice::max_runs) {
            notices.emplace_back();
        }
        notices.back().runs.push_back(one.run);
        --one.left;
    }
    std::erase_if(pending_, [](const announcement& one) { return one.left == 0; });
    return notices;
}

} // namespace ej::forwarding
